"""Reads the processor time and the memory of local processes."""

import time

# The type of the Linux clock that counts a process's total processor time.
_PROCESSOR_TIME = 2


def read_cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    return time.clock_gettime((~pid << 3) | _PROCESSOR_TIME)


def read_resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    with open(f"/proc/{pid}/status", encoding="ascii") as lines:
        for line in lines:
            name, _, value = line.partition(":")
            if name == "VmRSS":
                return int(value.split()[0]) * 1024
    raise ValueError(f"process {pid} has no resident memory")
