"""Tracks the versions of the software of each service's endpoints.

If all endpoints have had one version for as long as a stream may last, a stream
began at that version, also if nobody remembers it.
"""

from collections.abc import Collection

from samphirevale import catalogue


class ServiceVersions:
    """The versions of each service that no endpoint has any more."""

    def __init__(self):
        # When an endpoint of a version was last known, by service and version.
        self._gone_at: dict[tuple[str, str], float] = {}

    def record_change(self, change: catalogue.Change, now: float) -> None:
        """Records a change of an endpoint."""
        before, after = change
        if before is not None and (
            after is None
            or (before.service, before.version)
            != (after.service, after.version)
        ):
            self._gone_at[before.service, before.version] = now

    def find_only(
        self,
        service: str,
        endpoints: Collection[catalogue.Endpoint],
        since: float,
    ) -> str | None:
        """Returns the only version that a service has had since a time.

        Args:
            service: the name of the service.
            endpoints: the present endpoints of the service.
            since: versions that were gone before this time do not count.

        Returns:
            None if there were several versions, or none.
        """
        versions = {endpoint.version for endpoint in endpoints}
        versions |= {
            version
            for (name, version), gone_at in self._gone_at.items()
            if name == service and gone_at >= since
        }
        return versions.pop() if len(versions) == 1 else None
