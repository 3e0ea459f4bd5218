"""The record of everything that an endpoint ran."""

import collections
import hashlib
import json
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
    """Everything that an endpoint ran."""

    def __init__(self):
        self.clear()

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
        return run

    def add_order(
        self, order: str, batch: str, fencing: int, accepted: bool, now: float
    ) -> None:
        """Adds an order."""
        self._orders.append(
            OrderRecord(
                order=order,
                batch=batch,
                fencing=fencing,
                accepted=accepted,
                at=now,
            )
        )

    def describe(self) -> dict[str, list]:
        """Returns all of it as JSON."""
        return {"runs": list(self._runs), "orders": list(self._orders)}
