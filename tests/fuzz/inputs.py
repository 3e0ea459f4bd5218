"""How many inputs the tests of this package draw, and from which seeds.

In CI the inputs are the same in each run. By hand, `python -m tests.fuzz` draws
others, from a seed that it is given or chooses, and prints. So does unittest
with the number of inputs, and if wanted the seed, in the environment.
"""

import collections
import functools
import os
import secrets
import sys
from collections.abc import Callable
from typing import Any

import hypothesis

# The number of inputs of each test in CI.
CI_INPUTS = 60

# The number of inputs from one seed. Few enough that a failure is found again
# within a minute.
SEED_INPUTS = 5_000

# The largest seed that is chosen if none is given.
SEEDS = 10**6

# The number of inputs of each test, 0 for those of CI, and their seed.
INPUTS = int(os.environ.get("SAMPHIREVALE_FUZZ_INPUTS", "0"))
SEED = int(os.environ.get("SAMPHIREVALE_FUZZ_SEED", secrets.randbelow(SEEDS)))

if INPUTS:
    print(f"SAMPHIREVALE_FUZZ_SEED={SEED}", file=sys.stderr)

# The number of inputs that each test was run on, by its qualified name.
counts: collections.Counter[str] = collections.Counter()


def limit_inputs(
    test: Callable[..., Any], ci_inputs: int = CI_INPUTS
) -> Callable[..., Any]:
    """Sets the number and the seed of a test's inputs, and counts them.

    Args:
        test: the test.
        ci_inputs: the number of its inputs in CI.
    """
    run_input = test.hypothesis.inner_test

    @functools.wraps(run_input)
    def run_counted(*args: Any, **kwargs: Any) -> Any:
        counts[run_input.__qualname__] += 1
        return run_input(*args, **kwargs)

    test.hypothesis.inner_test = run_counted
    if INPUTS:
        hypothesis.seed(SEED)(test)
    return hypothesis.settings(
        derandomize=not INPUTS,
        deadline=None,
        max_examples=INPUTS or ci_inputs,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )(test)
