"""The record of all runs and orders of an endpoint."""

import collections
import hashlib
import json
import os
import time
from typing import Any, TypedDict

# The maximum number of runs, and of orders, that a record keeps.
RECORD_LIMIT = 200_000


class Run(TypedDict):
    """One run in the record.

    Keys:
        request, attempt, key, batch: as given in the call.
        input_digest: the hex SHA-256 of the input's canonical JSON.
        started, ended: times on the machine's monotonic clock, in seconds.
        status: `running`, `done`, `failed`, `cancelled`, `lost` (the answer
            was not sent on purpose) or `broken` (it could not be sent).
        count: the number of tokens in the complete answer; 0 if none.
        digest: the hex SHA-256 of the answer.
    """

    request: str
    attempt: str
    key: str
    input_digest: str
    batch: str
    started: float
    ended: float | None
    status: str
    count: int
    digest: str


class OrderRecord(TypedDict):
    """One order in the record; `at` is in seconds of the monotonic clock."""

    order: str
    batch: str
    fencing: int
    accepted: bool
    at: float


def compute_digest(value: Any) -> str:
    """Returns the hex SHA-256 of a JSON value in canonical form."""
    text = json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )
    return hashlib.sha256(text.encode()).hexdigest()


class Record:
    """The runs and orders of an endpoint.

    With a journal file, each change is first written to it as a JSON line, so
    the record is complete even if the endpoint is killed.
    """

    def __init__(self, journal: str = ""):
        """Initializes an empty record.

        Args:
            journal: the path of the journal file; empty for none.
        """
        self._journal = open(journal, "a") if journal else None  # noqa: SIM115
        self._append_to_journal(
            "started", {"pid": os.getpid(), "at": time.monotonic()}
        )
        self.clear()

    def _append_to_journal(self, event: str, fields: Any) -> None:
        if self._journal is not None:
            self._journal.write(json.dumps({"event": event, **fields}) + "\n")
            self._journal.flush()

    def clear(self) -> None:
        """Removes all runs and orders."""
        self._runs = collections.deque(maxlen=RECORD_LIMIT)
        self._orders = collections.deque(maxlen=RECORD_LIMIT)

    def begin(
        self, fields: dict[str, Any], value: Any, batch: str, now: float
    ) -> Run:
        """Adds a run of the input `value` that starts at `now`."""
        run = Run(
            request=fields.get("request", ""),
            attempt=fields.get("attempt", ""),
            key=fields.get("key", ""),
            input_digest=compute_digest(value),
            batch=batch,
            started=now,
            ended=None,
            status="running",
            count=0,
            digest="",
        )
        self._runs.append(run)
        self._append_to_journal("began", run)
        return run

    def record_end(self, run: Run) -> None:
        """Writes a run's end to the journal."""
        self._append_to_journal("ended", run)

    def record_crash(self, attempt: str, now: float) -> None:
        """Writes to the journal that an attempt crashes the process."""
        self._append_to_journal("crashed", {"attempt": attempt, "at": now})

    def add_order(
        self, order: str, batch: str, fencing: int, accepted: bool, now: float
    ) -> None:
        """Adds an order."""
        record = OrderRecord(
            order=order,
            batch=batch,
            fencing=fencing,
            accepted=accepted,
            at=now,
        )
        self._orders.append(record)
        self._append_to_journal("order", record)

    def describe(self) -> dict[str, list]:
        """Returns the record as a JSON value."""
        return {"runs": list(self._runs), "orders": list(self._orders)}
