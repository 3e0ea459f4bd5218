"""What the letter's fleet needs, worked out from the measured slopes.

Every formula takes the slopes as lab.slopes fits them. docs/CAPACITY.md has
the assumptions in words.
"""

from collections.abc import Callable
from typing import NamedTuple

from lab import fits
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

# Heartbeats a second both ways together, as today's settings have them.
BEATS = 4.0

# Cached prefixes that an engine's heartbeat names.
PREFIXES = 64

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
        beats: heartbeats a second of both sides of a connection.
        prefixes: cached prefixes that an engine's heartbeat names.
        list_seconds: interval between an entry's readings of the list.
    """

    name: str
    entries: int
    others: int
    engines_held: int
    others_held: int
    beats: float = BEATS
    prefixes: int = PREFIXES
    list_seconds: float = 1.0

    @property
    def held(self) -> int:
        """The sidecars that an entry holds."""
        return self.engines_held + self.others_held


# 420 nodes are entries and the sidecars of other endpoints; the engines'
# sidecars are in the slots of their own instances.
LAYOUTS = (
    Layout("today's code", 120, 300, ENGINES, 300),
    Layout("subsets", 120, 300, 54, 42),
    Layout("subsets, beats 2 s, no prefixes", 120, 300, 54, 42, 1.0, 0, 10.0),
    Layout("420 entries, today's code", 420, 300, ENGINES, 300),
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


def compute_configuration_bytes(found: Fits) -> float:
    """Returns the size of the configuration in JSON."""
    account = found["configuration_per_account"]["bytes"]
    batch = found["configuration_per_batch"]["bytes"].slope
    return account.intercept + account.slope * ACCOUNTS + batch * BATCHES


def compute_spread_kb(found: Fits) -> float:
    """Returns the bytes of configuration that a node takes in a second."""
    size = compute_configuration_bytes(found)
    return size * CHANGES_A_DAY / DAY_SECONDS / 1000


def _compute_beat_kb(found: Fits, layout: Layout) -> float:
    """Returns what prefixes add to the bytes of one connection a second."""
    prefix = found["heartbeat_per_prefix"]["bytes"].slope
    return prefix * layout.prefixes * layout.beats / 2 / 1000


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
    pace = layout.beats / BEATS
    cpu = rest["cpu"].intercept + rest["cpu"].slope * layout.held * pace
    memory = rest["memory"].intercept + rest["memory"].slope * layout.held
    sent = rest["bytes"].slope * layout.held * pace
    sent += _compute_beat_kb(found, layout) * layout.engines_held
    sent += compute_spread_kb(found) + _compute_status_kb(found, layout)
    return Need(cpu, (memory + account * ACCOUNTS) / 1000, sent)


def compute_sidecar(found: Fits, layout: Layout, engine: bool) -> Need:
    """Returns what a sidecar needs to be held by its entries."""
    role = "engine" if engine else "stage"
    rest = found[f"{role}_sidecar_per_entry"]
    account = found["configuration_per_account"]["sidecar_memory"].slope
    count = layout.entries * (
        layout.engines_held / ENGINES
        if engine
        else layout.others_held / layout.others
    )
    pace = layout.beats / BEATS
    plain = found["stage_sidecar_per_entry"]["bytes"].slope * pace
    sent = plain + (_compute_beat_kb(found, layout) if engine else 0.0)
    cpu = rest["cpu"].intercept + rest["cpu"].slope * count * pace
    memory = rest["memory"].intercept + rest["memory"].slope * count
    return Need(
        cpu,
        (memory + account * ACCOUNTS) / 1000,
        sent * count + compute_spread_kb(found),
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

    size: int
    entry_requests: float
    entry_tokens: float
    sidecar_attempts: float
    sidecar_tokens: float


def compute_work(found: Fits, size: int) -> Work:
    """Returns the processors for the peak with `size` tokens a frame."""
    stage = found["entry_per_stage"]["cpu"]
    attempt = found["sidecar_per_attempt"]["cpu"].slope
    request_ms = stage.intercept + stage.slope * STAGES
    return Work(
        size,
        REQUESTS * request_ms / 1000,
        TOKENS * _compute_token_ms(found, "entry", size) / 1000,
        REQUESTS * STAGES * attempt / 1000,
        TOKENS * _compute_token_ms(found, "sidecar", size) / 1000,
    )


def _compute_token_ms(found: Fits, role: str, size: int) -> float:
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
    requests = REQUESTS * keyed
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
    for size in (1, 2, 5, 10):
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
        for keyed in (0.0, 0.05, 0.2):
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
