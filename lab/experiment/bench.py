"""Starts plays of the users' bench and reads their reports.

Only this module knows the bench's options and the fields of its reports.
"""

import json
import pathlib
import subprocess
from typing import Any, NamedTuple

# The prices that are reported, by our names.
_PRICES = {
    "refused_again": "worth refused again",
    "store_calls": "cloud calls",
    "processor_seconds": "processor seconds",
    "thrown_away_seconds": "seconds of stage work thrown away",
}


class Play(NamedTuple):
    """One day of a deployment.

    Attributes:
        site: the file of the deployment.
        day: the name of a standard day, or the file of another one.
        seed: the seed of the day's draws.
        charged: whether processor time counts.
    """

    site: pathlib.Path
    day: str
    seed: int
    charged: bool


class Outcome(NamedTuple):
    """What became of the requests of a play.

    Attributes:
        figures: the figures of the whole day by name: `worth`, the shares of
            requests `in_time`, `late`, `refused` and `failed`, the median time
            to the answer or first event `median_ms`, and prices.
        kinds: the worth of each kind of request.
        data_centres: the worth of each data centre's requests.
        broken: the rules that were broken.
    """

    figures: dict[str, float]
    kinds: dict[str, float]
    data_centres: dict[str, float]
    broken: list[str]


def run_play(
    program: pathlib.Path,
    tree: pathlib.Path,
    play: Play,
    jobs: int,
    why: str,
    report: pathlib.Path,
) -> Outcome:
    """Plays a day with the sources in a folder.

    Args:
        program: the bench.
        tree: the folder; its journal gets an entry.
        play: the day.
        jobs: the number of processors that the bench may use.
        why: the reason that is written to the journal.
        report: the file for the bench's report.

    Raises:
        RuntimeError: the bench has not written a report.
    """
    command = [str(program), "run", str(play.site), play.day]
    command += ["--seed", str(play.seed), "--jobs", str(jobs)]
    command += ["--report", str(report), "--why", why]
    if not play.charged:
        command.append("--no-cpu")
    with report.with_suffix(".log").open("w") as log:
        subprocess.run(command, cwd=tree, stdout=log, stderr=log, check=False)
    if not report.exists():
        raise RuntimeError(f"no report of {' '.join(command)}")
    return read_report(json.loads(report.read_text()))


def read_report(report: dict[str, Any]) -> Outcome:
    """Returns the outcome that a report tells."""
    total = report["all"]
    owed = max(total["n"] - total["not_owed"], 1)
    prices = {name: amount for name, amount, *_ in report["prices"]}
    figures = {
        "worth": report["G"],
        "in_time": total["in_aim"] / owed,
        "late": total["late"] / owed,
        "refused": total["refused"] / owed,
        "failed": total["failed"] / owed,
        "median_ms": total["p50_ms"],
        **{name: prices.get(text, 0.0) for name, text in _PRICES.items()},
    }
    broken = sorted(report["breaks"])
    if report["fault"]:
        broken.append(f"fault: {report['fault']}")
    return Outcome(
        figures,
        {item["name"]: item["worth"] for item in report["classes"]},
        {item["name"]: item["worth"] for item in report["zones"]},
        broken,
    )
