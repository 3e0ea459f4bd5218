"""Answers operators' queries and submits their orders on an entry."""

import contextlib
import time
from collections.abc import Callable

from samphirevale import (
    configuration,
    entry_context,
    errors,
    language,
    observations,
    orders,
    statuses,
    views,
)
from samphirevale.ports import operators as ports

# The time within which attempts to submit an order may start, in seconds. The
# last attempt may take one read timeout and one write timeout longer, and the
# configuration is read once more after it. The command-line tool's timeout is
# longer than the sum.
SUBMIT_TIMEOUT_SECONDS = 4.0

# The timeout for reading the configuration after an order, in seconds.
REFRESH_TIMEOUT_SECONDS = 1.0

# The timeout for reading the store before answering a query, in seconds. After
# a timeout, the answer marks the instances whose current state is unknown.
READ_TIMEOUT_SECONDS = 3.0

# The subjects that are answered from the configuration alone.
CONFIGURATION_SUBJECTS = frozenset(
    {"pipelines", "accounts", "orders", "configuration"}
)


class OperatorService:
    """Implements ports.operators.Operators on an entry."""

    def __init__(
        self,
        context: entry_context.EntryContext,
        identity: statuses.Identity,
        read_wall_clock: Callable[[], float] = time.time,
    ):
        """Initializes the service.

        Args:
            context: the entry's state.
            identity: the entry's identity.
            read_wall_clock: returns the wall-clock time, in seconds.
        """
        self._context = context
        self._identity = identity
        self._clock = context.clock
        self._read_wall_clock = read_wall_clock
        # The other entries' statuses as of the last read of the store.
        self._others: list[statuses.EntryStatus] = []

    def build_status(self) -> statuses.EntryStatus:
        """Returns the entry's own status."""
        return statuses.build_status(
            self._context,
            self._identity,
            self._clock.now(),
            self._read_wall_clock(),
        )

    async def answer(self, query: language.Show) -> ports.Table:
        """Returns the table before its filters are applied.

        Raises:
            errors.InvalidInputError: the query refers to a missing object.
            errors.StoreUnavailableError: no configuration is known yet.
        """
        is_current = await self._read_store(query.subject)
        if not self._context.holder.has_configuration():
            raise errors.StoreUnavailableError("no configuration is known yet")
        rows = views.build_rows(self._build_sources(is_current), query)
        return ports.Table(language.list_columns(query), rows)

    async def _read_store(self, subject: str) -> bool:
        """Reads the data for a subject; returns whether the store answered."""
        try:
            async with self._clock.timeout(READ_TIMEOUT_SECONDS):
                await self._read_configuration()
                if subject not in CONFIGURATION_SUBJECTS:
                    self._others = await statuses.list_statuses(
                        self._context.store, self._identity.instance
                    )
        except (errors.StoreError, TimeoutError):
            return False
        return True

    async def _read_configuration(self) -> None:
        """Reads and adopts the configuration ahead of the entry's watch."""
        stored = await self._context.store.get(
            configuration.OBJECT_KIND, configuration.OBJECT_NAME
        )
        if stored is not None:
            current = configuration.Configuration(
                stored.value["revision"], stored.value
            )
            self._context.holder.adopt(current)

    def _build_sources(
        self, is_current: bool
    ) -> observations.ObservationSources:
        suspect_seconds = self._context.settings.common.suspect_seconds
        return observations.ObservationSources(
            value=self._context.holder.held.value,
            own=self.build_status(),
            others=self._others,
            is_current=is_current,
            wall_now=self._read_wall_clock(),
            suspect_ms=suspect_seconds * 1000,
        )

    async def submit(self, order: ports.Order) -> ports.OrderResult:
        """Submits an order, which takes effect at most once per id.

        Raises:
            errors.InvalidInputError: the order is not valid; carries all
                findings.
            errors.StoreUnavailableError: the order did not and will not take
                effect.
        """
        request = translate_order(order)
        deadline = self._clock.now() + SUBMIT_TIMEOUT_SECONDS
        try:
            submission = await orders.submit_order(
                self._context.store,
                request,
                deadline,
                self._clock,
                known_revision=self._context.holder.revision,
            )
        except errors.InvalidInputError as error:
            await self._refresh()
            return self._explain_refusal(request, error)
        await self._refresh()
        return self._build_result(request, submission)

    async def _refresh(self) -> None:
        with contextlib.suppress(errors.StoreError, TimeoutError):
            async with self._clock.timeout(REFRESH_TIMEOUT_SECONDS):
                await self._read_configuration()

    def _build_result(
        self, request: orders.Order, submission: orders.Submission
    ) -> ports.OrderResult:
        match submission:
            case orders.Accepted():
                detail = self._find_unknown_name(request)
                return ports.OrderResult(
                    request.id, "accepted", submission.revision, detail
                )
            case orders.Rejected():
                detail = (
                    f"{submission.detail}:"
                    f" {describe_order(submission.conflicting_order)}"
                )
                return ports.OrderResult(request.id, "refused", 0, detail)
        return ports.OrderResult(
            request.id,
            "unknown",
            0,
            "its write was not answered; send the same id again",
        )

    def _explain_refusal(
        self, request: orders.Order, error: errors.InvalidInputError
    ) -> ports.OrderResult:
        """Returns a refusal that names the conflicting order.

        Raises:
            errors.InvalidInputError: there is no conflicting order; the order
                itself is not valid.
        """
        value = self._context.holder.held.value
        record = find_conflicting_order(value, request)
        is_id_used = orders.find_record(value, request.id) is not None
        if record is None or is_id_used:
            raise error
        detail = f"{error}; {describe_order(record)}"
        return ports.OrderResult(request.id, "refused", 0, detail)

    def _find_unknown_name(self, request: orders.Order) -> str:
        """Returns a warning if no sidecar has the order's endpoint or pool."""
        sidecars = self.build_status()["sidecars"]
        for name in ("endpoint", "pool"):
            wanted = request.arguments.get(name)
            if wanted and all(item[name] != wanted for item in sidecars):
                return f"no {name} {wanted} is known here"
        return ""


def translate_order(order: ports.Order) -> orders.Order:
    """Converts a parsed statement to an order on the configuration."""
    return orders.Order(
        order.id, order.action.verb, order.action._asdict(), order.text
    )


def find_conflicting_order(
    value: configuration.ConfigurationValue | None, request: orders.Order
) -> configuration.OrderRecord | None:
    """Returns the recorded order that makes this one invalid.

    Returns:
        The order's record, or None if no recorded order conflicts.
    """
    if value is None:
        return None
    if request.verb == "roll_out":
        return _find_batch_record(value, request.arguments["batch"])
    return _find_latest(value, orders.format_target(request))


def _find_batch_record(
    value: configuration.ConfigurationValue, name: str
) -> configuration.OrderRecord | None:
    """Returns the order that rolled out or recalled a batch, or None."""
    batch = value["batches"].get(name)
    if batch is None:
        return None
    if batch["state"] == "recalled":
        recall = orders.Order("", "recall", {"batch": name}, "")
        return _find_latest(value, orders.format_target(recall))
    found = [
        record
        for record in value["orders"]
        if record["revision"] == batch["order"]
    ]
    return found[0] if found else None


def _find_latest(
    value: configuration.ConfigurationValue, target: str
) -> configuration.OrderRecord | None:
    """Returns the latest recorded order on a target, or None."""
    found = [item for item in value["orders"] if item["target"] == target]
    return found[-1] if found else None


def describe_order(record: configuration.OrderRecord) -> str:
    """Returns a human-readable description of an order that took effect."""
    return (
        f"order {record['id']} `{record['text']}`"
        f" is in force since revision {record['revision']}"
    )
