"""Holder of the configuration in force on a node.

The configuration never goes back to an older revision, and recalls are never
lost.
"""

from collections.abc import Callable

from samphirevale import configuration, logs


class ConfigurationHolder:
    """Holds the newest valid configuration.

    Attributes:
        held: the configuration; revision 0 before the first is adopted.
    """

    def __init__(
        self,
        use: Callable[[configuration.Configuration], None] | None = None,
    ):
        """Initializes the holder without a configuration.

        Args:
            use: called with each adopted configuration.
        """
        self._on_adopted = use
        self.held = configuration.EMPTY

    @property
    def revision(self) -> int:
        """The revision of the configuration in force."""
        return self.held.revision

    def adopt(self, newest: configuration.Configuration) -> bool:
        """Adopts a configuration if it is newer and valid.

        An invalid configuration is logged and ignored; the present one stays
        in force.

        Returns:
            Whether the configuration was adopted.
        """
        if newest.revision <= self.held.revision:
            return False
        findings = configuration.check_configuration(newest.value)
        if findings:
            logs.log_event(
                "configuration_rejected",
                revision=newest.revision,
                finding=findings[0],
            )
            return False
        self.held = configuration.adopt(self.held, newest)
        if self._on_adopted is not None:
            self._on_adopted(self.held)
        return True

    def has_configuration(self) -> bool:
        """Returns whether a configuration has been adopted."""
        return self.held.revision > 0

    def is_recalled(self, batch: str) -> bool:
        """Returns whether a batch has been recalled."""
        found = self._get_batches().get(batch)
        return found is not None and found["state"] == "recalled"

    def is_draining(self, endpoint: str) -> bool:
        """Returns whether an endpoint is draining and gets no new work."""
        if self.held.value is None:
            return False
        return endpoint in self.held.value["draining"]

    def is_cordoned(self, data_centre: str) -> bool:
        """Returns whether a data centre is cordoned and gets no new work."""
        if self.held.value is None:
            return False
        return data_centre in configuration.list_cordoned(self.held.value)

    def _get_batches(self) -> dict[str, configuration.BatchConfiguration]:
        if self.held.value is None:
            return {}
        return self.held.value["batches"]
