"""`make slopes`: measures the cost of one more peer, request, token or account.

    python -m lab.slopes [--write] [--kept] [name ...]

Measures real processes on this machine, fits a line to each figure, prints
tables and, as the last line, one JSON object. `--write` writes the tables to
docs/CAPACITY.md: the slopes, and the needs of the users' fleet that follow
from them (lab/fleet.py). A run of all measurements is saved in build/;
`--kept` rebuilds the tables from the saved run.
"""

import argparse
import json
import sys
import time
from collections.abc import Callable
from typing import NamedTuple

from lab import (
    attempts,
    capacity,
    connections,
    figures,
    fits,
    fleet,
    pages,
    processes,
    requests,
    revisions,
)

PAGE = processes.ROOT / "docs" / "CAPACITY.md"

# The file with the saved fits of the last run of all measurements.
SAVED_FITS = processes.ROOT / "build" / "slopes.json"

# The modules that register measurements.
MODULES = (connections, requests, attempts, revisions)

HEAD = ("figure", "slope ± error", "unit", "per", "at 0 ± error", "points")


class Table(NamedTuple):
    """A table of the page.

    Attributes:
        head: the names of its columns.
        build: a function that returns its rows, given the fits.
    """

    head: tuple[str, ...]
    build: Callable[[fleet.Fits], list[tuple[str, ...]]]


def build_rows(measured: fleet.Fits) -> list[tuple[str, ...]]:
    """Returns the rows of the table of slopes."""
    return [
        _build_row(f"{name}.{figure.name}", figure, measured[name][figure.name])
        for name in measured
        for figure in figures.MEASUREMENTS[name].figures
    ]


def _build_row(
    name: str, figure: figures.Figure, fit: fits.Fit
) -> tuple[str, ...]:
    show = figures.format_number
    return (
        f"`{name}`",
        f"{show(fit.slope)} ± {show(fit.slope_error)}",
        figure.unit,
        figure.per,
        f"{show(fit.intercept)} ± {show(fit.intercept_error)}",
        str(fit.points),
    )


def measure_all(names: list[str]) -> fleet.Fits:
    """Runs measurements one after another and returns their fits."""
    measured = {}
    for name in names:
        started_at = time.monotonic()
        measured[name] = figures.run_measurement(name)
        seconds = time.monotonic() - started_at
        print(f"{name}: {seconds:.0f} s", file=sys.stderr, flush=True)
    return measured


# The tables of the page, by the names of their markers.
TABLES = {
    "summary": Table(
        ("role", *(layout.name for layout in capacity.SUMMARY)),
        capacity.build_summary_rows,
    ),
    "limits": Table(
        (
            "bound",
            "reached at, of the letter's fleet",
            *(f"need at {layout.name}" for layout in fleet.SITES),
            "need at the letter's size",
        ),
        capacity.build_limit_rows,
    ),
    "intervals": Table(
        (
            "`heartbeat_seconds`",
            f"entry, {fleet.SITES[0].name}",
            "entry, letter",
            "entry, letter, subsets",
            "silence suspected after",
            "connection closed after",
        ),
        capacity.build_interval_rows,
    ),
    "needs": Table(
        (
            "layout",
            "role",
            "processor, ms/s (of 30)",
            "memory, MB (of 64)",
            "control, kB/s (of 12)",
        ),
        fleet.build_need_rows,
    ),
    "changes": Table(
        (
            "layout",
            "generations/s of an engine",
            "new prefixes (A)",
            "changed prefixes/s",
            "bytes/s of a connection",
        ),
        capacity.build_change_rows,
    ),
    "work": Table(
        (
            "tokens a frame",
            "entries: requests",
            "entries: tokens",
            "sidecars: attempts",
            "sidecars: tokens",
            "entries at 60%",
            "sidecars' cores at 60%",
        ),
        fleet.build_work_rows,
    ),
    "store": Table(
        ("layout", "keyed", "reads/s (of 2,000)", "writes/s (of 400)"),
        fleet.build_store_rows,
    ),
    "derived": Table(
        ("what", "figure (D)", "from"), capacity.build_derived_rows
    ),
    "slopes": Table(HEAD, build_rows),
}


def build_tables(measured: fleet.Fits) -> dict[str, list[str]]:
    """Returns the lines of each table of the page, by name."""
    return {
        name: pages.build_table(table.head, table.build(measured))
        for name, table in TABLES.items()
    }


def build_json(measured: fleet.Fits) -> str:
    """Returns all fits as one line of JSON."""
    return json.dumps(
        {
            name: {figure: fit._asdict() for figure, fit in lines.items()}
            for name, lines in measured.items()
        }
    )


def load_fits() -> fleet.Fits:
    """Returns the saved fits of the last run of all measurements."""
    saved = json.loads(SAVED_FITS.read_text(encoding="utf-8"))
    return {
        name: {figure: fits.Fit(**fit) for figure, fit in lines.items()}
        for name, lines in saved.items()
    }


def save_fits(measured: fleet.Fits) -> None:
    """Saves the fits of a run of all measurements."""
    SAVED_FITS.parent.mkdir(exist_ok=True)
    SAVED_FITS.write_text(build_json(measured), encoding="utf-8")


def main() -> None:
    """Runs the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="measurements; all if none")
    parser.add_argument(
        "--write", action="store_true", help="rewrite the page's tables"
    )
    parser.add_argument(
        "--kept", action="store_true", help="use the last saved run"
    )
    arguments = parser.parse_args()
    if arguments.names and (arguments.write or arguments.kept):
        parser.error("--write and --kept go with all measurements")
    if arguments.kept:
        measured = load_fits()
    else:
        measured = measure_all(arguments.names or list(figures.MEASUREMENTS))
    if arguments.names:
        tables = {"slopes": pages.build_table(HEAD, build_rows(measured))}
    else:
        save_fits(measured)
        tables = build_tables(measured)
    for name, lines in tables.items():
        print("\n".join([f"\n{name}", *lines]))
        if arguments.write:
            pages.rewrite(PAGE, name, lines)
    print(build_json(measured))


if __name__ == "__main__":
    main()
