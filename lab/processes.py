"""Starts and stops programs of the project as processes on this machine."""

import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from typing import IO

# Where the programs are started, so that this copy of the package is run.
ROOT = pathlib.Path(__file__).resolve().parent.parent

# The line that a program prints once it listens.
READY = "ready"

# The longest wait for that line and for the end, in seconds.
START_SECONDS = 20.0
STOP_SECONDS = 20.0

# Programs get ports from the first to before the last.
FIRST_PORT = 10_000
LAST_PORT = 32_000

# The ports of one process that starts programs.
BLOCK_PORTS = 500

# The interval between looks at a program that starts, in seconds.
POLL_SECONDS = 0.01

# How much of a log an error shows, in characters.
LOG_TAIL_CHARACTERS = 2000


class ProcessError(Exception):
    """A program did not start or did not end as it should."""


class Process:
    """A program that runs; its output goes into one log file."""

    def __init__(
        self, name: str, child: subprocess.Popen, log: IO[bytes], port: int
    ):
        self.name = name
        self.port = port
        self._child = child
        self._log = log

    @property
    def pid(self) -> int:
        """The process id."""
        return self._child.pid

    @property
    def url(self) -> str:
        """The address that it serves on."""
        return f"http://127.0.0.1:{self.port}"

    @property
    def exit_status(self) -> int | None:
        """The exit status; None while it runs, negative for a signal."""
        return self._child.poll()

    def read_log(self) -> str:
        """Returns all that it has printed."""
        return pathlib.Path(self._log.name).read_text(errors="replace")

    def wait_until_ready(self, timeout_seconds: float = START_SECONDS) -> None:
        """Waits for the line `ready`.

        Raises:
            ProcessError: it ended, or the time is up.
        """
        deadline = time.monotonic() + timeout_seconds
        while READY not in self.read_log().splitlines():
            if self.exit_status is not None or time.monotonic() > deadline:
                raise self._build_error("did not start")
            time.sleep(POLL_SECONDS)

    def send_signal(self, number: int) -> None:
        """Sends a signal, unless it has ended."""
        if self.exit_status is None:
            self._child.send_signal(number)

    def stop(self) -> None:
        """Asks it to end."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Ends it at once."""
        self.send_signal(signal.SIGKILL)

    def freeze(self) -> None:
        """Stops it where it is, until `resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it go on."""
        self.send_signal(signal.SIGCONT)

    def wait(self, timeout_seconds: float = STOP_SECONDS) -> int:
        """Waits for its end and returns the exit status.

        Raises:
            ProcessError: the time is up.
        """
        try:
            return self._child.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            raise self._build_error("did not end") from None

    def close_log(self) -> None:
        """Closes its log; the file stays."""
        self._log.close()

    def _build_error(self, what: str) -> ProcessError:
        tail = self.read_log()[-LOG_TAIL_CHARACTERS:]
        return ProcessError(
            f"{self.name} {what}, exit status {self.exit_status}:\n{tail}"
        )


class Group:
    """Programs that are started together and end together."""

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        self.processes: list[Process] = []

    def start(
        self,
        name: str,
        module: str,
        *arguments: str,
        port: int = 0,
        environment: dict[str, str] | None = None,
        wait: bool = True,
    ) -> Process:
        """Starts `python -m module arguments`.

        Args:
            name: names the process and its log.
            module: the module that is run.
            *arguments: its command line.
            port: the port that it serves on, for `Process.url`.
            environment: its whole environment; this process's if None.
            wait: wait for the line `ready`.
        """
        number = len(self.processes)
        log = (self.directory / f"{number}-{name}.log").open("wb")
        child = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        process = Process(name, child, log, port)
        self.processes.append(process)
        if wait:
            process.wait_until_ready()
        return process

    def start_standin(
        self, name: str, kind: str, *arguments: str, wait: bool = True
    ) -> Process:
        """Starts `standins.kind` on a free port."""
        port = choose_port()
        return self.start(
            name,
            f"standins.{kind}",
            "--port",
            str(port),
            *arguments,
            port=port,
            wait=wait,
        )

    def stop_all(self) -> dict[str, int]:
        """Asks all to end, in turn from the last, and waits for each.

        Returns:
            The exit status of each, by name.
        """
        statuses = {}
        for process in reversed(self.processes):
            process.resume()
            process.stop()
            statuses[process.name] = process.wait()
        return statuses

    def kill_all(self) -> None:
        """Ends at once whatever still runs, and closes the logs."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
            process.close_log()


@contextlib.contextmanager
def open_group(directory: pathlib.Path | None = None) -> Iterator[Group]:
    """Yields a group whose programs all end with the block.

    Args:
        directory: where the logs go; a temporary one if None.
    """
    with contextlib.ExitStack() as stack:
        if directory is None:
            name = stack.enter_context(tempfile.TemporaryDirectory())
            directory = pathlib.Path(name)
        group = Group(directory)
        stack.callback(group.kill_all)
        yield group


_chosen_ports: set[int] = set()


def choose_port() -> int:
    """Returns a free TCP port of 127.0.0.1, each one once.

    It lies below the ports that the system gives to outgoing connections,
    one of which might else take it before the program listens, and in a
    block of this process's own: another that starts programs at the same
    moment, or has one that is down for a while, chooses elsewhere.
    """
    blocks = (LAST_PORT - FIRST_PORT) // BLOCK_PORTS
    first = FIRST_PORT + os.getpid() % blocks * BLOCK_PORTS
    while True:
        port = random.randrange(first, first + BLOCK_PORTS)
        if port in _chosen_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _chosen_ports.add(port)
        return port
