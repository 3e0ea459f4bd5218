"""The record of everything that an endpoint ran."""

import collections
import hashlib
import json
import os
import time
from typing import Any, TypedDict

# The most runs, and the most orders, that a record keeps.
RECORD_LIMIT = 200_000


class Run(TypedDict):
    """One run, as the record shows it.

    Keys:
        request, attempt, key, batch: as the caller gave them.
        input_digest: SHA-256 in hex of the input's canonical JSON.
        started, ended: on the machine's monotonic clock, in seconds.
        status: `running`, `done`, `failed`, `cancelled`, `lost` (the answer
            was not sent on purpose) or `broken` (it could not be sent).
        count: tokens in the whole answer; 0 where it has none.
        digest: SHA-256 in hex over the answer.
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
    """One order, as the record shows it; `at` as in Run."""

    order: str
    batch: str
    fencing: int
    accepted: bool
    at: float


def compute_digest(value: Any) -> str:
    """Returns SHA-256 in hex of a JSON value in canonical form."""
    text = json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )
    return hashlib.sha256(text.encode()).hexdigest()


class Record:
    """Everything that an endpoint ran.

    With a journal, each change is a JSON line in that file before the run
    goes on, so that a killed endpoint leaves the whole of its record.
    """

    def __init__(self, journal: str = ""):
        """Makes an empty record.

        Args:
            journal: the file that is appended to; none if it is empty.
        """
        self._journal = open(journal, "a") if journal else None  # noqa: SIM115
        self._note("started", {"pid": os.getpid(), "at": time.monotonic()})
        self.clear()

    def _note(self, event: str, fields: Any) -> None:
        if self._journal is not None:
            self._journal.write(json.dumps({"event": event, **fields}) + "\n")
            self._journal.flush()

    def clear(self) -> None:
        """Forgets all."""
        self._runs = collections.deque(maxlen=RECORD_LIMIT)
        self._orders = collections.deque(maxlen=RECORD_LIMIT)

    def begin(
        self, fields: dict[str, Any], value: Any, batch: str, now: float
    ) -> Run:
        """Adds a run of the input `value` that begins now."""
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
        self._note("began", run)
        return run

    def note_ended(self, run: Run) -> None:
        """Writes down how a run ended."""
        self._note("ended", run)

    def note_crash(self, attempt: str, now: float) -> None:
        """Writes down that an attempt ends the process."""
        self._note("crashed", {"attempt": attempt, "at": now})

    def add_order(
        self, order: str, batch: str, fencing: int, accepted: bool, now: float
    ) -> None:
        """Adds an order."""
        taken = OrderRecord(
            order=order,
            batch=batch,
            fencing=fencing,
            accepted=accepted,
            at=now,
        )
        self._orders.append(taken)
        self._note("order", taken)

    def describe(self) -> dict[str, list]:
        """Returns all of it as JSON."""
        return {"runs": list(self._runs), "orders": list(self._orders)}
