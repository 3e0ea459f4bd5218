"""Chooses among the endpoints that may get one proxied request."""

from samphirevale import (
    catalogue,
    crash_reports,
    placement,
    proxy_context,
    proxy_requests,
)
from samphirevale.availability import eligibility


class EndpointChoice:
    """The endpoints that may get a request.

    Attributes:
        service: the service to which the request is sent.
        wanted: the conditions for the endpoints: the version of their software
            that has begun the request's stream, and its home regions.
        tried: the names of the endpoints to which it was sent.
    """

    def __init__(
        self,
        context: proxy_context.ProxyContext,
        request: proxy_requests.ProxiedRequest,
        service: str,
        data_centres: frozenset[str] | None = None,
        recorded: bool = False,
    ):
        """Initializes it for a request that was not sent yet.

        Args:
            context: knows the endpoints.
            request: the request.
            service: the service to which it is sent.
            data_centres: the data centres in its home regions; None for any.
            recorded: whether the store must know the version at which it
                begins.
        """
        self.service = service
        self.wanted = eligibility.Eligibility(
            None,
            data_centres,
            recorded,
            bool(crash_reports.list_shared_parts(request)),
        )
        self.tried: set[str] = set()
        # Those among them that were silent: they did not answer the connect, or
        # were left for another endpoint. They are the last choice.
        self._silent: set[str] = set()
        self._context = context
        self._request = request

    def choose(
        self, result_bytes: tuple[tuple[str, int], ...] = ()
    ) -> catalogue.Endpoint | None:
        """Returns the endpoint to send to, or None if there is none.

        Those that pause for other entries come after the others.

        Args:
            result_bytes: pairs of a data centre and the bytes of a result that
                is fetched from there.
        """
        return self._choose_wanted(self.wanted, result_bytes) or (
            self._choose_wanted(self.widen(), result_bytes)
        )

    def widen(self) -> eligibility.Eligibility:
        """Returns the conditions if no endpoint fulfils all that are wished.

        A request that begins rather goes to an endpoint that has started again
        since it was listed than to none.
        """
        return self.wanted._replace(unlisted=self.wanted.version is None)

    def has_listed(self) -> bool:
        """Returns whether a further endpoint is not known to have ended."""
        return self._choose_except(self.tried, (), self.wanted) is not None

    def has_naming(self) -> bool:
        """Returns whether another endpoint names its start and is not full."""
        now = self._context.clock.now()
        usable = self._context.cluster_state.list_usable(
            self.service, now, self.wanted
        )
        return any(
            endpoint.name not in self.tried
            for endpoint in self._list_naming(usable, now)
        )

    def _choose_wanted(
        self,
        wanted: eligibility.Eligibility,
        result_bytes: tuple[tuple[str, int], ...],
    ) -> catalogue.Endpoint | None:
        chosen = self._choose_except(self.tried, result_bytes, wanted)
        if chosen is None and self._silent:
            tried = self.tried - self._silent
            chosen = self._choose_except(tried, result_bytes, wanted)
        return chosen

    def _choose_except(
        self,
        tried: set[str],
        result_bytes: tuple[tuple[str, int], ...],
        wanted: eligibility.Eligibility,
    ) -> catalogue.Endpoint | None:
        cluster = self._context.cluster_state
        now = self._context.clock.now()
        request = placement.PlacementRequest(
            self._request.prompt,
            result_bytes,
            frozenset(tried),
            cluster.find_connections_limit(self.service),
        )
        choose = self._context.selector.choose
        usable = cluster.list_usable(self.service, now, wanted)
        return (
            choose(self._list_naming(usable, now), request, now)
            or choose(usable, request, now)
            or choose(
                cluster.list_available(self.service, now, wanted), request, now
            )
        )

    def _list_naming(
        self, usable: list[catalogue.Endpoint], now: float
    ) -> list[catalogue.Endpoint]:
        """Returns endpoints that name their starts and are not full.

        A stream that begins at another one cannot be taken up, but rather
        begins there than waits.
        """
        unnamed = self._context.cluster_state.unnamed_starts
        if not (unnamed and self.wanted.needs_start()):
            return usable
        selector = self._context.selector
        return [
            endpoint
            for endpoint in usable
            if not unnamed.is_marked(endpoint, now)
            and selector.count_running(endpoint.name) < endpoint.slots
        ]

    def bind_version(self, version: str) -> None:
        """Limits the choice to endpoints with a version of their software."""
        self.wanted = self.wanted._replace(version=version)

    def record_send(self, endpoint: catalogue.Endpoint) -> None:
        """Records that the request is sent to an endpoint."""
        self.tried.add(endpoint.name)
        self._silent.discard(endpoint.name)

    def record_silent(self, endpoint: catalogue.Endpoint) -> None:
        """Records that a silent endpoint does not have the request now."""
        self._silent.add(endpoint.name)

    def list_available(self) -> list[catalogue.Endpoint]:
        """Returns the endpoints to which this entry may send the request."""
        return self._context.cluster_state.list_available(
            self.service, self._context.clock.now(), self.wanted
        )

    def compute_pause(self) -> float:
        """Returns when the first of the endpoints ends its pause.

        Returns:
            The time in seconds from now; 0 if one is usable now, or if all
            leave.
        """
        return self._context.cluster_state.compute_pause(
            self.service, self._context.clock.now(), self.wanted
        )

    def compute_wait(self) -> float:
        """Returns when an endpoint can be chosen that pauses now.

        Endpoints that pause may be chosen again afterwards, also if the request
        was sent to them before.

        Returns:
            The time in seconds from now; 0 if one can be chosen now, or if none
            pauses.
        """
        if self.choose() is not None:
            return 0.0
        pauses = self._context.cluster_state.compute_pauses(
            self.service, self._context.clock.now(), self.wanted
        )
        self.tried -= pauses.keys()
        return min(pauses.values(), default=0.0)

    def all_pause(self) -> bool:
        """Returns whether only endpoints that pause could get the request."""
        return self.compute_pause() > 0

    def explain_none(self) -> str:
        """Returns why there is no endpoint, as words joined by `_`."""
        if self.all_pause():
            return "endpoints_paused"
        available = self.list_available()
        if not available:
            return self._explain_none_available()
        if all(endpoint.name in self.tried for endpoint in available):
            return "no_endpoint"
        return "no_connection_left"

    def _explain_none_available(self) -> str:
        """Returns why nothing may be sent to any endpoint."""
        cluster = self._context.cluster_state
        now = self._context.clock.now()
        if cluster.list_cordoned(self.service, now):
            return "endpoints_cordoned"
        accepting = cluster.catalogue.list_accepting(self.service)
        permitted = list(filter(self.wanted.permits, accepting))
        if self.wanted.recorded and any(
            not cluster.is_recorded(endpoint) for endpoint in permitted
        ):
            return "version_not_recorded"
        if permitted and not any(
            cluster.permits(endpoint, self.wanted, now)
            for endpoint in permitted
        ):
            return "start_not_listed"
        if accepting and self.wanted.data_centres is not None:
            return "no_endpoint_at_home"
        return "no_endpoint"
