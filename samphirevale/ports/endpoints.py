"""The protocol for endpoints: model engines, pipeline stages and services."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple, Protocol


class Call(NamedTuple):
    """One attempt as sent to an endpoint.

    Attributes:
        request: the request's id.
        attempt: the attempt's id.
        input: the request's input, as a JSON value.
        prior: the results of the previous stages, as a JSON value.
        key: the idempotency key; empty if there is none.
        batch: id of the batch to run on; empty if the stage has no model.
        offset: number of tokens that the caller already has.
        priority: the priority; 0 is the most urgent.
        repeatable: whether the call may run more than once.
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
    """Consecutive tokens of a streamed answer.

    Attributes:
        sequence: index of the first token in the complete answer, as numbered
            by the endpoint.
        tokens: the tokens, in order.
    """

    sequence: int
    tokens: list[str]


class Completed(NamedTuple):
    """The end of a complete answer.

    Attributes:
        payload: the result; None for a streamed answer.
        count: number of tokens in the complete answer, including those before
            the offset.
        digest: SHA-256 over the complete answer's tokens; empty if there are
            none.
        busy_ms: the endpoint's processing time.
    """

    payload: Any
    count: int
    digest: str
    busy_ms: float


class Failed(NamedTuple):
    """The end of a call without a complete answer.

    Attributes:
        phase: `nothing_sent` (no connection), `refused` (the endpoint
            answered that the call did not run), `not_loaded` (the endpoint
            lacks the batch; the call did not run), `failed` (the endpoint
            answered that the attempt failed) or `lost` (the connection broke
            after bytes were sent).
        detail: human-readable explanation.
        retry_after_ms: time after which a retry makes sense; 0 if unknown.
    """

    phase: str
    detail: str
    retry_after_ms: int = 0


# The phases that prove that the endpoint did not run the call.
NOT_RUN_PHASES = frozenset({"nothing_sent", "refused", "not_loaded"})


class Health(NamedTuple):
    """The answer to a health probe.

    Attributes:
        healthy: whether the endpoint reported that it is healthy.
        incarnation: identifier that changes when the endpoint restarts; empty
            if the endpoint reports none.
    """

    healthy: bool
    incarnation: str


class LoadReport(NamedTuple):
    """The load that an endpoint reports.

    Attributes:
        running: number of running attempts.
        waiting: number of attempts queued inside the endpoint.
        slots: maximum number of running attempts; 0 if not reported.
        age_ms: age of the report.
    """

    running: int
    waiting: int
    slots: int
    age_ms: float


class CacheEvent(NamedTuple):
    """The insertion or eviction of a prompt prefix in an endpoint's cache.

    Attributes:
        number: number of the event, from 1; a gap means that events are lost.
        prefix: the prefix's digest.
        cached: True for an insertion, False for an eviction.
    """

    number: int
    prefix: str
    cached: bool


class EndpointState(NamedTuple):
    """The state that an endpoint reports.

    Attributes:
        batches: ids of the loaded batches.
        role: the endpoint's role.
        fencing: the highest fencing token that the endpoint has accepted.
    """

    batches: frozenset[str]
    role: str
    fencing: int


class Order(NamedTuple):
    """An order to an endpoint.

    Attributes:
        order: `load`, `unload` or `role`.
        batch: `{"id", "model", "version", "adapter"}`, or None.
        role: the new role for the order `role`.
        fencing: the fencing token of the sender's lease.
    """

    order: str
    batch: dict | None
    role: str
    fencing: int


def build_prompt(value: Any) -> str:
    """Returns the prompt for an input: a string itself, else its JSON."""
    if isinstance(value, str):
        return value
    return json.dumps(value, sort_keys=True, ensure_ascii=False)


class Endpoint(Protocol):
    """The interface through which a sidecar uses its endpoint.

    Attributes:
        streams: whether the endpoint streams tokens.
        takes_orders: whether the endpoint accepts orders.
    """

    streams: bool
    takes_orders: bool

    def run(
        self,
        call: Call,
        on_connected: Callable[[], Awaitable[None]] | None = None,
    ) -> AsyncIterator[Tokens | Completed | Failed]:
        """Runs one attempt on a connection of its own.

        Yields tokens, if the endpoint streams, and then one Completed or
        Failed.

        Args:
            call: the attempt.
            on_connected: awaited once the connection is open; if that has ended
                meanwhile, nothing is sent.
        """

    async def cancel(self, attempt: str) -> None:
        """Cancels an attempt if the endpoint supports it."""

    async def read_health(self) -> Health:
        """Probes the endpoint.

        Raises:
            errors.TransportError: the endpoint is unreachable.
        """

    def find_connected_incarnation(self) -> str | None:
        """Returns the incarnation that surely is there now.

        Returns:
            What the last probe has told, as long as its connection lasts, which
            ends with the endpoint; None if it has ended.
        """

    async def read_load(self) -> LoadReport | None:
        """Returns the endpoint's load, or None if it does not report it."""

    async def read_cache_events(self, after: int) -> list[CacheEvent]:
        """Returns the events with numbers above `after`."""

    async def read_state(self) -> EndpointState:
        """Returns the loaded batches, the role and the fencing token."""

    async def send_order(self, order: Order) -> None:
        """Sends an order and waits until the endpoint has executed it.

        Raises:
            errors.FencedError: the endpoint has accepted a higher fencing
                token.
            errors.EndpointBusyError: the endpoint refused the order for now,
                for example because of the weight store's rate limit.
            errors.TransportError: there was no usable answer.
        """
