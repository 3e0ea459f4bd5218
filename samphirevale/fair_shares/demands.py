"""Sums up what accounts have asked of each service lately, over all entries.

Demands decay with a time constant, so that they are rates: what an account does
not ask for any more is free for others within that time. Each entry reports the
largest accounts of each service and the sum of the rest.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

# The time constant of the decay, in seconds.
DECAY_SECONDS = 1.0

# The largest number of accounts of a service in a report.
REPORTED_ACCOUNTS = 16

# Demands below this many seconds are forgotten.
LEAST_SECONDS = 1e-3

# How long a sum over all entries is asked, in seconds.
SUM_SECONDS = 0.1

# Under this name the demands of all other accounts are reported. No account has
# an empty name.
OTHERS = ""


class ReportedDemand(NamedTuple):
    """What an account has asked of a service at one entry.

    Attributes:
        service: the service.
        account: the account, or OTHERS.
        seconds: the time of the service's endpoints, decayed.
    """

    service: str
    account: str
    seconds: float


class _Decaying:
    """A sum that decays."""

    def __init__(self):
        self._value = 0.0
        self._at = 0.0

    def add(self, seconds: float, now: float) -> None:
        self._value = self.get(now) + seconds
        self._at = now

    def get(self, now: float) -> float:
        age = max(now - self._at, 0.0)
        return self._value * math.exp(-age / DECAY_SECONDS)


class ServiceDemands:
    """The demands of accounts for all services.

    What other entries have reported decays until their next report.
    """

    def __init__(self):
        # By service and account.
        self._own: dict[tuple[str, str], _Decaying] = {}
        # By entry.
        self._reported: dict[str, list[ReportedDemand]] = {}
        self._reported_at: dict[str, float] = {}
        # The newest sums by service, and when they were computed.
        self._sums: dict[str, tuple[float, dict[str, float]]] = {}

    def record(
        self, service: str, account: str, seconds: float, now: float
    ) -> None:
        """Records that an account asks this entry for time of a service."""
        key = (service, account)
        self._own.setdefault(key, _Decaying()).add(seconds, now)
        self._sums.pop(service, None)

    def adopt_report(
        self, entry: str, reported: Iterable[ReportedDemand], now: float
    ) -> None:
        """Adopts what another entry reports."""
        self._reported[entry] = list(reported)
        self._reported_at[entry] = now

    def remove_entry(self, entry: str) -> None:
        """Forgets the reports of an entry that is gone."""
        self._reported.pop(entry, None)
        self._reported_at.pop(entry, None)

    def list_largest(self, now: float) -> list[ReportedDemand]:
        """Returns the demands at this entry, for its report."""
        by_service: dict[str, list[ReportedDemand]] = {}
        for (service, account), asked in list(self._own.items()):
            seconds = asked.get(now)
            if seconds < LEAST_SECONDS:
                del self._own[service, account]
                continue
            found = by_service.setdefault(service, [])
            found.append(ReportedDemand(service, account, seconds))
        largest = []
        for service, found in by_service.items():
            found.sort(key=lambda asked: -asked.seconds)
            largest += found[:REPORTED_ACCOUNTS]
            rest = sum(asked.seconds for asked in found[REPORTED_ACCOUNTS:])
            if rest:
                largest.append(ReportedDemand(service, OTHERS, rest))
        return largest

    def sum_up(self, service: str, now: float) -> dict[str, float]:
        """Returns the demands for a service by account, over all entries.

        Returns:
            The decayed time in seconds; OTHERS stands for the accounts that
            are not among the largest ones of an entry.
        """
        summed_at, totals = self._sums.get(service, (float("-inf"), {}))
        if now >= summed_at + SUM_SECONDS:
            totals = self._compute_sum(service, now)
            self._sums[service] = (now, totals)
        return totals

    def _compute_sum(self, service: str, now: float) -> dict[str, float]:
        totals: dict[str, float] = {}
        for (name, account), asked in self._own.items():
            if name == service:
                totals[account] = totals.get(account, 0.0) + asked.get(now)
        for entry, reported in self._reported.items():
            age = max(now - self._reported_at[entry], 0.0)
            weight = math.exp(-age / DECAY_SECONDS)
            for asked in reported:
                if asked.service == service:
                    before = totals.get(asked.account, 0.0)
                    totals[asked.account] = before + asked.seconds * weight
        return totals
