"""The declarations of all metrics of a process.

Each label has a maximum number of values, and further values are counted
under `other`. Callers therefore cannot increase a process's memory use by
sending new names.
"""

from typing import Any

import prometheus_client

# The label value that stands for all values over the label's maximum.
OTHER = "other"

# Maximum number of values of each label.
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
    "service": 50,
    "stage": 50,
    "status": 32,
    "use": 2,
    "invariant": 64,
}

# Upper bounds of the buckets of duration histograms, in seconds.
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

# The library's default registry, which also has the process's memory use and
# CPU time.
REGISTRY = prometheus_client.REGISTRY

# The creation times of metrics give no information beyond the process's start
# time.
prometheus_client.disable_created_metrics()


class BoundedMetric:
    """A metric whose labels have a limited number of values.

    Attributes:
        name: the metric's name in Prometheus, without a counter's suffix
            `_total`.
    """

    def __init__(
        self, metric_type: type, name: str, doc: str, *labels: str, **options
    ):
        self.name = f"samphirevale_{name}"
        self._metric = metric_type(
            self.name, doc, labels, registry=REGISTRY, **options
        )
        self._known_values: dict[str, set[str]] = {
            label: set() for label in labels
        }

    def labels(self, **values: Any) -> Any:
        """Returns the child metric for these label values."""
        bounded = {
            label: self._limit_value(label, str(value))
            for label, value in values.items()
        }
        return self._metric.labels(**bounded)

    def inc(self, amount: float = 1) -> None:
        """Increases a counter or gauge without labels."""
        self._metric.inc(amount)

    def observe(self, value: float) -> None:
        """Adds a value to a histogram without labels."""
        self._metric.observe(value)

    def set(self, value: float) -> None:
        """Sets a gauge without labels."""
        self._metric.set(value)

    def _limit_value(self, label: str, value: str) -> str:
        known_values = self._known_values[label]
        if value in known_values:
            return value
        if len(known_values) >= LABEL_BOUNDS[label]:
            return OTHER
        known_values.add(value)
        return value


def _count(name: str, doc: str, *labels: str) -> BoundedMetric:
    return BoundedMetric(prometheus_client.Counter, name, doc, *labels)


def _gauge(name: str, doc: str, *labels: str) -> BoundedMetric:
    return BoundedMetric(prometheus_client.Gauge, name, doc, *labels)


def _histogram(name: str, doc: str, *labels: str) -> BoundedMetric:
    return BoundedMetric(
        prometheus_client.Histogram,
        name,
        doc,
        *labels,
        buckets=SECONDS_BUCKETS,
    )


# Callers' requests at an entry.
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

# Stages of requests. `use` is `whole` if the request was answered completely
# and in time with this attempt's result, and `wasted` otherwise.
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

# Attempts, at entries and sidecars.
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

# Calls to the platform's store.
STORE_CALLS = _count(
    "store_calls", "Calls to the object API, by kind of call.", "kind", "result"
)
STORE_SECONDS = _histogram(
    "store_seconds", "Time of one call to the object API.", "kind"
)
STORE_ERA_CHANGES = _count(
    "store_era_changes", "Returns of the store from a copy, with a new era."
)
STORE_ERAS_MALFORMED = _count(
    "store_eras_malformed", "Answers of the store with a malformed era."
)

# Requests at a proxying entry. `kind` is `streamed`, `repeatable` or `once`;
# `reason` is empty if the answer came from an endpoint.
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
CONNECTIONS_CLOSED = _count(
    "connections_closed",
    "Connections of callers that have ended, by the reason.",
    "reason",
)
ITEMS = _count(
    "pieces", "Pieces of stages, by why they were not made.", "reason"
)
BATCH_SECONDS = _histogram(
    "batch_seconds", "Time of one call to a batching endpoint."
)
REFUSED_ABOVE_SHARE = _count(
    "refused_above_share",
    "Requests refused for full stages whose account asks above its share.",
)
ENDPOINTS_LEAVING = _count(
    "endpoints_leaving", "Endpoints that said that they leave.", "service"
)
ENDPOINTS_COLD = _count(
    "endpoints_cold", "Times that an endpoint turned cold.", "service"
)
STARTS_UNNAMED = _count(
    "starts_unnamed",
    "Times that an endpoint named no start when it was asked.",
    "service",
)
DATA_CENTRES_CORDONED = _gauge(
    "data_centres_cordoned", "Data centres that get no new work."
)
ENDPOINT_PAUSES = _count(
    "endpoint_pauses", "Answers that asked for a pause.", "service"
)
ENDPOINT_CRASHES = _count(
    "endpoint_crashes",
    "Connections closed by endpoints that accuse parts of prompts.",
    "service",
)
CRASHING_PARTS = _gauge(
    "crashing_parts",
    "Groups of parts of prompts that are refused, as endpoints crash.",
)
ENDPOINT_LIMITS = _count(
    "endpoint_limits", "Answers that named a limit on calls.", "service"
)
NOTICES_MALFORMED = _count(
    "notices_malformed",
    "Headers about leaving, a pause or a limit, ignored or capped.",
    "service",
)
ROUTES_AGE = _gauge(
    "routes_age_seconds", "Age of what is known of routes and keys."
)
ENTRIES_LINKED = _gauge("entries_linked", "Other entries that are alive.")
LINES_LEFT_OUT = _gauge(
    "log_lines_left_out", "Lines that the log left out since its last line."
)

# Connections between entries and sidecars.
HEARTBEATS = _count(
    "heartbeats", "Heartbeats between our processes.", "direction"
)
FRAMES = _count("frames", "Frames between our processes.", "direction", "kind")
FRAME_BYTES = _count(
    "frame_bytes", "Bytes of frames between our processes.", "direction"
)
PEERS = _gauge("peers", "Peers by what is known of them.", "kind")

# Configuration, invariants, queues and orders.
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


def count_dropped_answer(reason: str) -> None:
    """Counts an answer that was dropped because no attempt waits for it.

    Args:
        reason: `foreign`, `late` or `duplicate`.
    """
    ANSWERS_DROPPED.labels(reason=reason).inc()


def count_cost(
    stage: str, account: str, use: str, busy_ms: float, tokens: int
) -> None:
    """Counts the cost of one attempt after its request has ended.

    Args:
        stage: the stage's name.
        account: name of the caller's account.
        use: `whole` if the request was answered completely and in time with
            this attempt's result, else `wasted`.
        busy_ms: the endpoint's processing time.
        tokens: number of tokens that the endpoint generated.
    """
    labels = {"stage": stage, "account": account, "use": use}
    BUSY_MILLISECONDS.labels(**labels).inc(busy_ms)
    TOKENS.labels(**labels).inc(tokens)


def render() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest(REGISTRY)
