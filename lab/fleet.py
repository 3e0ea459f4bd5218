"""Computes the needs of the users' fleet from the measured slopes.

All formulas use the slopes that lab.slopes fits. docs/CAPACITY.md describes
the assumptions.
"""

from collections.abc import Callable
from typing import NamedTuple

from lab import connections, fake_peers, fits, sites
from samphirevale import statuses

Fits = dict[str, dict[str, fits.Fit]]

# The limits of a node's control overhead: processor time in milliseconds per
# second, resident memory in megabytes, and traffic in kilobytes per second.
CPU_MS_LIMIT = 30.0
MEMORY_MB_LIMIT = 64.0
KB_LIMIT = 12.0

# The store's limits, in calls per second.
READS_LIMIT = 2000.0
WRITES_LIMIT = 400.0

# The maximum size of an object in the store, in bytes.
OBJECT_BYTES_LIMIT = 1_000_000

# The peak load, per second.
REQUESTS = 2700
TOKENS = 1_100_000

# The mean number of stages of a pipeline; pipelines have three to six.
STAGES = 4.5

# The number of stages of a request that generate tokens.
ENGINE_STAGES = 1

ENGINES = 720
DATA_CENTRES = 7
MODELS = 3
ACCOUNTS = 2800
PIPELINES = 24
CHANGES_PER_DAY = 560
DAY_SECONDS = 86400

# The share of generating requests whose prompt prefix no engine has cached.
# Caching it evicts another prefix.
NEW_PREFIX_SHARE = 0.25

# The changes that one new prefix causes in a full cache: one prefix is added
# and another one is evicted.
NEW_PREFIX_CHANGES = 2

# The current settings: the intervals between heartbeats and between reads of
# the platform's list, in seconds.
HEARTBEAT_SECONDS = 0.5
LIST_SECONDS = 1.0

# The ratio of `suspect_seconds` to `heartbeat_seconds` in these settings.
SUSPECT_BEATS = 3

# The slower settings under consideration, in seconds.
SLOW_HEARTBEAT_SECONDS = 2.0
SLOW_LIST_SECONDS = 10.0

# The number of a site's pools besides its engines: four services, encoders,
# retrievers and rerankers.
OTHER_POOLS = 7

# The number of accounts of a site.
SITE_ACCOUNTS = 50

# The share of requests that must not be repeated, in the summary.
KEYED_SHARE = 0.2

# The maximum multiple of the fleet's size up to which a limit is searched for.
SCALE_LIMIT = 20.0

# The number of batches in the configuration after a year of rollouts.
BATCHES = 100

# The number of writes with which the sweep deletes a keyed request's claim.
SWEEP_WRITES = 1.0

# The maximum utilisation of a processor by a process.
UTILISATION_LIMIT = 0.6


class Layout(NamedTuple):
    """The size, connections and load of a fleet.

    Attributes:
        name: the name in the tables.
        entries: the number of entries.
        others: the number of sidecars of encoders, retrievers, rerankers and
            services.
        engines_connected: the number of engines' sidecars that an entry is
            connected to.
        others_connected: the number of other sidecars that an entry is
            connected to.
        heartbeat_seconds: the interval between heartbeats.
        list_seconds: the interval between an entry's reads of the platform's
            list.
        engines: the number of engines, each with a sidecar.
        requests: requests per second.
        generations: generating stages per second.
        tokens: tokens per second.
        accounts: the number of accounts.
    """

    name: str
    entries: int
    others: int
    engines_connected: int
    others_connected: int
    heartbeat_seconds: float = HEARTBEAT_SECONDS
    list_seconds: float = LIST_SECONDS
    engines: int = ENGINES
    requests: float = REQUESTS
    generations: float = REQUESTS * ENGINE_STAGES
    tokens: float = TOKENS
    accounts: int = ACCOUNTS

    @property
    def sidecars_connected(self) -> int:
        """The number of sidecars that an entry is connected to."""
        return self.engines_connected + self.others_connected

    @property
    def changes(self) -> float:
        """The changed prefixes of one engine per second."""
        new = self.generations / self.engines * NEW_PREFIX_SHARE
        return new * NEW_PREFIX_CHANGES


def build_site_layout(site: sites.Site) -> Layout:
    """Returns the layout of a current site at its engines' full load."""
    requests = sites.compute_engine_capacity(site)
    share = sum(
        part
        for kind, part in sites.MIX.items()
        if "engines" in sites.KINDS[kind]
    )
    others = OTHER_POOLS * site.endpoints
    return Layout(
        f"{site.name}, today",
        site.entries,
        others,
        site.engines,
        others,
        engines=site.engines,
        requests=requests,
        generations=requests * share,
        tokens=requests * share * sites.TOKENS_MEAN,
        accounts=SITE_ACCOUNTS,
    )


def scale_layout(layout: Layout, share: float) -> Layout:
    """Returns the layout with sizes and loads multiplied by `share`."""
    scaled = (
        *(
            "entries",
            "others",
            "engines_connected",
            "others_connected",
            "engines",
        ),
        *("requests", "generations", "tokens", "accounts"),
    )
    return layout._replace(
        **{name: getattr(layout, name) * share for name in scaled}
    )


def build_slow_layout(layout: Layout, name: str) -> Layout:
    """Returns the layout with the slower settings."""
    return layout._replace(
        name=name,
        heartbeat_seconds=SLOW_HEARTBEAT_SECONDS,
        list_seconds=SLOW_LIST_SECONDS,
    )


SITES = tuple(build_site_layout(site) for site in sites.SITES)

# The 420 nodes consist of entries and the sidecars of other endpoints; the
# engines' sidecars run on the instances of their engines.
USERS_FLEET = Layout("letter, today's settings", 120, 300, ENGINES, 300)
SUBSETS = USERS_FLEET._replace(
    name="letter, subsets", engines_connected=54, others_connected=42
)
SLOW_SUBSETS = build_slow_layout(SUBSETS, "letter, subsets, slower settings")

LAYOUTS = (
    *SITES,
    USERS_FLEET,
    build_slow_layout(USERS_FLEET, "letter, slower settings"),
    SUBSETS,
    SLOW_SUBSETS,
    USERS_FLEET._replace(name="letter, 420 entries", entries=420),
)


class Need(NamedTuple):
    """The control overhead of one process, without requests.

    Attributes:
        cpu_ms: processor time, in milliseconds per second.
        memory_mb: resident memory, in megabytes.
        kilobytes: traffic on its connections, in kilobytes per second.
    """

    cpu_ms: float
    memory_mb: float
    kilobytes: float


def compute_configuration_bytes(
    measured: Fits, accounts: float = ACCOUNTS
) -> float:
    """Returns the size of the configuration as JSON, in bytes."""
    account = measured["configuration_per_account"]["bytes"]
    batch = measured["configuration_per_batch"]["bytes"].slope
    return account.intercept + account.slope * accounts + batch * BATCHES


def compute_configuration_kb(
    measured: Fits, accounts: float = ACCOUNTS
) -> float:
    """Returns the configuration traffic of a node, in kB per second."""
    size = compute_configuration_bytes(measured, accounts)
    return size * CHANGES_PER_DAY / DAY_SECONDS / 1000


def _compute_prefix_kb(measured: Fits, layout: Layout) -> float:
    """Returns the traffic of changed prefixes on a connection, in kB/s."""
    changed = measured["heartbeat_per_prefix"]["changed"].slope
    return changed * layout.changes / 1000


def _compute_heartbeat_ratio(layout: Layout) -> float:
    """Returns the heartbeat rate as a multiple of the current setting's."""
    return HEARTBEAT_SECONDS / layout.heartbeat_seconds


def _compute_entry_slope(measured: Fits, layout: Layout) -> float:
    """Returns an entry's processor time for one sidecar, in ms per second.

    Interpolates linearly between the two measured heartbeat rates.
    """
    fast = measured["entry_per_sidecar"]["cpu"].slope
    slow = measured["entry_per_slow_sidecar"]["cpu"].slope
    slow_ratio = fake_peers.HEARTBEAT_SECONDS / connections.SLOW_SECONDS
    part = (_compute_heartbeat_ratio(layout) - slow_ratio) / (1 - slow_ratio)
    return max(0.0, slow + (fast - slow) * part)


def _compute_status_kb(measured: Fits, layout: Layout) -> float:
    """Returns the traffic of an entry's status writes, in kB per second."""
    size = measured["entry_per_sidecar"]["status"]
    listed = min(layout.sidecars_connected, statuses.SIDECARS_LIMIT)
    writes = measured["store_at_rest"]["entry_writes"].slope
    return (size.intercept + size.slope * listed) * writes


def compute_entry(measured: Fits, layout: Layout) -> Need:
    """Returns an entry's need for the connections to its sidecars."""
    idle = measured["entry_per_sidecar"]
    account = measured["configuration_per_account"]["entry_memory"].slope
    cpu = _compute_entry_slope(measured, layout) * layout.sidecars_connected
    memory = (
        idle["memory"].intercept
        + idle["memory"].slope * layout.sidecars_connected
    )
    sent = (
        idle["bytes"].slope
        * layout.sidecars_connected
        * _compute_heartbeat_ratio(layout)
    )
    sent += _compute_prefix_kb(measured, layout) * layout.engines_connected
    sent += compute_configuration_kb(measured, layout.accounts)
    return Need(
        idle["cpu"].intercept + cpu,
        (memory + account * layout.accounts) / 1000,
        sent + _compute_status_kb(measured, layout),
    )


def compute_sidecar(measured: Fits, layout: Layout, engine: bool) -> Need:
    """Returns a sidecar's need for the connections to its entries."""
    role = "engine" if engine else "stage"
    idle = measured[f"{role}_sidecar_per_entry"]
    account = measured["configuration_per_account"]["sidecar_memory"].slope
    count = layout.entries * (
        layout.engines_connected / layout.engines
        if engine
        else layout.others_connected / layout.others
    )
    heartbeat_ratio = _compute_heartbeat_ratio(layout)
    sent = idle["bytes"].slope * heartbeat_ratio
    sent += _compute_prefix_kb(measured, layout) if engine else 0.0
    memory = idle["memory"].intercept + idle["memory"].slope * count
    return Need(
        idle["cpu"].intercept + idle["cpu"].slope * count * heartbeat_ratio,
        (memory + account * layout.accounts) / 1000,
        sent * count + compute_configuration_kb(measured, layout.accounts),
    )


ROLES: dict[str, Callable[[Fits, Layout], Need]] = {
    "entry": compute_entry,
    "sidecar of an engine": lambda f, x: compute_sidecar(f, x, True),
    "sidecar of another endpoint": lambda f, x: compute_sidecar(f, x, False),
}


class Work(NamedTuple):
    """The processors that requests and tokens need at full utilisation.

    Attributes:
        size: the number of tokens per frame.
        entry_requests: the processors of entries for requests and stages.
        entry_tokens: the processors of entries for tokens.
        sidecar_attempts: the processors of sidecars for attempts.
        sidecar_tokens: the processors of sidecars for tokens.
    """

    size: float
    entry_requests: float
    entry_tokens: float
    sidecar_attempts: float
    sidecar_tokens: float


def compute_work(
    measured: Fits, size: float, layout: Layout = USERS_FLEET
) -> Work:
    """Returns the processors for a layout's load, `size` tokens per frame."""
    stage = measured["entry_per_stage"]["cpu"]
    attempt = measured["sidecar_per_attempt"]["cpu"].slope
    request_ms = stage.intercept + stage.slope * STAGES
    return Work(
        size,
        layout.requests * request_ms / 1000,
        layout.tokens * _compute_token_ms(measured, "entry", size) / 1000,
        layout.requests * STAGES * attempt / 1000,
        layout.tokens * _compute_token_ms(measured, "sidecar", size) / 1000,
    )


def _compute_token_ms(measured: Fits, role: str, size: float) -> float:
    """Returns the processor time per token in frames of `size` tokens."""
    frame = measured[f"{role}_per_frame"]["cpu"].slope
    token = max(0.0, measured[f"{role}_per_token"]["cpu"].slope)
    return token + max(0.0, frame - token) / size


class Store(NamedTuple):
    """The load of the store.

    Attributes:
        keyed: the share of requests that must not be repeated.
        reads: reads and watches per second.
        writes: writes per second.
    """

    keyed: float
    reads: float
    writes: float


def compute_store(measured: Fits, layout: Layout, keyed: float) -> Store:
    """Returns the store load of all processes, with a claim per keyed request.

    The extra load of a region, a rollout or a failure is not included.
    """
    idle = measured["store_at_rest"]
    # One of the reads per second at rest is a read of the platform's list.
    watches = idle["entry_reads"].slope - 1.0
    claims = measured["store_per_keyed_request"]
    requests = layout.requests * keyed
    reads = layout.entries * (watches + 1.0 / layout.list_seconds)
    return Store(
        keyed,
        reads + requests * claims["reads"].slope,
        requests * (claims["writes"].slope + SWEEP_WRITES)
        + layout.entries * idle["entry_writes"].slope
        + CHANGES_PER_DAY / DAY_SECONDS,
    )


def build_need_rows(measured: Fits) -> list[tuple[str, ...]]:
    """Returns the needs of each layout and role, compared with the limits."""
    return [
        (layout.name, role, *_format_need(compute(measured, layout)))
        for layout in LAYOUTS
        for role, compute in ROLES.items()
    ]


def _format_need(need: Need) -> tuple[str, ...]:
    bounds = (CPU_MS_LIMIT, MEMORY_MB_LIMIT, KB_LIMIT)
    return tuple(
        f"{value:,.1f} ({value / bound:.2f}×)"
        for value, bound in zip(need, bounds, strict=True)
    )


def build_work_rows(measured: Fits) -> list[tuple[str, ...]]:
    """Returns the needed processors by tokens per frame.

    The last two columns are the processors at UTILISATION_LIMIT.
    """
    rows = []
    for size in (1, 2, 3, 5, 10):
        work = compute_work(measured, size)
        entries = work.entry_requests + work.entry_tokens
        sidecars = work.sidecar_attempts + work.sidecar_tokens
        rows.append(
            (
                str(size),
                *(f"{value:,.0f}" for value in work[1:]),
                f"{entries / UTILISATION_LIMIT:,.0f}",
                f"{sidecars / UTILISATION_LIMIT:,.0f}",
            )
        )
    return rows


def build_store_rows(measured: Fits) -> list[tuple[str, ...]]:
    """Returns the store's load by layout and share of keyed requests."""
    rows = []
    for layout in LAYOUTS:
        for keyed in (0.0, 0.05, KEYED_SHARE):
            store = compute_store(measured, layout, keyed)
            rows.append(
                (
                    layout.name,
                    f"{keyed:.0%}",
                    f"{store.reads:,.0f} ({store.reads / READS_LIMIT:.2f}×)",
                    f"{store.writes:,.0f} ({store.writes / WRITES_LIMIT:.2f}×)",
                )
            )
    return rows
