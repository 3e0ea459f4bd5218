"""Fault switches: their names, the values that they accept and expiry."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from samphirevale import errors
from samphirevale.adapters import web

# The key of the duration, in seconds, of the switches set in one call.
SECONDS = "seconds"


class ValueRule(NamedTuple):
    """The type of a switch's values.

    Attributes:
        expected: a human-readable description.
        accepts: returns whether a value is valid.
    """

    expected: str
    accepts: Callable[[Any], bool]


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


FLAG = ValueRule("true or false", lambda value: isinstance(value, bool))
POSITIVE = ValueRule("a number over 0", lambda v: _is_number(v) and v > 0)
SHARE = ValueRule(
    "a number from 0 to 1", lambda v: _is_number(v) and 0 <= v <= 1
)
COUNT = ValueRule(
    "an integer of 0 or more",
    lambda v: isinstance(v, int) and not isinstance(v, bool) and v >= 0,
)
TEXT = ValueRule("a text that is not empty", lambda v: isinstance(v, str) and v)

Guard = Callable[[Any], Awaitable[web.Response | None]]


class Registry:
    """The switches that a program supports."""

    def __init__(self, *parents: "Registry"):
        self.value_rules: dict[str, ValueRule] = {}
        self.guards: dict[str, Guard] = {}
        for parent in parents:
            self.value_rules |= parent.value_rules
            self.guards |= parent.guards

    def declare(self, name: str, rule: ValueRule) -> None:
        """Adds a switch whose value the program reads itself."""
        self.value_rules[name] = rule

    def guard(self, name: str, rule: ValueRule) -> Callable[[Guard], Guard]:
        """Registers a coroutine to run before each call while a switch is on.

        The coroutine receives the switch's value. If it returns a response,
        that is sent instead of the program's.
        """

        def add(guard: Guard) -> Guard:
            self.declare(name, rule)
            self.guards[name] = guard
            return guard

        return add


class _Setting(NamedTuple):
    value: Any
    ends_at: float


class Switches:
    """The current switches of one process. Times are monotonic, in seconds."""

    def __init__(self, registry: Registry):
        self._registry = registry
        self._settings: dict[str, _Setting] = {}

    def change(self, values: Any, now: float) -> None:
        """Sets the given switches; null, false and 0 turn a switch off.

        Raises:
            errors.InvalidInputError: a value is not valid; nothing changed.
        """
        if not isinstance(values, dict):
            raise errors.InvalidInputError(
                [errors.Finding("body", "a JSON object")]
            )
        findings = [
            finding
            for name, value in values.items()
            if (finding := self._check(name, value))
        ]
        if findings:
            raise errors.InvalidInputError(findings)
        ends_at = now + values.get(SECONDS, float("inf"))
        for name, value in values.items():
            if name != SECONDS:
                self._settings[name] = _Setting(value, ends_at)

    def _check(self, name: str, value: Any) -> errors.Finding | None:
        if name == SECONDS:
            rule = POSITIVE
        elif name in self._registry.value_rules:
            rule = self._registry.value_rules[name]
        else:
            known = ", ".join(sorted(self._registry.value_rules))
            return errors.Finding(name, f"one of {known}")
        if rule.accepts(value) or (value is None and name != SECONDS):
            return None
        return errors.Finding(name, rule.expected, repr(value)[:80])

    def clear(self) -> None:
        """Turns all switches off."""
        self._settings.clear()

    def get(self, name: str, now: float) -> Any:
        """Returns a switch's value, or None if it is off."""
        setting = self._settings.get(name)
        if setting is None or now >= setting.ends_at:
            return None
        return setting.value or None

    def describe(self, now: float) -> dict[str, Any]:
        """Returns the values of all switches."""
        return {
            name: self.get(name, now) for name in self._registry.value_rules
        }

    async def run_guards(self, now: float) -> web.Response | None:
        """Runs the guards of active switches until one returns a response."""
        for name, guard in self._registry.guards.items():
            value = self.get(name, now)
            if value is None:
                continue
            response = await guard(value)
            if response is not None:
                return response
        return None
