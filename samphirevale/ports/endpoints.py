"""The endpoints: model engines, pipeline stages and plain services."""

import json
from collections.abc import AsyncIterator
from typing import Any, NamedTuple, Protocol


class Call(NamedTuple):
    """One attempt, as it is handed to an endpoint.

    Attributes:
        request: the request's id.
        attempt: the attempt's id.
        input: the request's input, JSON.
        prior: the results of the stages before, JSON.
        key: the idempotency key; empty if there is none.
        batch: the batch to run on; empty where the stage has no model.
        offset: tokens that the caller has already.
        priority: 0 is the most urgent.
        repeatable: whether it may be run again.
    """

    request: str
    attempt: str
    input: Any
    prior: Any
    key: str
    batch: str
    offset: int
    priority: int
    repeatable: bool


class Tokens(NamedTuple):
    """Some tokens of a streamed answer, as the endpoint numbers them.

    Attributes:
        sequence: the number of the first token in the whole answer.
        tokens: the tokens, in order.
    """

    sequence: int
    tokens: list[str]


class Completed(NamedTuple):
    """The endpoint has given its whole answer.

    Attributes:
        payload: the result; None for a streamed answer.
        count: tokens in the whole answer, those before the offset included.
        digest: SHA-256 over the whole answer's tokens; empty if none.
        busy_ms: the time that the endpoint worked on it.
    """

    payload: Any
    count: int
    digest: str
    busy_ms: float


class Failed(NamedTuple):
    """The endpoint has given no whole answer.

    Attributes:
        phase: `nothing_sent` (no connection), `refused` (it answered that
            nothing ran), `not_loaded` (it lacks the batch, nothing ran),
            `failed` (it answered that the attempt failed) or `lost` (the
            connection broke after bytes were sent).
        detail: for people.
        retry_after_ms: when it may be worth asking again; 0 if unknown.
    """

    phase: str
    detail: str
    retry_after_ms: int = 0


# The phases in which the endpoint certainly ran nothing.
NOT_RUN_PHASES = frozenset({"nothing_sent", "refused", "not_loaded"})


class Health(NamedTuple):
    """The answer to a probe.

    Attributes:
        healthy: the endpoint answered that it is well.
        incarnation: changes when the endpoint restarts; empty if not told.
    """

    healthy: bool
    incarnation: str


class LoadReport(NamedTuple):
    """The endpoint's own view of its load.

    Attributes:
        running: attempts that it runs.
        waiting: attempts that wait inside it.
        slots: the most that it runs at once; 0 if not told.
        age_ms: how old the report is.
    """

    running: int
    waiting: int
    slots: int
    age_ms: float


class CacheEvent(NamedTuple):
    """A prompt prefix has entered or left the endpoint's cache.

    Attributes:
        number: counts the events from 1; a gap means that some are lost.
        prefix: the prefix's digest.
        cached: whether it is in the cache now.
    """

    number: int
    prefix: str
    cached: bool


class EndpointState(NamedTuple):
    """What the endpoint says that it has loaded.

    Attributes:
        batches: the ids of the batches.
        role: its role.
        fencing: the highest fencing number that it has taken.
    """

    batches: frozenset[str]
    role: str
    fencing: int


class Order(NamedTuple):
    """An order to an endpoint.

    Attributes:
        order: `load`, `unload` or `role`.
        batch: `{"id", "model", "version", "adapter"}`, or None.
        role: the role for the order `role`.
        fencing: the fencing number of the lease's holder.
    """

    order: str
    batch: dict | None
    role: str
    fencing: int


def build_prompt(value: Any) -> str:
    """Returns the prompt for an input: text itself, or its JSON."""
    if isinstance(value, str):
        return value
    return json.dumps(value, sort_keys=True, ensure_ascii=False)


class Endpoint(Protocol):
    """One endpoint, as its sidecar drives it."""

    streams: bool
    takes_orders: bool

    def run(self, call: Call) -> AsyncIterator[Tokens | Completed | Failed]:
        """Runs one attempt; the last item is Completed or Failed."""

    async def cancel(self, attempt: str) -> None:
        """Frees the place of an attempt, where the endpoint can do so."""

    async def read_health(self) -> Health:
        """Probes it; raises errors.TransportError if it is unreachable."""

    async def read_load(self) -> LoadReport | None:
        """Returns its load, or None where it does not report it."""

    async def read_cache_events(self, after: int) -> list[CacheEvent]:
        """Returns the events numbered above `after`."""

    async def read_state(self) -> EndpointState:
        """Returns what it has loaded."""

    async def send_order(self, order: Order) -> None:
        """Gives it an order and waits until it is done.

        Raises:
            errors.FencedError: it has taken a higher fencing number.
            errors.EndpointBusyError: the weight store's rate does not
                allow it now.
            errors.TransportError: no answer came.
        """
