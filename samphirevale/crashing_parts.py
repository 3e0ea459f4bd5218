"""Finds parts of prompts that crash the endpoints that begin to answer them.

Each crash of an endpoint accuses the parts of the requests that it had not
answered yet. A part that an answer has gone on with is not accused. The parts
that are accused by several crashes, all of them by the same ones, form a
group. A request is refused if it has all parts of a group, so that requests
that share some of the parts are served, and their answers clear those parts.

What an entry knows can be merged with what others know in any order, and more
than once.
"""

import collections
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from samphirevale import catalogue

# The number of crashes of endpoints after which a part is refused.
CRASHES_LIMIT = 3

# How long a crash counts, in seconds.
CRASH_SECONDS = 300.0

# How long a crash counts against a part that was ever answered, in seconds. It
# is short, as no request can clear the part while requests are refused.
ANSWERED_CRASH_SECONDS = 10.0

# How long an answer clears a part from later crashes, in seconds.
CLEARED_SECONDS = 30.0

# An endpoint that is heard this long after a crash has not crashed, in seconds.
# Until then what it sent before may still arrive.
ARRIVAL_SECONDS = 0.25

# What entries tell each other of times differs by less than this, in seconds.
TELLING_SECONDS = 0.05

# The largest numbers of crashes, of parts accused by one crash, of parts known
# to be answered and of groups adopted from the store.
ENDPOINTS_LIMIT = 64
PARTS_LIMIT = 64
ANSWERED_LIMIT = 10_000
STORED_LIMIT = 32

# How often expired crashes are searched for, in seconds.
EXPIRY_SECONDS = 1.0

Start = catalogue.EndpointStart
Group = frozenset[str]


class Crash(NamedTuple):
    """A connection that broke, as an endpoint may have crashed.

    Attributes:
        at: the time of the crash.
        sent: when the newest request with each accused part was sent.
    """

    at: float
    sent: Mapping[str, float]


class CrashingParts:
    """The crashes and answers that one entry knows, in bounded memory."""

    def __init__(self):
        self._crashes: dict[Start, Crash] = {}
        self._answered: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._heard: dict[Start, float] = {}
        # Groups that the store keeps, with the time at which each was adopted
        # and ends.
        self._stored: dict[Group, tuple[float, float]] = {}
        self._groups: frozenset[Group] = frozenset()
        self._changed = False
        self._computed_at = float("-inf")

    def record_crash(
        self, start: Start, at: float, sent: Mapping[str, float]
    ) -> bool:
        """Records that an endpoint may have crashed.

        Args:
            start: the start of the endpoint.
            at: the time of the crash.
            sent: when the newest request with each part was sent that the
                endpoint had not answered.

        Returns:
            Whether this tells anything new.
        """
        if at <= self._heard.get(start, float("-inf")) - ARRIVAL_SECONDS:
            return False
        known = self._crashes.get(start)
        merged = _merge(known, at, self._filter_accused(sent, at))
        if not merged.sent or merged == known:
            return False
        self._crashes[start] = merged
        while len(self._crashes) > ENDPOINTS_LIMIT:
            del self._crashes[min(self._crashes, key=self._get_crash_time)]
        self._changed = True
        return True

    def _filter_accused(
        self, sent: Mapping[str, float], at: float
    ) -> dict[str, float]:
        """Returns the parts that no answer clears from a crash."""
        return {
            part: sent_at
            for part, sent_at in sent.items()
            if not self._is_cleared(part, at)
        }

    def _is_cleared(self, part: str, crashed_at: float) -> bool:
        answered_at = self._answered.get(part)
        return (
            answered_at is not None
            and answered_at > crashed_at - CLEARED_SECONDS
        )

    def _get_crash_time(self, start: Start) -> float:
        return self._crashes[start].at

    def record_answer(self, parts: Iterable[str], at: float) -> list[str]:
        """Records that an answer to a request with these parts went on.

        Returns:
            Those of them that a crash or the store accuses until now.
        """
        cleared = []
        for part in parts:
            if self._is_accused(part):
                cleared.append(part)
            newest = max(at, self._answered.pop(part, at))
            self._answered[part] = newest
        while len(self._answered) > ANSWERED_LIMIT:
            self._answered.popitem(last=False)
        self._changed = self._changed or bool(cleared)
        return cleared

    def _is_accused(self, part: str) -> bool:
        """Returns whether an answer now would clear a part."""
        crashes = any(
            part in crash.sent and not self._is_cleared(part, crash.at)
            for crash in self._crashes.values()
        )
        return crashes or any(
            part in group and self._is_unanswered(group)
            for group in self._stored
        )

    def record_heard(self, start: Start, at: float) -> bool:
        """Records that something arrived from an endpoint.

        Returns:
            Whether this shows that it has not crashed, as was recorded.
        """
        crash = self._crashes.get(start)
        if crash is None or at < crash.at + ARRIVAL_SECONDS:
            return False
        self._heard.pop(start, None)
        self._heard[start] = at
        if len(self._heard) > ENDPOINTS_LIMIT:
            del self._heard[next(iter(self._heard))]
        del self._crashes[start]
        self._changed = True
        return True

    def adopt_group(self, group: Group, until: float, now: float) -> None:
        """Adopts a group that the store keeps; one that is known is kept."""
        if group in self._stored or until <= now or not group:
            return
        self._stored[group] = (now, until)
        if len(self._stored) > STORED_LIMIT:
            del self._stored[next(iter(self._stored))]
        self._changed = True

    def was_answered(self, group: Group) -> bool:
        """Returns whether a part of a group was ever answered."""
        return any(part in self._answered for part in group)

    def find_group(self, parts: Collection[str], now: float) -> Group | None:
        """Returns a group of which all parts are given, or None."""
        for group in self.list_groups(now):
            if group.issubset(parts):
                return group
        return None

    def list_groups(self, now: float) -> frozenset[Group]:
        """Returns the groups that endpoints crash under."""
        if self._changed or now >= self._computed_at + EXPIRY_SECONDS:
            self._remove_expired(now)
            stored = filter(self._is_unanswered, self._stored)
            self._groups = frozenset([*self._compute_groups(now), *stored])
            self._changed = False
            self._computed_at = now
        return self._groups

    def _is_unanswered(self, group: Group) -> bool:
        """Returns whether no part of a group has been answered since."""
        adopted_at, _ = self._stored[group]
        return all(
            self._answered.get(part, float("-inf")) < adopted_at
            for part in group
        )

    def _remove_expired(self, now: float) -> None:
        for start, crash in list(self._crashes.items()):
            if crash.at + CRASH_SECONDS <= now:
                del self._crashes[start]
        for start, heard_at in list(self._heard.items()):
            if heard_at + CRASH_SECONDS <= now:
                del self._heard[start]
        for group, (_, until) in list(self._stored.items()):
            if until <= now:
                del self._stored[group]

    def _compute_groups(self, now: float) -> list[Group]:
        """Returns the groups that explain the crashes, the largest first."""
        unexplained = dict(self._crashes)
        groups = []
        while True:
            accusing = self._find_accusing(unexplained, now)
            most = max(map(len, accusing.values()), default=0)
            if most < CRASHES_LIMIT:
                return groups
            first = min(
                p for p, starts in accusing.items() if len(starts) == most
            )
            explained = accusing[first]
            groups.append(
                frozenset(
                    p for p, starts in accusing.items() if starts == explained
                )
            )
            unexplained = {
                start: crash
                for start, crash in unexplained.items()
                if first not in crash.sent
            }

    def _find_accusing(
        self, crashes: Mapping[Start, Crash], now: float
    ) -> dict[str, list[Start]]:
        """Returns the crashes that count against each part.

        Endpoints that crash at once show nothing about a part more than once:
        one of its requests must have been sent after the crash before.
        """
        accusing: dict[str, list[Start]] = {}
        counted_at: dict[str, float] = {}
        for start in sorted(crashes, key=lambda s: (crashes[s].at, s)):
            crash = crashes[start]
            for part, sent_at in crash.sent.items():
                if not self._counts(part, crash.at, now):
                    continue
                earliest = counted_at.get(part, float("-inf"))
                if sent_at >= earliest - TELLING_SECONDS:
                    accusing.setdefault(part, []).append(start)
                    counted_at[part] = crash.at
        return accusing

    def _counts(self, part: str, crashed_at: float, now: float) -> bool:
        seconds = CRASH_SECONDS
        if part in self._answered:
            seconds = ANSWERED_CRASH_SECONDS
        return (
            not self._is_cleared(part, crashed_at)
            and now < crashed_at + seconds
        )

    def list_crashes(self) -> list[tuple[Start, Crash]]:
        """Returns the crashes, to tell another entry."""
        return list(self._crashes.items())

    def list_accused(self) -> set[str]:
        """Returns the parts that a crash or the store accuses."""
        accused = {
            part for crash in self._crashes.values() for part in crash.sent
        }
        return accused.union(*self._stored)

    def list_answered(self, parts: Iterable[str]) -> list[tuple[str, float]]:
        """Returns those of the parts that were answered, with the time."""
        return [
            (part, self._answered[part])
            for part in sorted(parts)
            if part in self._answered
        ]

    def list_heard(self) -> list[tuple[Start, float]]:
        """Returns the endpoints that had not crashed, as was recorded."""
        return list(self._heard.items())


def _merge(known: Crash | None, at: float, sent: Mapping[str, float]) -> Crash:
    """Returns a crash with further parts, bounded by PARTS_LIMIT."""
    if known is not None:
        at = min(at, known.at)
        sent = {
            part: max(
                sent.get(part, float("-inf")),
                known.sent.get(part, float("-inf")),
            )
            for part in {**known.sent, **sent}
        }
    newest = sorted(sent, key=lambda part: (-sent[part], part))
    return Crash(at, {part: sent[part] for part in newest[:PARTS_LIMIT]})
