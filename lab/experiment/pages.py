"""Tables and a plot of the differences between variants."""

import pathlib
from collections.abc import Iterable, Mapping, Sequence

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from lab.experiment import bench, differences

Pairs = Sequence[tuple[bench.Outcome, bench.Outcome]]

# The pairs of all days, in tables.
ALL = "all"


def format_difference(difference: differences.Difference) -> str:
    """Returns a difference with its interval as text."""
    text = f"{difference.mean:+.3f}"
    if difference.low is None:
        return f"{text} ({difference.pairs})"
    interval = f"{difference.low:+.3f} to {difference.high:+.3f}"
    return f"{text} ({interval}; {difference.pairs})"


def list_rows(pairs: Pairs) -> list[tuple[str, str, str, str]]:
    """Returns a figure's name, both means and the difference, for each."""
    rows = []
    for part in ("figures", "kinds", "data_centres"):
        names = {name for pair in pairs for name in getattr(pair[0], part)}
        for name in sorted(names):
            both = [
                (getattr(before, part)[name], getattr(after, part)[name])
                for before, after in pairs
                if None
                not in (
                    getattr(before, part).get(name),
                    getattr(after, part).get(name),
                )
            ]
            if not both:
                continue
            before, after = zip(*both, strict=True)
            difference = differences.compute_difference(before, after)
            rows.append(
                (
                    name if part == "figures" else f"worth of {name}",
                    f"{sum(before) / len(before):.3f}",
                    f"{sum(after) / len(after):.3f}",
                    format_difference(difference),
                )
            )
    return rows


def format_table(rows: Iterable[Sequence[str]]) -> str:
    """Returns rows as a table of Markdown; the first row is the head."""
    lines = [f"| {' | '.join(row)} |" for row in rows]
    width = lines[0].count("|") - 1
    return "\n".join([lines[0], "|" + " --- |" * width, *lines[1:]])


def write_plot(
    by_variant: Mapping[str, Mapping[str, Pairs]], path: pathlib.Path
) -> None:
    """Draws the difference in worth of each variant, by day.

    Args:
        by_variant: the pairs of a variant with the baseline, by day.
        path: the file of the plot.
    """
    figure, axes = pyplot.subplots(figsize=(7, 4), layout="constrained")
    for offset, (name, by_day) in enumerate(by_variant.items()):
        found = [
            differences.compute_difference(
                [before.figures["worth"] for before, _ in pairs],
                [after.figures["worth"] for _, after in pairs],
            )
            for pairs in by_day.values()
        ]
        errors = [
            [0 if item.low is None else item.mean - item.low for item in found],
            [
                0 if item.high is None else item.high - item.mean
                for item in found
            ],
        ]
        places = [index + 0.1 * offset for index in range(len(found))]
        means = [item.mean for item in found]
        axes.errorbar(places, means, errors, fmt="o", capsize=3, label=name)
    days = list(next(iter(by_variant.values())))
    axes.set_xticks(range(len(days)), days)
    axes.axhline(0, color="grey", linewidth=0.8)
    axes.set_ylabel("difference in worth")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
