"""Finds out which version began a stream after the stream has begun.

An endpoint may name no start when it is asked, or one that is not listed yet.
A stream begins there all the same, with no known version, and may be taken up
once the version is known:

- The endpoint has named its start, which is listed by now.
- It names the listed start when it is asked again. That start was there before
  the request was sent and is there after it, so it has the stream.
"""

import curio

from samphirevale import (
    catalogue,
    cluster_state,
    errors,
    journal,
    proxy_requests,
    stream_origins,
)
from samphirevale.origins import recorder
from samphirevale.ports import clock as clocks
from samphirevale.ports import proxies

# The pause between two questions to an endpoint, and the timeout of its answer,
# in seconds.
ASK_AGAIN_SECONDS = 1.0
ANSWER_SECONDS = 2.0

# The largest number of streams whose version is to be found.
STREAMS_LIMIT = 20_000


class StreamBeginnings:
    """The streams of one entry that have begun with no known version."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        endpoints: proxies.ProxyEndpoints,
        origins: stream_origins.OriginDirectory,
        origin_recorder: recorder.OriginRecorder,
        clock: clocks.Clock,
        log: journal.Journal,
    ):
        """Initializes it without a stream.

        Args:
            cluster: knows the listed endpoints.
            endpoints: asks endpoints for their starts.
            origins: learns versions that have become known.
            origin_recorder: learns them, too.
            clock: a clock that includes time while the machine is suspended.
            log: the log of what has become known.
        """
        self._cluster = cluster
        self._endpoints = endpoints
        self._origins = origins
        self._recorder = origin_recorder
        self._clock = clock
        self._journal = log
        # By the attempt that began the stream, with its deadline.
        self._streams: dict[
            str, tuple[proxy_requests.StreamBeginning, float]
        ] = {}
        # The versions that have become known, of these streams.
        self._versions: dict[proxy_requests.StreamBeginning, str] = {}
        # When each listed start was asked last that has confirmed it is there.
        self._confirmed: dict[catalogue.EndpointStart, float] = {}
        # When each of them may be asked again.
        self._ask_at: dict[catalogue.EndpointStart, float] = {}

    def find_version(self, beginning: proxy_requests.StreamBeginning) -> str:
        """Returns the version that began a stream.

        Returns:
            stream_origins.UNKNOWN_VERSION if it is not known.
        """
        if beginning in self._versions:
            return self._versions[beginning]
        endpoint = beginning.endpoint
        if beginning.started is None:
            confirmed_at = self._confirmed.get(catalogue.get_start(endpoint))
            if confirmed_at is None or confirmed_at < beginning.sent_at:
                return stream_origins.UNKNOWN_VERSION
            return endpoint.version
        if beginning.started == endpoint.started:
            return endpoint.version
        listed = self._cluster.catalogue.find(endpoint.name)
        if (
            listed is None
            or listed.started != beginning.started
            or listed.service != endpoint.service
        ):
            return stream_origins.UNKNOWN_VERSION
        return listed.version

    def add(
        self,
        attempt: str,
        beginning: proxy_requests.StreamBeginning,
        until: float,
    ) -> None:
        """Adds a stream whose version is to be found until its deadline."""
        if len(self._streams) >= STREAMS_LIMIT:
            self._remove(next(iter(self._streams)))
        self._streams[attempt] = beginning, until

    def _remove(self, attempt: str) -> None:
        beginning, _ = self._streams.pop(attempt)
        self._versions.pop(beginning, None)

    async def check(self, now: float) -> None:
        """Records the versions that are known by now, and asks for others."""
        unconfirmed: dict[catalogue.EndpointStart, catalogue.Endpoint] = {}
        for attempt, (beginning, until) in list(self._streams.items()):
            if until <= now:
                self._remove(attempt)
                continue
            if beginning in self._versions:
                continue
            version = self.find_version(beginning)
            if version != stream_origins.UNKNOWN_VERSION:
                self._versions[beginning] = version
                await self._record(attempt, beginning, version, until)
            elif beginning.started is None:
                start = catalogue.get_start(beginning.endpoint)
                unconfirmed[start] = beginning.endpoint
        for start, endpoint in unconfirmed.items():
            if now >= self._ask_at.get(start, now) and (
                self._cluster.is_registered(start)
            ):
                self._ask_at[start] = now + ASK_AGAIN_SECONDS + ANSWER_SECONDS
                await curio.spawn(self._ask, endpoint, daemon=True)
        if not self._streams:
            self._confirmed.clear()
            self._ask_at.clear()

    async def _record(
        self,
        attempt: str,
        beginning: proxy_requests.StreamBeginning,
        version: str,
        until: float,
    ) -> None:
        """Records the version of a stream that has become known."""
        endpoint = beginning.endpoint
        origin = stream_origins.StreamOrigin(endpoint.service, version)
        self._journal.record_request(
            "stream_version_known",
            request=attempt,
            endpoint=endpoint.name,
            service=endpoint.service,
            version=version,
        )
        await self._recorder.record_stream(attempt, origin, until)
        await self._origins.record(attempt, origin, until)

    async def _ask(self, endpoint: catalogue.Endpoint) -> None:
        """Asks an endpoint for its start."""
        start = catalogue.get_start(endpoint)
        asked_at = self._clock.now()
        try:
            started = await self._endpoints.ask_start(endpoint, ANSWER_SECONDS)
            if started == endpoint.started:
                self._confirmed[start] = asked_at
        except errors.TransportError:
            # It is asked again as long as its streams last.
            pass
        self._ask_at[start] = self._clock.now() + ASK_AGAIN_SECONDS
