"""Plays variants in turn on the same seeds and prints their differences.

    python -m lab.experiment --bench PROGRAM --site FILE --days a,b \
        --seeds 1-8 base=COMMIT other=COMMIT,VARIABLE=VALUE

The first variant is the baseline. Outcomes are kept in the work folder, so that
the same call goes on where it was interrupted. The clones of the variants lie
there too, with the journals of their plays.
"""

import argparse
import pathlib
import sys
from collections.abc import Iterable, Iterator, Sequence

from lab.experiment import bench, pages, results, variants


def parse_seeds(text: str) -> list[int]:
    """Returns the seeds written as `1-4,7`."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def list_plays(
    sites: Iterable[pathlib.Path],
    days: Sequence[str],
    seeds: Sequence[int],
    charged: bool,
) -> Iterator[bench.Play]:
    """Yields the plays, all days with one seed before the next seed."""
    for seed in seeds:
        for site in sites:
            for day in days:
                yield bench.Play(site, day, seed, charged)


def play_all(
    chosen: Sequence[variants.Variant],
    plays: Sequence[bench.Play],
    kept: results.Results,
    options: argparse.Namespace,
) -> None:
    """Plays what is not done, each play with all variants in turn."""
    total = len(plays) * len(chosen)
    done = 0
    for play in plays:
        for variant in chosen:
            done += 1
            if kept.find(variant, play) is not None:
                continue
            outcome = bench.run_play(
                options.bench,
                options.work / variant.name,
                play,
                options.jobs,
                f"{options.why}: {variant.name}, seed {play.seed}",
                kept.build_path(variant, play),
            )
            kept.keep(variant, play, outcome)
            print(
                f"{done}/{total}",
                variant.name,
                play.site.stem,
                play.day,
                play.seed,
                f"{outcome.figures['worth']:.3f}",
                *outcome.broken,
                file=sys.stderr,
                flush=True,
            )


def collect_pairs(
    base: variants.Variant,
    other: variants.Variant,
    plays: Iterable[bench.Play],
    kept: results.Results,
) -> dict[str, list[tuple[bench.Outcome, bench.Outcome]]]:
    """Returns the pairs of outcomes by day, and of all days together."""
    pairs: dict[str, list[tuple[bench.Outcome, bench.Outcome]]] = {}
    for play in plays:
        pair = kept.find(base, play), kept.find(other, play)
        if None not in pair:
            day = f"{play.site.stem} {pathlib.Path(play.day).stem}"
            pairs.setdefault(day, []).append(pair)
    pairs[pages.ALL] = [pair for found in pairs.values() for pair in found]
    return pairs


def format_comparison(
    base: variants.Variant,
    other: variants.Variant,
    pairs: dict[str, list[tuple[bench.Outcome, bench.Outcome]]],
) -> str:
    """Returns the tables of one variant against the baseline."""
    rows = [("day", base.name, other.name, "difference in worth")]
    rows += [
        (day, *row)
        for day, found in pairs.items()
        for name, *row in pages.list_rows(found)
        if name == "worth"
    ]
    head = ("figure", base.name, other.name, "difference")
    return "\n\n".join(
        [
            f"## {other.name} against {base.name}",
            pages.format_table(rows),
            pages.format_table([head, *pages.list_rows(pairs[pages.ALL])]),
        ]
    )


def main() -> int:
    """Plays and compares the variants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", type=pathlib.Path, required=True)
    parser.add_argument(
        "--site", type=pathlib.Path, action="append", required=True
    )
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", type=parse_seeds, default=[1])
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--charged", action="store_true")
    parser.add_argument("--why", default="paired experiment")
    parser.add_argument(
        "--repository", type=pathlib.Path, default=pathlib.Path()
    )
    parser.add_argument(
        "--work", type=pathlib.Path, default=pathlib.Path("build/experiment")
    )
    parser.add_argument("--page", type=pathlib.Path)
    parser.add_argument("--plot", type=pathlib.Path)
    parser.add_argument("variants", nargs="+", type=variants.parse_variant)
    options = parser.parse_args()
    options.work.mkdir(parents=True, exist_ok=True)
    chosen = [
        variant._replace(
            commit=variants.check_out(
                variant,
                options.repository.resolve(),
                options.work.resolve() / variant.name,
            )
        )
        for variant in options.variants
    ]
    kept = results.Results(options.work.resolve() / "results")
    sites = [site.resolve() for site in options.site]
    plays = list(
        list_plays(
            sites, options.days.split(","), options.seeds, options.charged
        )
    )
    play_all(chosen, plays, kept, options)
    base, *others = chosen
    by_variant = {
        other.name: collect_pairs(base, other, plays, kept) for other in others
    }
    text = "\n\n".join(
        format_comparison(base, other, by_variant[other.name])
        for other in others
    )
    print(text)
    if options.page:
        options.page.write_text(f"{text}\n")
    if options.plot and by_variant:
        pages.write_plot(by_variant, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
