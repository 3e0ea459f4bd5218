"""The exchange of one proxied request and its answer with one endpoint."""

import contextlib

from samphirevale import catalogue, errors, proxy_context, proxy_requests
from samphirevale.ports import proxies

# The largest answer that is buffered as a whole, in bytes.
ANSWER_BYTES_LIMIT = 8 * 1024 * 1024


class Exchange:
    """One exchange, which counts towards the endpoint's load until it ends."""

    def __init__(
        self,
        context: proxy_context.ProxyContext,
        endpoint: catalogue.Endpoint,
        tokens: int,
    ):
        self._context = context
        self.endpoint = endpoint
        self._prompt_tokens = tokens
        self._prompt_unread = False
        self._counted_in_load = False
        self.answer: proxies.EndpointAnswer | None = None

    async def open(
        self,
        request: proxy_requests.ProxiedRequest,
        send: proxy_requests.SendParameters,
    ) -> None:
        """Sends the request and reads the head of the answer."""
        self._counted_in_load = self._prompt_unread = True
        self._context.selector.record_sent(
            self.endpoint.name, self._prompt_tokens
        )
        self.answer = await self._context.endpoints.send(
            self.endpoint, request, send
        )

    async def read_body(self) -> bytes:
        """Reads and returns the whole body of the answer."""
        body = bytearray()
        async with contextlib.aclosing(self.answer.read_parts()) as parts:
            async for part in parts:
                body += part
                if len(body) > ANSWER_BYTES_LIMIT:
                    raise errors.ProtocolError("the answer is too large")
        return bytes(body)

    def record_prompt_read(self) -> None:
        """Records that the endpoint has read the prompt."""
        if self._prompt_unread:
            self._prompt_unread = False
            self._context.selector.record_prompt_read(
                self.endpoint.name, self._prompt_tokens
            )

    async def close(self, failed: bool) -> None:
        """Ends the exchange; further calls have no effect."""
        self.record_prompt_read()
        if self._counted_in_load:
            self._counted_in_load = False
            self._context.selector.record_end(
                self.endpoint.name, failed, self._context.clock.now()
            )
        if self.answer is not None:
            answer, self.answer = self.answer, None
            await answer.close()
