"""Invariants of the program, asserted where they could be broken.

A violation is counted and logged. In fatal mode (tests, `fatal_invariants`)
it raises as well, so that the process ends where it went wrong.
"""

import collections
from typing import Any

from absl import logging

from samphirevale import errors, metrics

_descriptions: dict[str, str] = {}
_violations: collections.Counter[str] = collections.Counter()
_fatal = False


def declare(name: str, description: str) -> str:
    """Registers an invariant and returns its name."""
    if name in _descriptions:
        raise ValueError(f"invariant {name} is declared twice")
    _descriptions[name] = description
    metrics.INVARIANT_VIOLATIONS.labels(invariant=name)
    return name


OWN_RESULT = declare(
    "own_result",
    "No stage result is lost, doubled or given to another request.",
)
WHOLE_ANSWER = declare(
    "whole_answer",
    "A caller gets the whole answer to its own request, in order.",
)
NOT_RUN_IS_TRUE = declare(
    "not_run_is_true",
    "A request refused as not_run was handed to no endpoint.",
)
AT_MOST_ONCE = declare(
    "at_most_once",
    "A non-repeatable stage of a keyed request runs at most once.",
)
LEAVING_GETS_NO_WORK = declare(
    "leaving_gets_no_work",
    "An endpoint known to be leaving is handed no new attempt.",
)
SHUTDOWN_CUTS_NOTHING = declare(
    "shutdown_cuts_nothing",
    "A graceful shutdown ends with no request in flight.",
)
CONFIGURATION_NEVER_REVERTS = declare(
    "configuration_never_reverts",
    "A node's revision never falls, and a recalled batch stays recalled.",
)

RECALLED_IS_NOT_SERVED = declare(
    "recalled_is_not_served",
    "No answer of a batch that is known to be recalled is told as whole.",
)


def set_fatal(fatal: bool) -> None:
    """Sets whether a violation raises errors.InvariantError."""
    global _fatal
    _fatal = fatal


def check(name: str, condition: bool, **detail: Any) -> bool:
    """Asserts an invariant.

    Args:
        name: a declared invariant.
        condition: what must hold.
        **detail: what helps to find the cause; logged.

    Returns:
        The condition, so that a caller can refuse to go on.

    Raises:
        errors.InvariantError: it does not hold, in fatal mode.
    """
    if name not in _descriptions:
        raise KeyError(f"undeclared invariant {name}")
    if condition:
        return True
    _violations[name] += 1
    metrics.INVARIANT_VIOLATIONS.labels(invariant=name).inc()
    text = ", ".join(f"{key}={value!r}" for key, value in detail.items())
    logging.error("invariant %s is violated: %s", name, text)
    if _fatal:
        raise errors.InvariantError(f"{name}: {text}")
    return False


def count_violations() -> dict[str, int]:
    """Returns the violations of this process by declared invariant."""
    return {name: _violations[name] for name in _descriptions}


def read_fatal() -> str:
    """Returns a violated invariant in fatal mode, else an empty text."""
    return next(iter(_violations), "") if _fatal else ""


def describe_all() -> dict[str, str]:
    """Returns what each invariant says, by name."""
    return dict(_descriptions)
