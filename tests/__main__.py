"""Runs the tests; known failures are printed and do not fail the run.

`python -m tests` runs all tests, `python -m tests NAME ...` runs those with the
given dotted names of unittest.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Returns the ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix("test: ")
        for line in lines
        if line.startswith("test: ")
    }


def main() -> int:
    """Runs the tests and returns the exit status."""
    loader = unittest.TestLoader()
    if len(sys.argv) > 1:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = read_known_red()
    failed = {case.id() for case, _ in result.failures + result.errors}
    for name in sorted(known):
        seen = "failed" if name in failed else "did not fail here"
        print(f"known red: {name} {seen}; see KNOWN-RED.txt")
    unexpected = failed - known
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(
        f"{passed} passed, {len(unexpected)} failed, "
        f"{len(result.skipped)} skipped"
    )
    return 1 if unexpected or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
