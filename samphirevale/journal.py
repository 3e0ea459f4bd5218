"""The journal, which writes structured log lines to standard output.

Each line is one JSON object. Writing never blocks. A line is dropped if the
pipe of standard output is full or if the limit of lines per second of its kind
is reached. Dropped lines are counted, and a later line reports the count.
Lines about failures have their own limit.
"""

import errno
import json
import logging
import os
import sys
import time
from collections.abc import Callable
from typing import Any

# The largest number of lines per second by kind.
LINES_PER_SECOND = {"change": 50, "failure": 60, "request": 120}


class Journal:
    """Writes the log lines of one process.

    Args:
        instance: the name of the instance, which every line contains.
        read_clock: returns the value of the field `at` in seconds. It orders
            the lines of one process even if the wall clock jumps.
        descriptor: the file descriptor to write to, which its owner has made
            non-blocking; None for standard output.
    """

    def __init__(
        self,
        instance: str,
        read_clock: Callable[[], float],
        descriptor: int | None = None,
    ):
        self._instance = instance
        self._read_clock = read_clock
        self._descriptor = descriptor
        self._current_second = 0
        self._lines_written: dict[str, int] = {}
        self._unsent_rest = b""
        self.dropped_lines = 0

    def record_event(self, event: str, **fields: Any) -> None:
        """Logs a change of the process's state."""
        self._record("change", event, fields)

    def record_failure(self, event: str, **fields: Any) -> None:
        """Logs a refusal, a failure or a loss."""
        self._record("failure", event, fields)

    def record_request(self, event: str, **fields: Any) -> None:
        """Logs a normal step of a request."""
        self._record("request", event, fields)

    def _record(self, kind: str, event: str, fields: dict[str, Any]) -> None:
        now = self._read_clock()
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._lines_written = {}
        count = self._lines_written.get(kind, 0)
        if count >= LINES_PER_SECOND[kind]:
            self.dropped_lines += 1
            return
        self._lines_written[kind] = count + 1
        line = {
            "time": round(time.time(), 3),
            "at": round(now, 3),
            "instance": self._instance,
            "event": event,
            **fields,
        }
        if self.dropped_lines:
            line["lines_left_out"] = self.dropped_lines
        if self._write(json.dumps(line, default=str).encode() + b"\n"):
            self.dropped_lines = 0
        else:
            self.dropped_lines += 1

    def _write(self, data: bytes) -> bool:
        """Writes without blocking; returns whether any of it was written."""
        descriptor = self._descriptor
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        if self._unsent_rest:
            self._unsent_rest = self._unsent_rest[
                self._write_available(descriptor, self._unsent_rest) :
            ]
            if self._unsent_rest:
                return False
        written = self._write_available(descriptor, data)
        # A partly written line is completed before the next one.
        self._unsent_rest = data[written:] if written else b""
        return written > 0

    def _write_available(self, descriptor: int, data: bytes) -> int:
        try:
            return os.write(descriptor, data)
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EPIPE, errno.EIO):
                raise
            return 0


class JournalHandler(logging.Handler):
    """Forwards log records of libraries, such as failed tasks, to a journal."""

    def __init__(self, log: Journal):
        super().__init__(logging.WARNING)
        self._journal = log

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record as one line."""
        text = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            text = f"{text}: {record.exc_info[1]!r}"
        self._journal.record_failure(
            "message",
            level=record.levelname.lower(),
            logger=record.name,
            text=text,
        )
