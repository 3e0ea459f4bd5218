"""Builds the reports that an entry sends to the others."""

from collections.abc import Callable

from samphirevale import entry_messages

# The shortest interval between two reports on a link, in seconds.
REPORT_SECONDS = 0.1

# The number of reports that an entry sends per second on all its links. With
# more links each one carries fewer reports, so that the work of an entry does
# not grow with the number of entries.
REPORTS_PER_SECOND = 60

# The same of an entry that owns batching endpoints. Their queues change with
# each call, and all others decide on its reports.
OWNER_REPORTS_PER_SECOND = 300

# An entry is considered dead after it has been silent for SILENCE_SECONDS, and
# not before it has missed this number of reports.
SILENCE_SECONDS = 1.0
MISSED_REPORTS = 3

# The largest age of a report that is sent on a further link, in seconds.
REPORT_REUSE_SECONDS = 0.05


class Reporter:
    """Builds the reports of one entry, shared by links due at the same time."""

    def __init__(self, build: Callable[[float], entry_messages.EntryReport]):
        self._build = build
        self._newest: entry_messages.EntryReport | None = None
        self._built_at = 0.0

    def get_report(self, now: float) -> entry_messages.EntryReport:
        """Returns the report to send now."""
        if self._newest is None or now >= self._built_at + REPORT_REUSE_SECONDS:
            self._newest = self._build(now)
            self._built_at = now
        return self._newest


def compute_interval(links: int, owns_endpoints: bool = False) -> float:
    """Returns the seconds between two reports on a link.

    Args:
        links: the number of links of the entry.
        owns_endpoints: whether it owns batching endpoints.
    """
    most = OWNER_REPORTS_PER_SECOND if owns_endpoints else REPORTS_PER_SECOND
    return max(REPORT_SECONDS, links / most)


def compute_silence_limit(links: int) -> float:
    """Returns the silence after which an entry is dead, in seconds."""
    return max(SILENCE_SECONDS, MISSED_REPORTS * compute_interval(links))
