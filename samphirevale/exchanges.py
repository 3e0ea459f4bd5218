"""The exchange of one proxied request and its answer with one endpoint."""

import contextlib
from collections.abc import Callable

from samphirevale import (
    catalogue,
    crash_reports,
    errors,
    proxy_context,
    proxy_requests,
)
from samphirevale.ports import proxies

# Checks which start of an endpoint gets a request; None if that is not known.
# An error that it raises keeps the request from being sent.
StartCheck = Callable[[catalogue.Endpoint, int | None], None]


class Exchange:
    """One exchange, which counts towards the endpoint's load until it ends.

    Attributes:
        endpoint: the endpoint as it was listed.
        started: the start that it has named on the connection; None if it was
            not asked or has named none.
        answer: the answer, once its head has been read.
    """

    def __init__(
        self,
        context: proxy_context.ProxyContext,
        endpoint: catalogue.Endpoint,
        tokens: int,
    ):
        self._context = context
        self.endpoint = endpoint
        self.started: int | None = None
        self._prompt_tokens = tokens
        self._prompt_unread = False
        self._counted_in_load = False
        # When the endpoint was connected to; None before.
        self._connected_at: float | None = None
        # When the exchange began.
        self._opened_at = 0.0
        # When the request was sent, and the prompt tokens ahead of its own.
        self._sent_at = 0.0
        self._tokens_ahead = 0
        # The request that was sent, and when its first event arrived.
        self._request: proxy_requests.ProxiedRequest | None = None
        self._check_start: StartCheck | None = None
        self._first_event_at: float | None = None
        self._has_gone_on = False
        self.answer: proxies.EndpointAnswer | None = None

    async def open(
        self,
        request: proxy_requests.ProxiedRequest,
        send: proxy_requests.SendParameters,
        check_start: StartCheck,
    ) -> None:
        """Sends the request and reads the head of the answer."""
        self._request = request
        self._check_start = check_start
        self._counted_in_load = self._prompt_unread = True
        self._opened_at = self._sent_at = self._context.clock.now()
        self._tokens_ahead = self._context.selector.count_unread(
            self.endpoint.name
        )
        self._context.selector.record_sent(
            self.endpoint.name, self._prompt_tokens
        )
        self.answer = await self._context.endpoints.send(
            self.endpoint, request, send, self._record_connected
        )
        self._context.crashes.record_heard(self._get_reached())

    def _get_reached(self) -> catalogue.Endpoint:
        """Returns the endpoint with the start that has the request."""
        if self.started is None:
            return self.endpoint
        return self.endpoint._replace(started=self.started)

    def build_beginning(self) -> proxy_requests.StreamBeginning:
        """Returns what is known of the start of the endpoint."""
        return proxy_requests.StreamBeginning(
            self.endpoint, self.started, self._sent_at
        )

    def _record_connected(self, started: int | None) -> None:
        """Records that the request is sent.

        It may have taken a while to connect to the endpoint and to ask it.

        Args:
            started: the start that the endpoint has named; None if it has
                named none.

        Raises:
            errors.NotAcceptingError: the endpoint has turned out meanwhile to
                leave, or may not get the request as it has started again.
            errors.InputRefusedError: endpoints have crashed under the request.
        """
        if not self._context.cluster_state.catalogue.is_accepting(
            self.endpoint
        ):
            raise errors.NotAcceptingError(
                f"{self.endpoint.name} accepts no more work"
            )
        if self._context.crashes.refuses(self._request):
            raise errors.InputRefusedError("endpoints crash under its parts")
        self._check_start(self.endpoint, started)
        self.started = started
        self._connected_at = self._sent_at = self._context.clock.now()

    def may_have_sent(self) -> bool:
        """Returns whether the endpoint was connected to."""
        return self._connected_at is not None

    def compute_age(self) -> float:
        """Returns how long the endpoint has had the request, in seconds.

        The time is 0 until the endpoint is connected to.
        """
        if self._connected_at is None:
            return 0.0
        return self._context.clock.now() - self._connected_at

    async def read_body(self) -> bytes:
        """Reads and returns the whole body of the answer."""
        body = bytearray()
        memory = self._context.answer_memory
        try:
            async with contextlib.aclosing(self.answer.read_parts()) as parts:
                async for part in parts:
                    body += part
                    memory.add(len(part), len(body))
            return bytes(body)
        finally:
            memory.remove(len(body))

    def record_event(self) -> None:
        """Records that the endpoint has sent an event of its answer."""
        now = self._context.clock.now()
        self._record_first_event()
        self._context.crashes.record_heard(self._get_reached())
        if self._first_event_at is None:
            self._first_event_at = now
        if now >= self._first_event_at + crash_reports.GOES_ON_SECONDS:
            self.record_answered()

    def record_answered(self) -> None:
        """Records that the endpoint has not crashed under the request.

        Further calls have no effect.
        """
        if not self._has_gone_on:
            self._has_gone_on = True
            self._context.crashes.record_answer(self._request)

    def record_broken(self, error: BaseException) -> None:
        """Records that the exchange has failed, maybe by a crash."""
        if not isinstance(error, errors.AnswerLostError):
            return
        if self.may_have_sent() and not self._has_gone_on:
            self._context.crashes.record_crash(
                self._get_reached(), self._request, self._sent_at
            )

    def _record_first_event(self) -> None:
        """Records that the endpoint has read the prompt."""
        if self._prompt_unread and self._prompt_tokens:
            self._context.selector.prompt_speed.record(
                self._tokens_ahead + self._prompt_tokens,
                self._context.clock.now() - self._sent_at,
            )
        self._end_prompt_reading()

    def _end_prompt_reading(self) -> None:
        if self._prompt_unread:
            self._prompt_unread = False
            self._context.selector.record_prompt_read(
                self.endpoint.name, self._prompt_tokens
            )

    async def close(self, failed: bool) -> None:
        """Ends the exchange; further calls have no effect."""
        self._end_prompt_reading()
        if self._counted_in_load:
            self._counted_in_load = False
            now = self._context.clock.now()
            self._context.selector.record_end(self.endpoint.name, failed, now)
            if self.answer is not None and not failed:
                self._context.returns.record_duration(
                    self.endpoint.service, now - self._opened_at
                )
        if self.answer is not None:
            answer, self.answer = self.answer, None
            await answer.close()
