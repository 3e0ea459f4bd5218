"""`make slopes`: what one more peer, request, token or account costs.

    python -m lab.slopes [--write] [name ...]

Measures real processes on this machine, fits a line to each figure, prints
a table and, as the last line, one JSON object. With `--write` it puts the
table into docs/CAPACITY.md.
"""

import argparse
import json
import sys
import time

from lab import fits, measurements, pages, processes

PAGE = processes.ROOT / "docs" / "CAPACITY.md"

# The names of the tables in the page.
TABLES = ("slopes", "fleet")

HEAD = ("figure", "slope ± error", "unit", "per", "at 0 ± error", "points")

Fits = dict[str, dict[str, fits.Fit]]


def build_rows(found: Fits) -> list[tuple[str, ...]]:
    """Returns the rows of the table."""
    return [
        _build_row(f"{name}.{figure.name}", figure, found[name][figure.name])
        for name in found
        for figure in measurements.MEASUREMENTS[name].figures
    ]


def _build_row(
    name: str, figure: measurements.Figure, fit: fits.Fit
) -> tuple[str, ...]:
    show = measurements.format_number
    return (
        f"`{name}`",
        f"{show(fit.slope)} ± {show(fit.slope_error)}",
        figure.unit,
        figure.per,
        f"{show(fit.intercept)} ± {show(fit.intercept_error)}",
        str(fit.points),
    )


def measure_all(names: list[str]) -> Fits:
    """Runs measurements one after the other."""
    found = {}
    for name in names:
        started_at = time.monotonic()
        found[name] = measurements.summarize(name)
        seconds = time.monotonic() - started_at
        print(f"{name}: {seconds:.0f} s", file=sys.stderr, flush=True)
    return found


def build_json(found: Fits) -> str:
    """Returns all fits as one line of JSON."""
    return json.dumps(
        {
            name: {figure: fit._asdict() for figure, fit in figures.items()}
            for name, figures in found.items()
        }
    )


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="measurements; all if none")
    parser.add_argument(
        "--write", action="store_true", help="rewrite the page's table"
    )
    arguments = parser.parse_args()
    if arguments.write and arguments.names:
        parser.error("--write needs all measurements")
    names = arguments.names or list(measurements.MEASUREMENTS)
    found = measure_all(names)
    lines = pages.build_table(HEAD, build_rows(found))
    print("\n".join(lines))
    if arguments.write:
        pages.rewrite(PAGE, TABLE, lines)
    print(build_json(found))


if __name__ == "__main__":
    main()
