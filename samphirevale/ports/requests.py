"""The protocol through which the caller API uses the entry."""

from typing import Protocol

from samphirevale import callers, configuration, stage_runs


class RequestService(Protocol):
    """Authenticates and executes callers' requests."""

    def read_configuration(self) -> configuration.Configuration:
        """Returns the configuration that this entry uses."""

    def find_account(self, headers: dict[str, str]) -> str | None:
        """Returns the account of the headers' bearer token, or None."""

    def find_early_refusal(self) -> callers.Refusal | None:
        """Returns the refusal of every request while the entry accepts none.

        Returns None while it accepts requests.
        """

    def create_request_id(self) -> str:
        """Returns an id that is unique over all entries."""

    async def execute(
        self, request: callers.CallerRequest, emit: stage_runs.Emit | None
    ) -> callers.Answer:
        """Executes a request and returns its final answer by the deadline.

        Args:
            request: the validated request.
            emit: called with tokens as they arrive; None if the caller does
                not stream.
        """

    async def find_outcome(
        self, account: str, key: str
    ) -> tuple[int, dict] | None:
        """Returns the HTTP status and value for an idempotency key, or None."""
