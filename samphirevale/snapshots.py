"""The configuration that a node holds: never older, never less recalled."""

from collections.abc import Callable

from samphirevale import configuration, logs


class SnapshotHolder:
    """Holds the newest configuration seen.

    Attributes:
        held: the configuration; revision 0 until the first is adopted.
    """

    def __init__(
        self,
        use: Callable[[configuration.Configuration], None] | None = None,
    ):
        """Starts with no configuration.

        Args:
            use: called with each configuration that is adopted.
        """
        self._use = use
        self.held = configuration.EMPTY

    @property
    def revision(self) -> int:
        """The revision of the configuration that is held."""
        return self.held.revision

    def adopt(self, seen: configuration.Configuration) -> bool:
        """Takes a configuration if it is newer; returns whether it was.

        One that is not valid is left aside: what is held goes on to serve.
        """
        if seen.revision <= self.held.revision:
            return False
        findings = configuration.check_configuration(seen.value)
        if findings:
            logs.log_change(
                "configuration_rejected",
                revision=seen.revision,
                finding=findings[0],
            )
            return False
        self.held = configuration.adopt(self.held, seen)
        if self._use is not None:
            self._use(self.held)
        return True

    def is_known(self) -> bool:
        """Tells whether any configuration is held."""
        return self.held.revision > 0

    def is_recalled(self, batch: str) -> bool:
        """Tells whether a batch has been recalled."""
        found = self._read_batches().get(batch)
        return found is not None and found["state"] == "recalled"

    def is_draining(self, endpoint: str) -> bool:
        """Tells whether an endpoint is to take no new work."""
        if self.held.value is None:
            return False
        return endpoint in self.held.value["draining"]

    def _read_batches(self) -> dict[str, configuration.BatchConfiguration]:
        if self.held.value is None:
            return {}
        return self.held.value["batches"]
