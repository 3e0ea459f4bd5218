"""Keeps the cordons of an entry up to date, from the store and from entries."""

from collections.abc import Callable, Iterable

from samphirevale import journal, metrics, watchers
from samphirevale.availability import cordons
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# How long a watch waits if other entries are sure to learn of a change, in
# seconds. They report it within a second.
QUIET_WAIT_SECONDS = 25.0

# The longest backoff after a failed call of such a watch, in seconds.
QUIET_BACKOFF_SECONDS = 2.0

# Where a list comes from if not from another entry, for the log.
STORE = "store"


def compute_watch(contact_seconds: float, quiet: bool) -> watchers.WatchTimes:
    """Returns the times of the watch of the cordons.

    Args:
        contact_seconds: the time within which a lost connection to the store
            must be noticed.
        quiet: whether other entries watch often.
    """
    if quiet:
        return watchers.WatchTimes(QUIET_WAIT_SECONDS, QUIET_BACKOFF_SECONDS)
    return watchers.WatchTimes(watchers.compute_wait(contact_seconds))


class CordonWatch:
    """Adopts the cordons that the store lists and other entries report."""

    def __init__(
        self,
        known: cordons.Cordons,
        clock: clocks.Clock,
        log: journal.Journal,
    ):
        """Initializes it; the watcher is set before it runs.

        Args:
            known: the cordons to keep up to date.
            clock: a clock that includes time while the machine is suspended.
            log: the log of changes.
        """
        self.watcher: watchers.Watcher | None = None
        self._known = known
        self._watched = cordons.WatchedCordons()
        self._clock = clock
        self._journal = log
        self._logged: frozenset[str] = frozenset()

    def build_callbacks(
        self, ignore_time: Callable[[float], None]
    ) -> watchers.WatchCallbacks:
        """Returns the callbacks of the watch.

        Args:
            ignore_time: called with the times of confirmations, which decide
                nothing: an entry goes on with the cordons that it knows.
        """
        return watchers.WatchCallbacks(
            self._replace_all, self._apply_changes, ignore_time, ignore_time
        )

    def _replace_all(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        names = self._watched.replace(item.name for item in stored)
        self._adopt_watched(names)

    def _apply_changes(
        self, stored: Iterable[objects.StoredObject], now: float
    ) -> None:
        names = self._watched.names
        for item in stored:
            names = self._watched.change(item.name, item.value is not None)
        self._adopt_watched(names)

    def _adopt_watched(self, names: frozenset[str]) -> None:
        listed = cordons.CordonList(self.watcher.version, names)
        self._adopt(listed, STORE)

    def adopt_report(self, entry: str, listed: cordons.CordonList) -> None:
        """Adopts what another entry knows, of the present era of the store."""
        if listed.version != cordons.UNKNOWN:
            self._adopt(listed, entry)

    def _adopt(self, listed: cordons.CordonList, source: str) -> None:
        if self._known.adopt(listed):
            self.log_changes(source)

    def log_changes(self, source: str = STORE) -> None:
        """Logs and counts the cordons if they have changed.

        Args:
            source: STORE, or the name of the entry that reported them.
        """
        names = self._known.list_cordoned(self._clock.now())
        if names == self._logged:
            return
        self._logged = names
        metrics.DATA_CENTRES_CORDONED.set(len(names))
        self._journal.record_event(
            "cordons_changed",
            data_centres=sorted(names),
            version=self._known.newest.version,
            source=source,
        )
