"""The configuration that a node holds: never older, never less recalled."""

from collections.abc import Iterator

from samphirevale import configuration


class SnapshotHolder:
    """Holds the newest configuration seen.

    Recalled batches are remembered beside it: a recall stays in force even
    if a later configuration were to lose it.

    Attributes:
        held: the configuration; revision 0 until the first is adopted.
    """

    def __init__(self):
        self.held = configuration.EMPTY
        self._recalled: set[str] = set()

    @property
    def revision(self) -> int:
        """The revision of the configuration that is held."""
        return self.held.revision

    def adopt(self, seen: configuration.Configuration) -> bool:
        """Takes a configuration if it is newer; returns whether it was."""
        newer = configuration.choose_newer(self.held, seen)
        if newer is self.held:
            return False
        self.held = newer
        self._recalled.update(
            batch
            for batch, value in self._batches()
            if value["state"] == "recalled"
        )
        return True

    def is_known(self) -> bool:
        """Tells whether any configuration is held."""
        return self.held.revision > 0

    def is_recalled(self, batch: str) -> bool:
        """Tells whether a batch has been recalled."""
        return batch in self._recalled

    def is_draining(self, endpoint: str) -> bool:
        """Tells whether an endpoint is to take no new work."""
        if self.held.value is None:
            return False
        return endpoint in self.held.value["draining"]

    def list_serving(
        self, pool: str
    ) -> dict[str, configuration.BatchConfiguration]:
        """Returns the batches by id that a pool is to have loaded."""
        return {
            batch: value
            for batch, value in self._batches()
            if value["pool"] == pool
            and value["state"] == "serving"
            and batch not in self._recalled
        }

    def _batches(
        self,
    ) -> Iterator[tuple[str, configuration.BatchConfiguration]]:
        if self.held.value is not None:
            yield from self.held.value["batches"].items()
