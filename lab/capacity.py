"""Builds the tables of docs/CAPACITY.md that compare needs with limits.

The formulas are in lab/fleet.py; this module selects the cases to show.
"""

import functools
import itertools
from collections.abc import Callable, Iterator
from typing import NamedTuple

from lab import fleet
from samphirevale import sidecars, statuses

Row = tuple[str, ...]

# The number of bisection steps that find the size at which a limit is
# reached.
BISECTION_STEPS = 40

# The heartbeat intervals to compare, in seconds.
INTERVALS = (0.5, 1.0, 2.0, 5.0)

# The numbers of tokens per frame in the summary.
TOKENS_PER_FRAME = (1, 3)

# The layouts in the summary, without those that vary only one parameter.
SUMMARY = (*fleet.SITES, fleet.USERS_FLEET, fleet.SLOW_SUBSETS)

FIELDS = ("processor", "memory", "bytes")
LIMITS = (fleet.CPU_MS_LIMIT, fleet.MEMORY_MB_LIMIT, fleet.KB_LIMIT)


class Bound(NamedTuple):
    """A limit on a need of the fleet.

    Attributes:
        name: the name in the table.
        compute: returns the need of a layout as a multiple of the limit.
    """

    name: str
    compute: Callable[[fleet.Fits, fleet.Layout], float]


def _compute_share(
    role: str, field: int, measured: fleet.Fits, layout: fleet.Layout
) -> float:
    return fleet.ROLES[role](measured, layout)[field] / LIMITS[field]


def _compute_reads(measured: fleet.Fits, layout: fleet.Layout) -> float:
    store = fleet.compute_store(measured, layout, fleet.KEYED_SHARE)
    return store.reads / fleet.READS_LIMIT


def _compute_writes(measured: fleet.Fits, layout: fleet.Layout) -> float:
    store = fleet.compute_store(measured, layout, fleet.KEYED_SHARE)
    return store.writes / fleet.WRITES_LIMIT


def _compute_object(measured: fleet.Fits, layout: fleet.Layout) -> float:
    size = fleet.compute_configuration_bytes(measured, layout.accounts)
    return size / fleet.OBJECT_BYTES_LIMIT


BOUNDS = (
    *(
        Bound(f"{role}: {field}", functools.partial(_compute_share, role, n))
        for role, (n, field) in itertools.product(
            fleet.ROLES, enumerate(FIELDS)
        )
    ),
    Bound("store: reads, 20% keyed", _compute_reads),
    Bound("store: writes, 20% keyed", _compute_writes),
    Bound("configuration: one object", _compute_object),
)


def find_scale(
    bound: Bound, measured: fleet.Fits, layout: fleet.Layout
) -> float:
    """Returns the factor on a layout's size at which a limit is reached.

    The result is SCALE_LIMIT if the limit is not reached below it.
    """
    low, high = 0.0, fleet.SCALE_LIMIT
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        scaled = fleet.scale_layout(layout, middle)
        if bound.compute(measured, scaled) < 1:
            low = middle
        else:
            high = middle
    return high


def build_limit_rows(measured: fleet.Fits) -> list[Row]:
    """Returns the limits in the order in which a growing fleet reaches them."""
    scales = [
        find_scale(bound, measured, fleet.USERS_FLEET) for bound in BOUNDS
    ]
    ordered = sorted(zip(scales, BOUNDS, strict=True), key=lambda pair: pair[0])
    return [
        (
            bound.name,
            _format_scale(scale),
            *(
                f"{bound.compute(measured, layout):.2f}×"
                for layout in (*fleet.SITES, fleet.USERS_FLEET)
            ),
        )
        for scale, bound in ordered
    ]


def _format_scale(scale: float) -> str:
    if scale >= fleet.SCALE_LIMIT:
        return f"above {fleet.SCALE_LIMIT:.0f} times"
    return f"{scale:.1%}"


def build_summary_rows(measured: fleet.Fits) -> list[Row]:
    """Returns each role's needs compared with the limits, by layout."""
    rows = [
        (role, *(_format_need(compute(measured, layout)) for layout in SUMMARY))
        for role, compute in fleet.ROLES.items()
    ]
    rows.append(
        (
            "store, 20% keyed",
            *(_format_store(measured, item) for item in SUMMARY),
        )
    )
    rows += [
        (
            f"requests and tokens, {size} a frame",
            *(_format_work(measured, size, layout) for layout in SUMMARY),
        )
        for size in TOKENS_PER_FRAME
    ]
    return rows


def _format_need(need: fleet.Need) -> str:
    worst = max(
        value / bound for value, bound in zip(need, LIMITS, strict=True)
    )
    return (
        f"{need.cpu_ms:,.1f} ms/s, {need.memory_mb:,.0f} MB, "
        f"{need.kilobytes:,.1f} kB/s: {worst:.2f}×"
    )


def _format_store(measured: fleet.Fits, layout: fleet.Layout) -> str:
    store = fleet.compute_store(measured, layout, fleet.KEYED_SHARE)
    worst = max(
        _compute_reads(measured, layout), _compute_writes(measured, layout)
    )
    return f"{store.reads:,.0f} reads/s, {store.writes:,.0f} writes/s: " + (
        f"{worst:.2f}×"
    )


def _format_work(
    measured: fleet.Fits, size: float, layout: fleet.Layout
) -> str:
    work = fleet.compute_work(measured, size, layout)
    cores = work.entry_requests + work.entry_tokens
    share = cores / fleet.UTILISATION_LIMIT / layout.entries
    return f"{cores:,.1f} cores of {layout.entries} entries: {share:.2f}×"


def build_interval_rows(measured: fleet.Fits) -> list[Row]:
    """Returns the savings and the costs of slower heartbeats."""
    rows = []
    for seconds in INTERVALS:
        suspect_seconds = fleet.SUSPECT_BEATS * seconds
        needs = [
            fleet.compute_entry(
                measured, layout._replace(heartbeat_seconds=seconds)
            )
            for layout in (fleet.SITES[0], fleet.USERS_FLEET, fleet.SUBSETS)
        ]
        rows.append(
            (
                f"{seconds:g} s",
                *(
                    f"{need.cpu_ms:,.1f} ms/s, {need.kilobytes:,.1f} kB/s"
                    for need in needs
                ),
                f"{suspect_seconds:g} s",
                f"{sidecars.CLOSE_FACTOR * suspect_seconds:g} s",
            )
        )
    return rows


def build_change_rows(measured: fleet.Fits) -> list[Row]:
    """Returns the traffic of an engine's connection, by new prefixes."""
    idle = measured["engine_sidecar_per_entry"]["bytes"].slope * 1000
    changed = measured["heartbeat_per_prefix"]["changed"].slope
    rows = []
    for layout in (*fleet.SITES, fleet.USERS_FLEET):
        rate = layout.generations / layout.engines
        for share in (0.0, fleet.NEW_PREFIX_SHARE, 1.0):
            changes = rate * share * fleet.NEW_PREFIX_CHANGES
            rows.append(
                (
                    layout.name,
                    f"{rate:.1f}",
                    f"{share:.0%}",
                    f"{changes:.1f}",
                    f"{idle + changed * changes:,.0f}",
                )
            )
    return rows


def build_derived_rows(measured: fleet.Fits) -> list[Row]:
    """Returns the single figures that the page quotes, with formulas."""
    return [
        *_list_configuration(measured),
        *_list_requests(measured),
        *_list_joins(measured),
    ]


def _list_configuration(measured: fleet.Fits) -> Iterator[Row]:
    account = measured["configuration_per_account"]
    batch = measured["configuration_per_batch"]
    size = fleet.compute_configuration_bytes(measured)
    left = fleet.OBJECT_BYTES_LIMIT - size
    spread = measured["spread_per_sidecar"]
    yield "configuration in JSON", f"{size / 1000:,.0f} kB", "accounts, batches"
    yield (
        "further accounts until a megabyte",
        f"{left / account['bytes'].slope:,.0f}",
        "the rest of the object",
    )
    yield (
        "further batches until a megabyte",
        f"{left / batch['bytes'].slope:,.0f}",
        "the same; none is ever taken out",
    )
    yield (
        "configuration's bytes a node",
        f"{fleet.compute_configuration_kb(measured):.1f} kB/s",
        "size × changes a day / day",
    )
    yield (
        "entry that gives a revision to its share of sidecars",
        f"{spread['cpu'].slope * _count_sidecars(fleet.USERS_FLEET):,.0f} ms",
        "sidecars / entries × `spread_per_sidecar.cpu`",
    )
    yield (
        "status of an entry",
        f"{_compute_status_kb(measured, fleet.USERS_FLEET):,.0f} kB",
        f"{statuses.SIDECARS_LIMIT} sidecars at most",
    )


def _count_sidecars(layout: fleet.Layout) -> float:
    """Returns the number of sidecars per entry of a layout."""
    return (layout.engines + layout.others) / layout.entries


def _compute_status_kb(measured: fleet.Fits, layout: fleet.Layout) -> float:
    status = measured["entry_per_sidecar"]["status"]
    listed = min(layout.sidecars_connected, statuses.SIDECARS_LIMIT)
    return status.intercept + status.slope * listed


def _list_requests(measured: fleet.Fits) -> Iterator[Row]:
    stage = measured["entry_per_stage"]["cpu"]
    attempt = measured["sidecar_per_attempt"]["cpu"].slope
    hop = stage.intercept + (stage.slope + attempt) * fleet.STAGES
    frame = measured["entry_per_frame"]["cpu"].slope
    candidate = measured["entry_per_candidate"]["cpu"].slope
    frames = measured["sidecar_per_fast_token"]["frames"].slope
    yield (
        "processor time of a request outside its stages",
        f"{hop:,.1f} ms",
        f"entry's base, {fleet.STAGES} stages and attempts",
    )
    yield (
        "tokens a second that fill an entry's core, one a frame",
        f"{1000 / frame:,.0f}",
        "1 s / `entry_per_frame.cpu`",
    )
    yield "tokens of a frame at 6 ms apart", f"{1 / frames:.1f}", "M, inverted"
    for count in (fleet.ENGINES // fleet.MODELS, 18):
        yield (
            f"routing among {count} candidates",
            f"{candidate * count:.2f} ms a stage",
            "× `entry_per_candidate.cpu`",
        )


def _list_joins(measured: fleet.Fits) -> Iterator[Row]:
    entry = measured["entry_per_join"]["cpu"].slope
    sidecar = measured["sidecar_per_join"]["cpu"].slope
    for layout in (fleet.USERS_FLEET, fleet.SUBSETS):
        yield (
            f"entry that dials all it holds: {layout.name}",
            f"{entry * layout.sidecars_connected:,.0f} ms",
            "held × `entry_per_join.cpu`",
        )
    yield (
        "sidecar that all entries dial",
        f"{sidecar * fleet.USERS_FLEET.entries:,.0f} ms",
        "entries × `sidecar_per_join.cpu`",
    )
