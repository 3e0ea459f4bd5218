"""Starts and stops the project's programs as local processes."""

import contextlib
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

# The working directory of the programs, so that they run this copy of the
# package.
ROOT = pathlib.Path(__file__).resolve().parent.parent

# The line that a program prints when it is ready.
READY = "ready"

# The timeouts for a process to become ready and to exit, in seconds.
START_SECONDS = 20.0
STOP_SECONDS = 20.0

# The ports for programs, below the ephemeral ports that the system assigns to
# outgoing connections.
PORTS = range(10_000, 20_000)

# The interval at which a starting process is polled, in seconds.
POLL_SECONDS = 0.01

# The number of characters that an error shows from the end of a log.
LOG_TAIL_CHARACTERS = 2000


class ProcessError(Exception):
    """A process did not start, stop or answer as expected."""


class Process:
    """A process whose output goes to one log file."""

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
        """The URL on which the process serves."""
        return f"http://127.0.0.1:{self.port}"

    @property
    def exit_status(self) -> int | None:
        """The exit status; None while running, negative for a signal."""
        return self._child.poll()

    def read_log(self) -> str:
        """Returns the output so far."""
        return pathlib.Path(self._log.name).read_text(errors="replace")

    def wait_until_ready(self, timeout_seconds: float = START_SECONDS) -> None:
        """Waits for the line `ready`.

        Raises:
            ProcessError: the process exited, or the timeout expired.
        """
        deadline = time.monotonic() + timeout_seconds
        while READY not in self.read_log().splitlines():
            if self.exit_status is not None or time.monotonic() > deadline:
                raise self._build_error("did not start")
            time.sleep(POLL_SECONDS)

    def send_signal(self, number: int) -> None:
        """Sends a signal, unless the process has exited."""
        if self.exit_status is None:
            self._child.send_signal(number)

    def stop(self) -> None:
        """Requests a graceful shutdown with SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)

    def freeze(self) -> None:
        """Suspends the process with SIGSTOP until `resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self.send_signal(signal.SIGCONT)

    def wait(self, timeout_seconds: float = STOP_SECONDS) -> int:
        """Waits for the process to exit and returns its exit status.

        Raises:
            ProcessError: the timeout expired.
        """
        try:
            return self._child.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            raise self._build_error("did not end") from None

    def close_log(self) -> None:
        """Closes the log file without deleting it."""
        self._log.close()

    def _build_error(self, what: str) -> ProcessError:
        tail = self.read_log()[-LOG_TAIL_CHARACTERS:]
        return ProcessError(
            f"{self.name} {what}, exit status {self.exit_status}:\n{tail}"
        )


class Group:
    """A group of processes that share a log directory and end together."""

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
            name: the name of the process and its log file.
            module: the module to run.
            *arguments: the command-line arguments.
            port: the port that the process serves on, for `Process.url`.
            environment: the complete environment; that of this process if
                None.
            wait: whether to wait for the line `ready`.
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
        """Stops all processes one by one, in reverse order of their start.

        Returns:
            The exit status of each process, by name.
        """
        statuses = {}
        for process in reversed(self.processes):
            process.resume()
            process.stop()
            statuses[process.name] = process.wait()
        return statuses

    def kill_all(self) -> None:
        """Kills all running processes and closes the logs."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
            process.close_log()


@contextlib.contextmanager
def open_group(directory: pathlib.Path | None = None) -> Iterator[Group]:
    """Yields a group of processes and kills them all at the end.

    Args:
        directory: the directory for logs; a temporary one if None.
    """
    with contextlib.ExitStack() as stack:
        if directory is None:
            name = stack.enter_context(tempfile.TemporaryDirectory())
            directory = pathlib.Path(name)
        group = Group(directory)
        stack.callback(group.kill_all)
        yield group


def choose_port() -> int:
    """Returns a TCP port of 127.0.0.1 that is held until this process ends.

    No other process is given it, not even while the program is down.
    """
    while True:
        holder = hold_port(random.choice(PORTS))
        if holder is not None:
            port = holder.getsockname()[1]
            # The socket stays open until this process ends.
            holder.detach()
            return port


def hold_port(port: int) -> socket.socket | None:
    """Holds a TCP port of 127.0.0.1 for a server of this or another process.

    Servers set SO_REUSEADDR and can bind the port, as the returned socket does
    too and never listens. This function does not hold a port that is held.

    Returns:
        The socket, which releases the port when it is closed; None if the
        port is in use or held.
    """
    holder = socket.socket()
    try:
        holder.bind(("127.0.0.1", port))
    except OSError:
        holder.close()
        return None
    # Set only now: with this option, two sockets could hold the same port.
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return holder
