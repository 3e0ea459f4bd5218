"""Another entry with an open link: what it reports, and calls to it."""

import collections
import contextlib
from typing import Any, NamedTuple

import curio

from samphirevale import (
    batching,
    entry_messages,
    errors,
    load_totals,
    messages,
)
from samphirevale.adapters import link as links

# The largest number of cancelled exchanges of a link whose results are released
# if they come.
CANCELLED_LIMIT = 256

# The messages that answer a request of this entry, by its type.
_ANSWERS = {
    entry_messages.ItemsRequest: entry_messages.ItemsResult,
    entry_messages.RoutesAgeRequest: entry_messages.RoutesAge,
    entry_messages.StreamOriginRequest: entry_messages.StreamOriginAnswer,
}

ANSWER_TYPES = tuple(_ANSWERS.values())


class _WaitingCall(NamedTuple):
    """A request of this entry that another entry has not answered.

    Attributes:
        answer_type: the type of the answer.
        queue: receives the answer, or None without one.
    """

    answer_type: type
    queue: curio.Queue


class LinkedEntry:
    """Another entry with an open link.

    Attributes:
        link: the link to the entry.
        hello: the first message of the entry.
        queues: the states of the queues that the entry owns, by endpoint.
        loads: the load that the entry has placed, by endpoint.
        sent: the numbers of items and bytes that were handed over to the
            entry since its last report, by endpoint.
        serving: the tasks that run items for the entry, by the id of the
            exchange.
    """

    def __init__(self, link: links.Link, hello: messages.Hello):
        self.link = link
        self.hello = hello
        self.queues: dict[str, batching.QueueState] = {}
        self.loads: dict[str, load_totals.Load] = {}
        self.sent: dict[str, tuple[int, int]] = {}
        self.serving: dict[int, curio.Task] = {}
        # The requests that the entry has not answered, by exchange.
        self._waiting: dict[int, _WaitingCall] = {}
        # The last exchanges that were cancelled here and may still be answered.
        self._cancelled: collections.deque[int] = collections.deque(
            maxlen=CANCELLED_LIMIT
        )

    @property
    def name(self) -> str:
        """The name of the entry."""
        return self.hello.instance

    async def send(self, message: Any) -> None:
        """Sends a message, unless the link has ended."""
        with contextlib.suppress(errors.PeerClosedError):
            await self.link.send(message, 0)

    async def call(self, request: Any) -> Any:
        """Sends a request and returns its answer; None if the link ends.

        Raises:
            errors.PeerClosedError: the link has ended before.
        """
        call = _WaitingCall(_ANSWERS[type(request)], curio.Queue())
        self._waiting[request.exchange] = call
        try:
            await self.link.send(request, 0)
            return await call.queue.get()
        finally:
            del self._waiting[request.exchange]

    async def cancel_items(self, exchange: int) -> None:
        """Tells the entry that items are not wanted any more."""
        self._cancelled.append(exchange)
        await self.send(entry_messages.ItemsCancelled(exchange))

    async def end_call(self, message: Any, answer: Any) -> bool:
        """Hands an answer to the call that waits for it.

        Args:
            message: the message as it came.
            answer: what of it can be used; None if nothing can.

        Returns:
            Whether a call waits for a message of this type.
        """
        call = self._waiting.get(message.exchange)
        if call is None or not isinstance(message, call.answer_type):
            return False
        await call.queue.put(answer)
        return True

    async def end_calls(self) -> None:
        """Ends all calls without an answer, and all work for the entry."""
        for call in self._waiting.values():
            await call.queue.put(None)
        for task in list(self.serving.values()):
            await task.cancel(blocking=False)

    async def release_unwanted(
        self, answer: entry_messages.ItemsResult
    ) -> None:
        """Releases results that crossed the cancellation of their request.

        Those of another answer have been handed on, and may be in use.
        """
        if answer.exchange not in self._cancelled:
            return
        self._cancelled.remove(answer.exchange)
        names = [name for name in answer.results if name]
        if names:
            await self.send(
                entry_messages.ResultsReleased(answer.endpoint, names)
            )

    def adopt_report(self, report: entry_messages.EntryReport) -> None:
        """Adopts the state that the entry reports."""
        self.queues = {
            name: batching.QueueState(*fields)
            for name, *fields in report.queues
        }
        self.loads = {
            name: load_totals.Load(*fields) for name, *fields in report.loads
        }
        self.sent = {}

    def adopt_queue(self, endpoint: str, fields: list) -> None:
        """Adopts the state of one queue, sent with the results of items."""
        if fields:
            self.queues[endpoint] = batching.QueueState(*fields)
            self.sent.pop(endpoint, None)

    def count_sent(self, endpoint: str, items: int, size: int) -> None:
        """Counts items that the entry's last report does not include."""
        before = self.sent.get(endpoint, (0, 0))
        self.sent[endpoint] = (before[0] + items, before[1] + size)

    def estimate_state(self, endpoint: str) -> batching.QueueState | None:
        """Returns a queue's last reported state plus the items sent since.

        The state is None if the entry has not reported the queue.
        """
        state = self.queues.get(endpoint)
        items, size = self.sent.get(endpoint, (0, 0))
        if state is None:
            return None
        return state._replace(
            waiting=state.waiting + items,
            waiting_bytes=state.waiting_bytes + size,
        )
