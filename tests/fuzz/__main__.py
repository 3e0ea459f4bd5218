"""Fuzzes the boundaries with fresh inputs, and prints the seeds.

    python -m tests.fuzz --inputs 100000 --seed 7 [NAME ...]

runs the modules, classes or tests of these names, all of tests/fuzz without
one, each test on this number of inputs. The same seed gives the same inputs.
A row is printed for each test after each of its seeds, so that a run that is
ended early still says what it has done. The exit status is 1 if an input
failed; `--seed N NAME` with the last seed of the row and the same number
of inputs, up to those of one seed, repeats the failure.
"""

import argparse
import secrets
import sys
import unittest
from collections.abc import Iterator
from typing import NamedTuple

import hypothesis

from tests.fuzz import inputs


class Row(NamedTuple):
    """What a test has done so far.

    Attributes:
        name: the test.
        inputs: the number of inputs that it was run on.
        seeds: the first and the last seed.
        failures: the texts of its failures.
    """

    name: str
    inputs: int
    seeds: tuple[int, int]
    failures: list[str]


def list_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yields the tests of a suite."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from list_tests(test)
        else:
            yield test


def run_test(
    test: unittest.TestCase, wanted: int, first_seed: int
) -> Iterator[Row]:
    """Runs a test seed by seed until it fails; yields the row after each."""
    method = getattr(type(test), test._testMethodName)
    if not hasattr(method, "hypothesis"):
        return
    inputs.counts.clear()
    seed = first_seed
    while sum(inputs.counts.values()) < wanted:
        hypothesis.seed(seed)(method)
        before = sum(inputs.counts.values())
        result = unittest.TestResult()
        test.run(result)
        count = sum(inputs.counts.values())
        failures = [text for _, text in result.failures + result.errors]
        yield Row(test.id(), count, (first_seed, seed), failures)
        if failures or count == before:
            return
        seed += 1


def print_row(row: Row) -> None:
    """Prints the row of a test, with the text of a failure."""
    first, last = row.seeds
    found = "failed" if row.failures else "-"
    print(f"{row.name} | {row.inputs} | {first}-{last} | {found}", flush=True)
    for text in row.failures:
        print(text, flush=True)


def main() -> int:
    """Runs the tests and returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.fuzz")
    parser.add_argument("--inputs", type=int, default=inputs.SEED_INPUTS)
    parser.add_argument(
        "--seed", type=int, default=secrets.randbelow(inputs.SEEDS)
    )
    parser.add_argument("names", nargs="*")
    options = parser.parse_args()
    # Before the tests are loaded, which are decorated with it.
    inputs.INPUTS = min(inputs.SEED_INPUTS, options.inputs)
    loader = unittest.TestLoader()
    if options.names:
        suite = loader.loadTestsFromNames(options.names)
    else:
        suite = loader.discover("tests/fuzz", top_level_dir=".")
    failed = False
    for test in list_tests(suite):
        for row in run_test(test, options.inputs, options.seed):
            print_row(row)
            failed = failed or bool(row.failures)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
