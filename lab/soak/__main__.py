"""Plays a seeded series of releases, restarts and losses.

    python -m lab.soak --seed 7 --entries 8 --servers 30 --seconds 20
    python -m lab.soak --regressions

Prints how requests ended, each broken rule and a trace of each joined stream.
Exits with 1 if a rule is broken; the logs are then kept in the folder.
"""

import argparse
import collections
import json
import pathlib
import shutil
import sys
import tempfile

import curio

from lab.soak import checks, plans, regressions, sessions

# The largest number of streams that are traced.
TRACES_LIMIT = 40


def report(
    play: plans.Play, seen: checks.Seen, folder: pathlib.Path
) -> list[checks.Finding]:
    """Prints what was seen, and returns the broken rules."""
    findings = checks.check_all(seen)
    for way, count in checks.count_ends(seen.legs).items():
        print(f"{count:6} {way}")
    for kind, taken_up in (("begins", False), ("take-ups", True)):
        refusals = checks.count_refusals(seen.legs, taken_up)
        for reason, count in refusals.items():
            print(f"{count:6} {kind} refused: {reason}")
    lines = sessions.read_lines(folder)
    streams = checks.group_streams(seen.legs)
    causes: collections.Counter[str] = collections.Counter()
    for number, finding in enumerate(findings):
        print(f"BROKEN {finding.kind} {finding.stream}: {finding.text}")
        legs = streams.get(finding.stream) or [
            leg for leg in seen.legs if leg.attempt == finding.stream
        ]
        if finding.kind == "joined":
            cause = checks.find_cause(legs, seen, lines)
            causes[cause] += 1
            print(f"  cause: {cause}: {checks.CAUSES[cause]}")
        if number < TRACES_LIMIT:
            print("  " + "\n  ".join(checks.build_trace(legs, seen, lines)))
    summary = {
        **play._asdict(),
        "streams": len(streams),
        **checks.compute_served(seen.legs),
        "findings": dict(collections.Counter(f.kind for f in findings)),
        "causes": dict(causes),
    }
    print(json.dumps(summary))
    return findings


def run_play(play: plans.Play, logs: pathlib.Path | None) -> bool:
    """Plays and reports; returns whether no rule was broken.

    Args:
        play: the settings.
        logs: the folder for the logs; None for a temporary one, which is
            removed if no rule was broken.
    """
    folder = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    seen = curio.run(sessions.play_all, play, folder)
    if report(play, seen, folder):
        print(f"logs: {folder}")
        return False
    if logs is None:
        shutil.rmtree(folder)
    return True


def main() -> int:
    """Plays, reports, and returns the exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    for name, default in plans.Play._field_defaults.items():
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=type(default), default=default)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", type=pathlib.Path, help="folder for the logs")
    parser.add_argument("--read", type=pathlib.Path, help="folder of a play")
    parser.add_argument(
        "--regressions",
        action="store_true",
        help="play what once broke a rule instead",
    )
    options = vars(parser.parse_args())
    logs, former = options.pop("logs"), options.pop("read")
    plays_regressions = options.pop("regressions")
    play = plans.Play(**options)
    if former is not None:
        return 1 if report(play, sessions.read_seen(former), former) else 0
    if not plays_regressions:
        return 0 if run_play(play, logs) else 1
    passed = [
        run_play(regression.play, None)
        for regression in regressions.REGRESSIONS
    ]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
