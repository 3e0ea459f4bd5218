"""Every metric of a process, declared in one place.

Each label has a bound on its values: what comes after that many is counted
under `other`, so that no caller can grow a process's memory by names.
"""

from typing import Any

import prometheus_client

# The value under which a label's values over its bound are counted.
OTHER = "other"

# The most values of each label.
LABEL_BOUNDS = {
    "account": 100,
    "direction": 2,
    "kind": 16,
    "outcome": 8,
    "peer": 500,
    "pipeline": 50,
    "pool": 50,
    "reason": 32,
    "result": 8,
    "stage": 50,
    "status": 32,
    "use": 2,
    "invariant": 64,
}

# Upper bounds of the buckets of times, in seconds.
SECONDS_BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

# The library's own registry, which has the process's memory and time too.
REGISTRY = prometheus_client.REGISTRY

# When each child was created says nothing that a restart does not.
prometheus_client.disable_created_metrics()


class Family:
    """A metric whose labels are bounded.

    Attributes:
        name: its name in Prometheus, without the `_total` of a counter.
    """

    def __init__(
        self, metric_type: type, name: str, doc: str, *labels: str, **options
    ):
        self.name = f"samphirevale_{name}"
        self._metric = metric_type(
            self.name, doc, labels, registry=REGISTRY, **options
        )
        self._seen: dict[str, set[str]] = {label: set() for label in labels}

    def labels(self, **values: Any) -> Any:
        """Returns the child for these labels, to count or set."""
        bounded = {
            label: self._bound(label, str(value))
            for label, value in values.items()
        }
        return self._metric.labels(**bounded)

    def inc(self, amount: float = 1) -> None:
        """Counts; for a metric without labels."""
        self._metric.inc(amount)

    def observe(self, value: float) -> None:
        """Adds a value; for a histogram without labels."""
        self._metric.observe(value)

    def set(self, value: float) -> None:
        """Sets; for a gauge without labels."""
        self._metric.set(value)

    def _bound(self, label: str, value: str) -> str:
        seen = self._seen[label]
        if value in seen:
            return value
        if len(seen) >= LABEL_BOUNDS[label]:
            return OTHER
        seen.add(value)
        return value


def _count(name: str, doc: str, *labels: str) -> Family:
    return Family(prometheus_client.Counter, name, doc, *labels)


def _gauge(name: str, doc: str, *labels: str) -> Family:
    return Family(prometheus_client.Gauge, name, doc, *labels)


def _histogram(name: str, doc: str, *labels: str) -> Family:
    return Family(
        prometheus_client.Histogram,
        name,
        doc,
        *labels,
        buckets=SECONDS_BUCKETS,
    )


# Callers' requests, on an entry.
REQUESTS = _count(
    "requests",
    "Requests that have ended, by their outcome.",
    "pipeline",
    "outcome",
)
REQUESTS_IN_TIME = _count(
    "requests_in_time",
    "Requests answered whole within their deadline.",
    "pipeline",
)
REQUEST_SECONDS = _histogram(
    "request_seconds",
    "Time from a request that has been read to its whole answer.",
    "pipeline",
)
REQUESTS_RUNNING = _gauge(
    "requests_running", "Requests that are in flight.", "pipeline"
)

# Stages. `use` is `whole` if the request got its whole answer in time, else
# `wasted`.
STAGE_SECONDS = _histogram(
    "stage_seconds", "Time of a stage of a request, its retries in.", "stage"
)
BUSY_MILLISECONDS = _count(
    "busy_milliseconds",
    "Time that endpoints worked on attempts.",
    "stage",
    "account",
    "use",
)
TOKENS = _count(
    "tokens", "Tokens that engines generated.", "stage", "account", "use"
)

# Attempts, on both roles.
HANDOVERS = _count(
    "handovers", "Attempts handed over to a sidecar or endpoint.", "stage"
)
RETRIES = _count("retries", "Attempts after a stage's first.", "stage")
REFUSALS = _count(
    "refusals", "Attempts that ended without a result.", "stage", "reason"
)
ANSWERS_DROPPED = _count(
    "answers_dropped",
    "Answers that belong to no waiting attempt, by the reason.",
    "reason",
)

# The platform's store.
STORE_CALLS = _count(
    "store_calls", "Calls to the object API, by kind of call.", "kind", "result"
)
STORE_SECONDS = _histogram(
    "store_seconds", "Time of one call to the object API.", "kind"
)

# Proxied requests, on a proxying entry. `kind` is `streamed`, `repeatable` or
# `once`; `reason` is empty for an endpoint's answer.
PROXIED_REQUESTS = _count(
    "proxied_requests",
    "Proxied requests that were answered, by the answer's status.",
    "kind",
    "status",
    "reason",
)
PROXIED_SECONDS = _histogram(
    "proxied_seconds",
    "Time from a request that has been read to its answer's first part.",
    "kind",
)
PIECES = _count(
    "pieces", "Pieces of stages, by why they were not made.", "reason"
)
BATCH_SECONDS = _histogram(
    "batch_seconds", "Time of one call to a batching endpoint."
)
ROUTES_AGE = _gauge(
    "routes_age_seconds", "Age of what is known of routes and keys."
)
ENTRIES_LINKED = _gauge("entries_linked", "Other entries that are alive.")
LINES_LEFT_OUT = _gauge(
    "log_lines_left_out", "Lines that the log left out since its last line."
)

# Connections between the system's own processes.
HEARTBEATS = _count(
    "heartbeats", "Heartbeats between our processes.", "direction"
)
FRAMES = _count("frames", "Frames between our processes.", "direction", "kind")
FRAME_BYTES = _count(
    "frame_bytes", "Bytes of frames between our processes.", "direction"
)
PEERS = _gauge("peers", "Peers by what is known of them.", "kind")

# Decisions and state.
REVISION = _gauge("configuration_revision", "The revision that is in force.")
INVARIANT_VIOLATIONS = _count(
    "invariant_violations", "Invariants found not to hold.", "invariant"
)
QUEUE_WAITING = _gauge("queue_waiting", "Attempts that wait here.", "pool")
QUEUE_RUNNING = _gauge(
    "queue_running", "Attempts that the endpoint is running.", "pool"
)
QUEUE_LIMIT = _gauge(
    "queue_limit", "Attempts that may run at once now.", "pool"
)
ORDERS = _count("orders", "Orders to endpoints.", "kind", "result")


def count_dropped(reason: str) -> None:
    """Counts an answer that no waiting attempt was given.

    Args:
        reason: `foreign`, `late` or `duplicate`.
    """
    ANSWERS_DROPPED.labels(reason=reason).inc()


def count_cost(
    stage: str, account: str, use: str, busy_ms: float, tokens: int
) -> None:
    """Counts what one attempt cost, once its request has ended.

    Args:
        stage: the stage's name.
        account: the client account.
        use: `whole` if the request was answered whole in time with this
            attempt's result, else `wasted`.
        busy_ms: the time that the endpoint worked on it.
        tokens: the tokens that it generated.
    """
    labels = {"stage": stage, "account": account, "use": use}
    BUSY_MILLISECONDS.labels(**labels).inc(busy_ms)
    TOKENS.labels(**labels).inc(tokens)


def render() -> bytes:
    """Returns every metric in Prometheus's text form."""
    return prometheus_client.generate_latest(REGISTRY)
