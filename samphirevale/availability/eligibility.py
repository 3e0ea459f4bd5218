"""What an endpoint must be like to get one request."""

from typing import NamedTuple

from samphirevale import catalogue


class Eligibility(NamedTuple):
    """The conditions that one request sets for its endpoints.

    Attributes:
        version: the version of their software; None for any.
        data_centres: the data centres in the request's home regions; None if
            it may be served anywhere.
        recorded: whether the store must know beforehand that streams may begin
            at their version.
        shared_parts: whether other requests may share parts of its prompt,
            which an endpoint's crash would accuse.
        unlisted: whether it may get an endpoint that has started again since it
            was listed, although its start matters.
    """

    version: str | None = None
    data_centres: frozenset[str] | None = None
    recorded: bool = False
    shared_parts: bool = False
    unlisted: bool = False

    def permits(self, endpoint: catalogue.Endpoint) -> bool:
        """Returns whether an endpoint fulfils the conditions."""
        if self.version is not None and endpoint.version != self.version:
            return False
        return (
            self.data_centres is None
            or endpoint.data_centre in self.data_centres
        )

    def needs_start(self) -> bool:
        """Returns whether it matters which start of an endpoint gets it.

        An endpoint may have started again under its name, with another version,
        and be listed as before. That matters to a stream that goes on, to one
        that begins and may go on later, and to what follows from an answer or a
        crash under the parts of a prompt.
        """
        return self.version is not None or self.recorded or self.shared_parts

    def needs_listed(self) -> bool:
        """Returns whether only the listed start of an endpoint may get it."""
        return self.needs_start() and not self.unlisted

    def without_version(self) -> "Eligibility":
        """Returns the conditions for the stages of the request."""
        return Eligibility(None, self.data_centres)


ANY = Eligibility()
