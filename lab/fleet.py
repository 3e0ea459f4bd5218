"""What the letter's fleet needs, worked out from the measured slopes.

Every formula takes the slopes as lab.slopes fits them. docs/CAPACITY.md has
the assumptions in words.
"""

from collections.abc import Callable
from typing import NamedTuple

from lab import connections, fits, partners, sites
from samphirevale import statuses

Fits = dict[str, dict[str, fits.Fit]]

# What a node may spend for control.
CPU_MS_LIMIT = 30.0
MEMORY_MB_LIMIT = 64.0
KB_LIMIT = 12.0

# What the store takes a second.
READS_LIMIT = 2000.0
WRITES_LIMIT = 400.0

# The largest object of the store, in bytes.
OBJECT_BYTES_LIMIT = 1_000_000

# The load at the peak, per second.
REQUESTS = 2700
TOKENS = 1_100_000

# Mean stages of a pipeline that has three to six.
STAGES = 4.5

# Stages of a request that generate tokens.
ENGINE_STAGES = 1

ENGINES = 720
DATA_CENTRES = 7
MODELS = 3
ACCOUNTS = 2800
PIPELINES = 24
CHANGES_A_DAY = 560
DAY_SECONDS = 86400

# The share of generating requests whose prompt's prefix no engine has cached,
# so that it takes the place of another one.
NEW_PREFIX_SHARE = 0.25

# Changes in a full cache by one new prefix: it comes, another one goes.
NEW_PREFIX_CHANGES = 2

# Today's settings: intervals between heartbeats and between readings of the
# platform's list, in seconds.
HEARTBEAT_SECONDS = 0.5
LIST_SECONDS = 1.0

# The proportion of `suspect_seconds` to `heartbeat_seconds` in them.
SUSPECT_BEATS = 3

# The slower settings that are weighed, in seconds.
SLOW_HEARTBEAT_SECONDS = 2.0
SLOW_LIST_SECONDS = 10.0

# Pools of a site besides its engines: four services, and the encoders,
# retrievers and rerankers.
OTHER_POOLS = 7

# Accounts of a site.
SITE_ACCOUNTS = 50

# The share of requests that may not be repeated, in the summary.
KEYED_SHARE = 0.2

# The largest multiple of the letter's fleet at which a bound is looked for.
SCALE_LIMIT = 20.0

# How many of the batches of a year are kept in the configuration.
BATCHES = 100

# Writes by which the sweep deletes the claim of one keyed request.
SWEEP_WRITES = 1.0

# The share of a processor that a process may be loaded with.
FILL = 0.6


class Layout(NamedTuple):
    """How many processes of ours there are, and whom an entry holds.

    Attributes:
        name: for the table.
        entries: how many there are.
        others: sidecars beside encoders, retrievers, rerankers, services.
        engines_held: engines' sidecars that an entry holds.
        others_held: other sidecars that an entry holds.
        heartbeat_seconds: interval between heartbeats.
        list_seconds: interval between an entry's readings of the list.
        engines: engines, with a sidecar each.
        requests: requests a second.
        generations: stages a second that generate tokens.
        tokens: tokens a second.
        accounts: client accounts.
    """

    name: str
    entries: int
    others: int
    engines_held: int
    others_held: int
    heartbeat_seconds: float = HEARTBEAT_SECONDS
    list_seconds: float = LIST_SECONDS
    engines: int = ENGINES
    requests: float = REQUESTS
    generations: float = REQUESTS * ENGINE_STAGES
    tokens: float = TOKENS
    accounts: int = ACCOUNTS

    @property
    def held(self) -> int:
        """The sidecars that an entry holds."""
        return self.engines_held + self.others_held

    @property
    def changes(self) -> float:
        """Changed prefixes of one engine a second."""
        new = self.generations / self.engines * NEW_PREFIX_SHARE
        return new * NEW_PREFIX_CHANGES


def build_site_layout(site: sites.Site) -> Layout:
    """Returns one of today's sites, with its engines full."""
    requests = sites.read_engine_capacity(site)
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
    """Returns the layout with everything that grows at `share` of it."""
    grown = (
        *("entries", "others", "engines_held", "others_held", "engines"),
        *("requests", "generations", "tokens", "accounts"),
    )
    return layout._replace(
        **{name: getattr(layout, name) * share for name in grown}
    )


def slow_layout(layout: Layout, name: str) -> Layout:
    """Returns the layout with the slower settings."""
    return layout._replace(
        name=name,
        heartbeat_seconds=SLOW_HEARTBEAT_SECONDS,
        list_seconds=SLOW_LIST_SECONDS,
    )


SITES = tuple(build_site_layout(site) for site in sites.SITES)

# 420 nodes are entries and the sidecars of other endpoints; the engines'
# sidecars are in the slots of their own instances.
LETTER = Layout("letter, today's settings", 120, 300, ENGINES, 300)
SUBSETS = LETTER._replace(
    name="letter, subsets", engines_held=54, others_held=42
)
SLOW_SUBSETS = slow_layout(SUBSETS, "letter, subsets, slower settings")

LAYOUTS = (
    *SITES,
    LETTER,
    slow_layout(LETTER, "letter, slower settings"),
    SUBSETS,
    SLOW_SUBSETS,
    LETTER._replace(name="letter, 420 entries", entries=420),
)


class Need(NamedTuple):
    """What one process needs for control alone, a second.

    Attributes:
        cpu_ms: processor time.
        memory_mb: resident memory.
        kilobytes: bytes on its connections.
    """

    cpu_ms: float
    memory_mb: float
    kilobytes: float


def compute_configuration_bytes(
    found: Fits, accounts: float = ACCOUNTS
) -> float:
    """Returns the size of the configuration in JSON."""
    account = found["configuration_per_account"]["bytes"]
    batch = found["configuration_per_batch"]["bytes"].slope
    return account.intercept + account.slope * accounts + batch * BATCHES


def compute_spread_kb(found: Fits, accounts: float = ACCOUNTS) -> float:
    """Returns the bytes of configuration that a node takes in a second."""
    size = compute_configuration_bytes(found, accounts)
    return size * CHANGES_A_DAY / DAY_SECONDS / 1000


def _compute_prefix_kb(found: Fits, layout: Layout) -> float:
    """Returns what changed prefixes add to a connection's bytes a second."""
    changed = found["heartbeat_per_prefix"]["changed"].slope
    return changed * layout.changes / 1000


def _compute_pace(layout: Layout) -> float:
    """Returns the heartbeats as a multiple of today's setting."""
    return HEARTBEAT_SECONDS / layout.heartbeat_seconds


def _compute_entry_slope(found: Fits, layout: Layout) -> float:
    """Returns an entry's processor time of one sidecar, in ms a second.

    A straight line in the rate of heartbeats through the two rates that are
    measured.
    """
    fast = found["entry_per_sidecar"]["cpu"].slope
    slow = found["entry_per_slow_sidecar"]["cpu"].slope
    slow_pace = partners.HEARTBEAT_SECONDS / connections.SLOW_SECONDS
    part = (_compute_pace(layout) - slow_pace) / (1 - slow_pace)
    return max(0.0, slow + (fast - slow) * part)


def _compute_status_kb(found: Fits, layout: Layout) -> float:
    """Returns the bytes of statuses that an entry writes in a second."""
    size = found["entry_per_sidecar"]["status"]
    listed = min(layout.held, statuses.SIDECARS_LIMIT)
    writes = found["store_at_rest"]["entry_writes"].slope
    return (size.intercept + size.slope * listed) * writes


def compute_entry(found: Fits, layout: Layout) -> Need:
    """Returns what an entry needs to hold its sidecars."""
    rest = found["entry_per_sidecar"]
    account = found["configuration_per_account"]["entry_memory"].slope
    cpu = _compute_entry_slope(found, layout) * layout.held
    memory = rest["memory"].intercept + rest["memory"].slope * layout.held
    sent = rest["bytes"].slope * layout.held * _compute_pace(layout)
    sent += _compute_prefix_kb(found, layout) * layout.engines_held
    sent += compute_spread_kb(found, layout.accounts)
    return Need(
        rest["cpu"].intercept + cpu,
        (memory + account * layout.accounts) / 1000,
        sent + _compute_status_kb(found, layout),
    )


def compute_sidecar(found: Fits, layout: Layout, engine: bool) -> Need:
    """Returns what a sidecar needs to be held by its entries."""
    role = "engine" if engine else "stage"
    rest = found[f"{role}_sidecar_per_entry"]
    account = found["configuration_per_account"]["sidecar_memory"].slope
    count = layout.entries * (
        layout.engines_held / layout.engines
        if engine
        else layout.others_held / layout.others
    )
    pace = _compute_pace(layout)
    sent = rest["bytes"].slope * pace
    sent += _compute_prefix_kb(found, layout) if engine else 0.0
    memory = rest["memory"].intercept + rest["memory"].slope * count
    return Need(
        rest["cpu"].intercept + rest["cpu"].slope * count * pace,
        (memory + account * layout.accounts) / 1000,
        sent * count + compute_spread_kb(found, layout.accounts),
    )


ROLES: dict[str, Callable[[Fits, Layout], Need]] = {
    "entry": compute_entry,
    "sidecar of an engine": lambda f, x: compute_sidecar(f, x, True),
    "sidecar of another endpoint": lambda f, x: compute_sidecar(f, x, False),
}


class Work(NamedTuple):
    """Processors that the requests themselves need, fully loaded.

    Attributes:
        size: tokens in a frame.
        entry_requests: of entries, for stages and requests.
        entry_tokens: of entries, for tokens.
        sidecar_attempts: of sidecars, for attempts.
        sidecar_tokens: of sidecars, for tokens.
    """

    size: float
    entry_requests: float
    entry_tokens: float
    sidecar_attempts: float
    sidecar_tokens: float


def compute_work(found: Fits, size: float, layout: Layout = LETTER) -> Work:
    """Returns the processors for the peak with `size` tokens a frame."""
    stage = found["entry_per_stage"]["cpu"]
    attempt = found["sidecar_per_attempt"]["cpu"].slope
    request_ms = stage.intercept + stage.slope * STAGES
    return Work(
        size,
        layout.requests * request_ms / 1000,
        layout.tokens * _compute_token_ms(found, "entry", size) / 1000,
        layout.requests * STAGES * attempt / 1000,
        layout.tokens * _compute_token_ms(found, "sidecar", size) / 1000,
    )


def _compute_token_ms(found: Fits, role: str, size: float) -> float:
    """Returns the processor time of one token in a frame of `size`."""
    frame = found[f"{role}_per_frame"]["cpu"].slope
    token = max(0.0, found[f"{role}_per_token"]["cpu"].slope)
    return token + max(0.0, frame - token) / size


class Store(NamedTuple):
    """Calls of the store, a second.

    Attributes:
        keyed: the share of requests that may not be repeated.
        reads: reads and watches.
        writes: writes.
    """

    keyed: float
    reads: float
    writes: float


def compute_store(found: Fits, layout: Layout, keyed: float) -> Store:
    """Returns the calls of all processes, with one claim a keyed request.

    What a region, a rollout or a failure adds is not in it.
    """
    rest = found["store_at_rest"]
    # Of the reads at rest, one a second is of the list.
    watches = rest["entry_reads"].slope - 1.0
    claims = found["store_per_keyed_request"]
    requests = layout.requests * keyed
    reads = layout.entries * (watches + 1.0 / layout.list_seconds)
    return Store(
        keyed,
        reads + requests * claims["reads"].slope,
        requests * (claims["writes"].slope + SWEEP_WRITES)
        + layout.entries * rest["entry_writes"].slope
        + CHANGES_A_DAY / DAY_SECONDS,
    )


def build_need_rows(found: Fits) -> list[tuple[str, ...]]:
    """Returns role, layout, processor, memory and bytes against bounds."""
    return [
        (layout.name, role, *_format_need(compute(found, layout)))
        for layout in LAYOUTS
        for role, compute in ROLES.items()
    ]


def _format_need(need: Need) -> tuple[str, ...]:
    bounds = (CPU_MS_LIMIT, MEMORY_MB_LIMIT, KB_LIMIT)
    return tuple(
        f"{value:,.1f} ({value / bound:.2f}×)"
        for value, bound in zip(need, bounds, strict=True)
    )


def build_work_rows(found: Fits) -> list[tuple[str, ...]]:
    """Returns the processors by tokens a frame, and processes at 60%."""
    rows = []
    for size in (1, 2, 3, 5, 10):
        work = compute_work(found, size)
        entries = work.entry_requests + work.entry_tokens
        sidecars = work.sidecar_attempts + work.sidecar_tokens
        rows.append(
            (
                str(size),
                *(f"{value:,.0f}" for value in work[1:]),
                f"{entries / FILL:,.0f}",
                f"{sidecars / FILL:,.0f}",
            )
        )
    return rows


def build_store_rows(found: Fits) -> list[tuple[str, ...]]:
    """Returns the store's calls by layout and share of keyed requests."""
    rows = []
    for layout in LAYOUTS:
        for keyed in (0.0, 0.05, KEYED_SHARE):
            store = compute_store(found, layout, keyed)
            rows.append(
                (
                    layout.name,
                    f"{keyed:.0%}",
                    f"{store.reads:,.0f} ({store.reads / READS_LIMIT:.2f}×)",
                    f"{store.writes:,.0f} ({store.writes / WRITES_LIMIT:.2f}×)",
                )
            )
    return rows
