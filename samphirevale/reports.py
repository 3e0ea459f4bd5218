"""Builds the reports that an entry sends to the others."""

from collections.abc import Callable

from samphirevale import messages

# The interval between two reports on a link, in seconds. With at least
# MANY_LINKS links the longer interval is used, as reports would otherwise be
# most of an entry's work.
REPORT_SECONDS = 0.1
MANY_LINKS_REPORT_SECONDS = 0.2
MANY_LINKS = 12

# The largest age of a report that is sent on a further link, in seconds.
REPORT_REUSE_SECONDS = 0.05


class Reporter:
    """Builds the reports of one entry, shared by links due at the same time."""

    def __init__(self, build: Callable[[float], messages.EntryReport]):
        self._build = build
        self._newest: messages.EntryReport | None = None
        self._built_at = 0.0

    def get_report(self, now: float) -> messages.EntryReport:
        """Returns the report to send now."""
        if self._newest is None or now >= self._built_at + REPORT_REUSE_SECONDS:
            self._newest = self._build(now)
            self._built_at = now
        return self._newest


def compute_interval(links: int) -> float:
    """Returns the seconds between two reports on a link."""
    return MANY_LINKS_REPORT_SECONDS if links >= MANY_LINKS else REPORT_SECONDS
