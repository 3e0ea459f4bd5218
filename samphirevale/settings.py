"""The settings of the two roles, as typed values.

Each field is a flag (`--entry-port` for `entry_port`) and an environment
variable (`SAMPHIREVALE_ENTRY_PORT`).
"""

from typing import NamedTuple


class CommonSettings(NamedTuple):
    """What both roles need.

    Attributes:
        instance: this process's instance name, unique in the deployment.
        data_centre: where it runs.
        host: the address that it listens on.
        admin_port: port for metrics, health, the state dump.
        store_url: the platform's object API, `http://host:port`.
        peer_secret: shared secret between our own processes.
        heartbeat_seconds: interval between heartbeats.
        suspect_seconds: silence after which a peer is suspected.
        drain_seconds: longest time that a graceful stop waits.
        fatal_invariants: end the process when an invariant is violated.
    """

    instance: str
    data_centre: str
    host: str
    admin_port: int
    store_url: str
    peer_secret: str
    heartbeat_seconds: float = 0.5
    suspect_seconds: float = 1.5
    drain_seconds: float = 30.0
    fatal_invariants: bool = False


class EntrySettings(NamedTuple):
    """The settings of an entry.

    Attributes:
        common: what both roles need.
        caller_port: port for callers.
        operator_token: bearer token of operators, on the admin port.
        peers: `host:port` of sidecars to dial while the list is not to be
            had.
        list_seconds: interval between readings of the platform's list.
        body_bytes_limit: largest body of a caller.
        connections_limit: most connections of callers at once.
        idle_seconds: longest time that a caller's connection may be idle.
        claim_window_seconds: how long a claim and its outcome are kept.
        routing_policy: the name of a registered routing policy.
        admission_policy: the name of a registered admission policy.
    """

    common: CommonSettings
    caller_port: int
    operator_token: str
    peers: tuple[str, ...] = ()
    list_seconds: float = 1.0
    body_bytes_limit: int = 1024 * 1024
    connections_limit: int = 1000
    idle_seconds: float = 30.0
    claim_window_seconds: float = 86400.0
    routing_policy: str = "expected_completion"
    admission_policy: str = "deadline"


class SidecarSettings(NamedTuple):
    """The settings of a sidecar.

    Attributes:
        common: what both roles need.
        peer_port: port that entries dial.
        endpoint: the endpoint's name.
        endpoint_url: its address, `http://host:port`.
        endpoint_kind: `engine`, `stage` or `service`.
        pool: the pool that it belongs to.
        checks_fencing: the endpoint refuses orders with an old number.
        concurrency_limit: most attempts that the endpoint runs at once.
        queue_limit: most attempts that wait in the sidecar.
        lease_seconds: duration of the lease for orders.
        order_seconds: longest time that one order to the endpoint takes.
        load_seconds: interval between readings of the endpoint's load.
    """

    common: CommonSettings
    peer_port: int
    endpoint: str
    endpoint_url: str
    endpoint_kind: str
    pool: str
    checks_fencing: bool = True
    concurrency_limit: int = 8
    queue_limit: int = 32
    lease_seconds: float = 5.0
    order_seconds: float = 2.0
    load_seconds: float = 0.2
