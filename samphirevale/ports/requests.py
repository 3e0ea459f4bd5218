"""What the callers' side asks of the entry."""

from typing import Protocol

from samphirevale import callers, configuration, handovers


class RequestDesk(Protocol):
    """Takes requests of callers."""

    def read_configuration(self) -> configuration.Configuration:
        """Returns the configuration in force here."""

    def find_account(self, headers: dict[str, str]) -> str | None:
        """Returns the account whose token the headers bear, or None."""

    def refuse_early(self) -> callers.Refused | None:
        """Returns why no request at all is taken now, or None."""

    def create_request_id(self) -> str:
        """Returns an id that is unique over all entries."""

    async def execute(
        self, request: callers.CallerRequest, emit: handovers.Emit | None
    ) -> callers.Answer:
        """Returns the request's one final answer, by its deadline."""

    async def find_outcome(
        self, account: str, key: str
    ) -> tuple[int, dict] | None:
        """Returns HTTP status and value of a keyed request, or None."""
