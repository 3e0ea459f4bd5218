"""What an entry answers operators, and how it brings their orders in."""

import contextlib
import time
from collections.abc import Callable

from samphirevale import (
    configuration,
    errors,
    language,
    node,
    orders,
    sightings,
    statuses,
    views,
)
from samphirevale.ports import operators as ports

# The longest time for bringing an order in, in seconds. Its last read and
# write of the store may end a timeout of each later, and the configuration is
# read once more; the tool waits longer than all of that.
SUBMIT_SECONDS = 4.0

# The longest time for reading the configuration after an order, in seconds.
REFRESH_SECONDS = 1.0

# The longest time for reading the store before a query is answered, in
# seconds; after it, the answer says what has not been heard.
READ_SECONDS = 3.0

# The subjects that the configuration alone answers.
CONFIGURATION_SUBJECTS = frozenset(
    {"pipelines", "accounts", "orders", "configuration"}
)


class OperatorDesk:
    """Implements ports.operators.Operators on an entry."""

    def __init__(
        self,
        entry_node: node.Node,
        identity: statuses.Identity,
        read_wall_clock: Callable[[], float] = time.time,
    ):
        """Prepares the desk.

        Args:
            entry_node: what the entry knows and holds.
            identity: who the entry is.
            read_wall_clock: returns wall-clock seconds.
        """
        self._node = entry_node
        self._identity = identity
        self._clock = entry_node.clock
        self._read_wall_clock = read_wall_clock
        # The other entries' statuses as the store last told them.
        self._others: list[statuses.EntryStatus] = []

    def build_status(self) -> statuses.EntryStatus:
        """Returns the entry's own status."""
        return statuses.build_status(
            self._node,
            self._identity,
            self._clock.now(),
            self._read_wall_clock(),
        )

    async def answer(self, query: language.Show) -> ports.Table:
        """Returns the whole table; its filters are applied afterwards.

        Raises:
            errors.InvalidInputError: it asks for what is not there.
            errors.StoreUnavailableError: no configuration is known yet.
        """
        is_current = await self._read_store(query.subject)
        if not self._node.holder.is_known():
            raise errors.StoreUnavailableError("no configuration is known yet")
        rows = views.build_rows(self._build_view(is_current), query)
        return ports.Table(language.list_columns(query), rows)

    async def _read_store(self, subject: str) -> bool:
        """Reads what a subject needs; returns whether the store told it."""
        try:
            async with self._clock.limit(READ_SECONDS):
                await self._read_configuration()
                if subject not in CONFIGURATION_SUBJECTS:
                    self._others = await statuses.list_statuses(
                        self._node.store, self._identity.instance
                    )
        except (errors.StoreError, TimeoutError):
            return False
        return True

    async def _read_configuration(self) -> None:
        """Takes in the configuration at once, before its watch tells it."""
        stored = await self._node.store.get(
            configuration.OBJECT_KIND, configuration.OBJECT_NAME
        )
        if stored is not None:
            seen = configuration.Configuration(
                stored.value["revision"], stored.value
            )
            self._node.holder.adopt(seen)

    def _build_view(self, is_current: bool) -> sightings.View:
        suspect_seconds = self._node.settings.common.suspect_seconds
        return sightings.View(
            value=self._node.holder.held.value,
            own=self.build_status(),
            others=self._others,
            is_current=is_current,
            wall_now=self._read_wall_clock(),
            suspect_ms=suspect_seconds * 1000,
        )

    async def submit(self, order: ports.Order) -> ports.OrderResult:
        """Brings an order into force, at most once for each id.

        Raises:
            errors.InvalidInputError: it makes no sense, with all findings.
            errors.StoreUnavailableError: it did not and will not take effect.
        """
        request = translate_order(order)
        deadline = self._clock.now() + SUBMIT_SECONDS
        try:
            submission = await orders.submit_order(
                self._node.store,
                request,
                deadline,
                self._clock,
                known_revision=self._node.holder.revision,
            )
        except errors.InvalidInputError as error:
            await self._refresh()
            return self._tell_cause(request, error)
        await self._refresh()
        return self._describe(request, submission)

    async def _refresh(self) -> None:
        with contextlib.suppress(errors.StoreError, TimeoutError):
            async with self._clock.limit(REFRESH_SECONDS):
                await self._read_configuration()

    def _describe(
        self, request: orders.Order, submission: orders.Submission
    ) -> ports.OrderResult:
        match submission:
            case orders.Accepted():
                detail = self._find_doubt(request)
                return ports.OrderResult(
                    request.id, "accepted", submission.revision, detail
                )
            case orders.Rejected():
                detail = f"{submission.detail}: {tell_order(submission.winner)}"
                return ports.OrderResult(request.id, "refused", 0, detail)
        return ports.OrderResult(
            request.id,
            "unknown",
            0,
            "its write was not answered; send the same id again",
        )

    def _tell_cause(
        self, request: orders.Order, error: errors.InvalidInputError
    ) -> ports.OrderResult:
        """Returns the refusal that names the order that stands in the way.

        Raises:
            errors.InvalidInputError: none does; the order itself is wrong.
        """
        value = self._node.holder.held.value
        record = find_cause(value, request)
        is_taken = orders.find_record(value, request.id) is not None
        if record is None or is_taken:
            raise error
        detail = f"{error}; {tell_order(record)}"
        return ports.OrderResult(request.id, "refused", 0, detail)

    def _find_doubt(self, request: orders.Order) -> str:
        """Returns what an operator may have mistyped in an order."""
        known = self.build_status()["sidecars"]
        for name in ("endpoint", "pool"):
            wanted = request.arguments.get(name)
            if wanted and all(item[name] != wanted for item in known):
                return f"no {name} {wanted} is known here"
        return ""


def translate_order(order: ports.Order) -> orders.Order:
    """Returns a parsed statement as an order on the configuration."""
    return orders.Order(
        order.id, order.action.verb, order.action._asdict(), order.text
    )


def find_cause(
    value: configuration.ConfigurationValue | None, request: orders.Order
) -> configuration.OrderRecord | None:
    """Returns the recorded order after which this one makes no sense.

    Returns:
        None if there is none: the order was never right.
    """
    if value is None:
        return None
    if request.verb == "roll_out":
        return _find_batch_record(value, request.arguments["batch"])
    return _find_latest(value, orders.name_target(request))


def _find_batch_record(
    value: configuration.ConfigurationValue, name: str
) -> configuration.OrderRecord | None:
    """Returns the order that has used a batch's id, or has recalled it."""
    batch = value["batches"].get(name)
    if batch is None:
        return None
    if batch["state"] == "recalled":
        recall = orders.Order("", "recall", {"batch": name}, "")
        return _find_latest(value, orders.name_target(recall))
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


def tell_order(record: configuration.OrderRecord) -> str:
    """Returns an order that took effect, as people read it."""
    return (
        f"order {record['id']} `{record['text']}`"
        f" is in force since revision {record['revision']}"
    )
