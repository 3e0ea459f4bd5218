"""Invariants of the program, checked at run time.

A violation is counted and logged. In fatal mode (in tests and with the setting
`fatal_invariants`) it also raises an error at the place of the violation,
which ends the process.
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
    "No stage result is lost, duplicated or used for another request.",
)
WHOLE_ANSWER = declare(
    "whole_answer",
    "A caller gets the complete answer to its own request, in order.",
)
NOT_RUN_IS_TRUE = declare(
    "not_run_is_true",
    "A request refused as not_run was run by no endpoint.",
)
AT_MOST_ONCE = declare(
    "at_most_once",
    "A non-repeatable stage of a keyed request runs at most once.",
)
LEAVING_GETS_NO_WORK = declare(
    "leaving_gets_no_work",
    "An endpoint known to be leaving gets no new attempt.",
)
SHUTDOWN_CUTS_NOTHING = declare(
    "shutdown_cuts_nothing",
    "A graceful shutdown ends with no request in flight.",
)
CONFIGURATION_NEVER_REVERTS = declare(
    "configuration_never_reverts",
    "A process's revision never decreases; a recalled batch stays recalled.",
)

RECALLED_IS_NOT_SERVED = declare(
    "recalled_is_not_served",
    "No answer of a batch known to be recalled is returned as complete.",
)


def set_fatal(fatal: bool) -> None:
    """Sets whether a violation raises errors.InvariantError."""
    global _fatal
    _fatal = fatal


def check(name: str, condition: bool, **detail: Any) -> bool:
    """Checks an invariant.

    Args:
        name: the name of a declared invariant.
        condition: the condition that must be true.
        **detail: values to log with a violation.

    Returns:
        The condition, so that the calling code can stop on a violation.

    Raises:
        errors.InvariantError: the condition is false, in fatal mode.
        KeyError: the invariant is not declared.
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
    """Returns this process's number of violations of each invariant."""
    return {name: _violations[name] for name in _descriptions}


def find_fatal_violation() -> str:
    """Returns the first violated invariant in fatal mode.

    Returns an empty string if there is none or fatal mode is off.
    """
    return next(iter(_violations), "") if _fatal else ""
