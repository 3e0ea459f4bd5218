"""What an entry tells the others of itself, and how often."""

from collections.abc import Callable

from samphirevale import messages

# The interval between two reports on a link, in seconds: the longer one where
# there are so many links that reports would be most of an entry's work.
REPORT_SECONDS = 0.1
CROWD_REPORT_SECONDS = 0.2
CROWD_LINKS = 12

# How old a report may be that another link was sent already, in seconds.
SHARED_SECONDS = 0.05


class Reporter:
    """Builds one entry's reports; links that are due together share one."""

    def __init__(self, build: Callable[[float], messages.EntryReport]):
        self._build = build
        self._newest: messages.EntryReport | None = None
        self._built_at = 0.0

    def read(self, now: float) -> messages.EntryReport:
        """Returns the report that a link is sent now."""
        if self._newest is None or now >= self._built_at + SHARED_SECONDS:
            self._newest = self._build(now)
            self._built_at = now
        return self._newest


def compute_interval(links: int) -> float:
    """Returns the seconds between two reports on each of so many links."""
    return CROWD_REPORT_SECONDS if links >= CROWD_LINKS else REPORT_SECONDS
