"""`make ablations`: removes each mechanism and expects a test to fail.

Copies the tracked files to a temporary directory and checks that the named
tests pass there unchanged, then removes one mechanism at a time and runs its
tests. With `--prove`, runs the randomised proof instead of tests, one
ablation after another. Prints a table; the last line is one JSON object. The
exit status is 1 if tests or the proof pass without a mechanism, if they fail
with all mechanisms in place, or if a text to replace does not occur exactly
once.
"""

import argparse
import concurrent.futures
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from lab import (
    availability_mechanisms,
    crash_mechanisms,
    limit_mechanisms,
    mechanisms,
    origin_mechanisms,
    proxy_mechanisms,
    stream_mechanisms,
)
from samphirevale import tables

ROOT = pathlib.Path(__file__).resolve().parent.parent

# The maximum number of concurrent test runs.
PARALLEL_RUNS = 4

# The timeout of one ablation's tests, in seconds. Some tests hang without
# their mechanism.
TEST_SECONDS = 120.0

# The timeout of one randomised proof, in seconds.
PROVE_SECONDS = 200.0

# The duration of the load in one randomised proof, in seconds.
PROVE_LOAD_SECONDS = 20

# Output that shows that an edit broke the program instead of removing a
# mechanism.
LOAD_ERRORS = ("SyntaxError", "NameError", "ImportError")

# The ablations of entries and sidecars, and those of the proxying entry.
TEST_ABLATIONS = (
    mechanisms.TEST_ABLATIONS
    + proxy_mechanisms.TEST_ABLATIONS
    + stream_mechanisms.TEST_ABLATIONS
    + origin_mechanisms.TEST_ABLATIONS
    + crash_mechanisms.TEST_ABLATIONS
    + limit_mechanisms.TEST_ABLATIONS
    + availability_mechanisms.TEST_ABLATIONS
)

HEADERS = ["mechanism", "proof", "with it", "without it"]


class Run(NamedTuple):
    """The result of one run of tests or of the randomised proof.

    Attributes:
        verdict: `passed`, `failed`, `hung`, or `BROKEN!` if the program does
            not load.
        last_line: the last line of the output.
    """

    verdict: str
    last_line: str


class Row(NamedTuple):
    """One ablation's row of the table.

    Attributes:
        ablation: the ablation.
        proof: the names of its tests, or the proof's seed and invariant.
        intact: the verdict with the mechanism.
        ablated: the verdict without the mechanism.
        expected: whether tests passed with the mechanism and failed without
            it.
    """

    ablation: mechanisms.Ablation
    proof: str
    intact: str
    ablated: str
    expected: bool


def copy_tree(target: pathlib.Path) -> None:
    """Copies all tracked files, including uncommitted changes to them."""
    listed = subprocess.run(
        ["git", "ls-files", "-z"], cwd=ROOT, check=True, capture_output=True
    )
    for name in filter(None, listed.stdout.decode().split("\0")):
        copied = target / name
        copied.parent.mkdir(parents=True, exist_ok=True)
        if (ROOT / name).is_file():
            shutil.copy2(ROOT / name, copied)


def list_mismatches(
    root: pathlib.Path, ablations: Iterable[mechanisms.Ablation]
) -> list[str]:
    """Describes the edits whose text does not occur once in its file."""
    found = []
    for ablation in ablations:
        for edit in ablation.edits:
            count = (root / edit.file).read_text().count(edit.text)
            if count != 1:
                found.append(f"{ablation.name}: {edit.file} has it {count}x")
    return found


def apply_ablation(root: pathlib.Path, ablation: mechanisms.Ablation) -> None:
    """Removes a mechanism from a copy of the source tree."""
    for edit in ablation.edits:
        path = root / edit.file
        text = path.read_text()
        path.write_text(text.replace(edit.text, edit.replacement))


def run_module(
    root: pathlib.Path, arguments: Sequence[str], seconds: float
) -> Run:
    """Runs `python -m` in a copy of the source tree."""
    command = [sys.executable, "-m", *arguments]
    try:
        done = subprocess.run(
            command,
            cwd=root,
            timeout=seconds,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
    except subprocess.TimeoutExpired:
        return Run("hung", "")
    lines = done.stdout.strip().splitlines() or [""]
    if any(sign in done.stdout for sign in LOAD_ERRORS):
        return Run("BROKEN!", lines[-1])
    return Run("failed" if done.returncode else "passed", lines[-1])


def run_ablated(
    ablation: mechanisms.Ablation, arguments: Sequence[str], seconds: float
) -> Run:
    """Runs `python -m` in a new copy of the tree without a mechanism."""
    with tempfile.TemporaryDirectory(prefix="ablation-") as directory:
        root = pathlib.Path(directory)
        copy_tree(root)
        apply_ablation(root, ablation)
        return run_module(root, arguments, seconds)


def run_intact(names: Sequence[str]) -> Run:
    """Runs tests in an unmodified copy of the tree."""
    with tempfile.TemporaryDirectory(prefix="intact-") as directory:
        root = pathlib.Path(directory)
        copy_tree(root)
        return run_module(root, ["tests", *names], TEST_SECONDS)


def check_with_tests(
    ablations: Sequence[mechanisms.Ablation],
) -> list[Row]:
    """Returns a row for each ablation that tests must detect."""
    names = sorted({name for ablation in ablations for name in ablation.tests})
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        intact = dict(
            zip(
                names,
                pool.map(run_intact, [[name] for name in names]),
                strict=True,
            )
        )
        ablated = pool.map(
            lambda ablation: run_ablated(
                ablation, ["tests", *ablation.tests], TEST_SECONDS
            ),
            ablations,
        )
        return [
            _build_test_row(ablation, intact, run)
            for ablation, run in zip(ablations, ablated, strict=True)
        ]


def _build_test_row(
    ablation: mechanisms.Ablation, intact: dict[str, Run], run: Run
) -> Row:
    verdicts = {intact[name].verdict for name in ablation.tests}
    return Row(
        ablation,
        " ".join(ablation.tests),
        "passed" if verdicts == {"passed"} else "FAILED!",
        "PASSED!" if run.verdict == "passed" else run.verdict,
        verdicts == {"passed"} and run.verdict in ("failed", "hung"),
    )


def check_with_proofs(
    ablations: Sequence[mechanisms.Ablation],
) -> list[Row]:
    """Returns a row for each ablation that `lab.prove` must detect.

    Runs one proof at a time, because other load on the machine affects the
    results.
    """
    seeds = sorted({ablation.seed for ablation in ablations})
    intact = {seed: _run_proof(mechanisms.NO_ABLATION, seed) for seed in seeds}
    return [
        _build_proof_row(
            ablation, intact[ablation.seed], _run_proof(ablation, ablation.seed)
        )
        for ablation in ablations
    ]


def _run_proof(ablation: mechanisms.Ablation, seed: int) -> Run:
    arguments = ["lab.prove", "--seed", str(seed)]
    arguments += ["--seconds", str(PROVE_LOAD_SECONDS)]
    run = run_ablated(ablation, arguments, PROVE_SECONDS)
    print(f"{ablation.name}: {run.verdict}: {run.last_line}", flush=True)
    return run


def _build_proof_row(
    ablation: mechanisms.Ablation, intact: Run, run: Run
) -> Row:
    detected = run.verdict == "failed" and _names_invariant(
        run.last_line, ablation.invariant
    )
    return Row(
        ablation,
        f"lab.prove seed {ablation.seed}: {ablation.invariant}",
        "passed" if intact.verdict == "passed" else "FAILED!",
        "failed" if detected else f"NOT NOTICED! ({run.verdict})",
        detected and intact.verdict == "passed",
    )


def _names_invariant(line: str, invariant: str) -> bool:
    try:
        return invariant in json.loads(line)["violations_by_invariant"]
    except (ValueError, KeyError, TypeError):
        return False


def print_rows(rows: Sequence[Row]) -> None:
    """Prints the table and a JSON summary as the last line."""
    cells = [
        [row.ablation.name, row.proof, row.intact, row.ablated] for row in rows
    ]
    print(tables.format_table(HEADERS, cells))
    unnoticed = [row.ablation.name for row in rows if not row.expected]
    print(json.dumps({"ablations": len(rows), "unnoticed": unnoticed}))


def main() -> int:
    """Runs the ablations and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "names", nargs="*", help="ablations to run; default: all"
    )
    parser.add_argument("--prove", action="store_true")
    options = parser.parse_args()
    available = mechanisms.PROOF_ABLATIONS if options.prove else TEST_ABLATIONS
    chosen = [
        ablation
        for ablation in available
        if not options.names or ablation.name in options.names
    ]
    mismatches = list_mismatches(ROOT, chosen)
    if mismatches:
        print("\n".join(mismatches))
        return 1
    if options.prove:
        rows = check_with_proofs(chosen)
    else:
        rows = check_with_tests(chosen)
    print_rows(rows)
    return 0 if all(row.expected for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
