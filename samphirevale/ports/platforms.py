"""What a proxying entry needs of the platform on which it runs."""

from collections.abc import Callable
from typing import Any, NamedTuple

from samphirevale import catalogue, routes
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects, proxies


class PlatformAdapters(NamedTuple):
    """The adapters of an entry and the decoders of stored objects.

    Attributes:
        store: the object store.
        routes_kind: the kind of the stored object that contains the routes.
        routes_name: the name of that object.
        decode_routes: decodes the value of that object as a route table.
        endpoints_kind: the kind of the stored objects of endpoints.
        decode_cold_seconds: returns how much longer such an object says that
            its endpoint is cold, in seconds; 0 if it does not say so.
        cordons_kind: the kind of the stored objects that cordon data centres,
            each under the name of one.
        decode_endpoint: decodes such an object; returns None if it does not
            describe an endpoint.
        build_endpoints: builds what makes the calls to endpoints, from a
            listener that learns what their answers say about further calls.
        build_handler: builds the HTTP handler of callers from a function that
            answers requests and a clock.
    """

    store: objects.WatchedStore
    routes_kind: str
    routes_name: str
    decode_routes: Callable[[Any], routes.RouteTable]
    endpoints_kind: str
    decode_cold_seconds: Callable[[objects.StoredObject], float]
    cordons_kind: str
    decode_endpoint: Callable[[objects.StoredObject], catalogue.Endpoint | None]
    build_endpoints: Callable[
        [proxies.EndpointListener], proxies.ProxyEndpoints
    ]
    build_handler: Callable[[Any, clocks.Clock], Any]
