"""What an entry does for operators."""

from typing import Any, NamedTuple, Protocol

from samphirevale import language

# How an order may end, and the status of its answer over HTTP.
# accepted: it is in force with its revision.
# refused: it does not apply; the detail tells what is in the way.
# not_run: the store did nothing; it may be sent again.
# unknown: the write's answer was lost; ask for the order's id, or send the
#     same id again.
ORDER_STATUSES = {
    "accepted": 200,
    "refused": 409,
    "not_run": 503,
    "unknown": 504,
}


class Table(NamedTuple):
    """The answer to a query.

    Attributes:
        columns: their names, as language.list_columns gives them.
        rows: one value a column: text, number, truth value, list of texts,
            or None where it is not known.
    """

    columns: tuple[str, ...]
    rows: list[tuple[Any, ...]]


class Order(NamedTuple):
    """An operator's order.

    Attributes:
        id: chosen by the operator; sent again, it takes effect once.
        text: as the operator wrote it.
        action: one of the order types of language; its `verb` and fields
            say what to do.
    """

    id: str
    text: str
    action: Any


class OrderResult(NamedTuple):
    """How an order has ended.

    Attributes:
        id: the order's id.
        outcome: one of ORDER_STATUSES.
        revision: the revision at which it took effect; 0 if it did not.
        detail: for people; with `refused`, what won.
    """

    id: str
    outcome: str
    revision: int = 0
    detail: str = ""


class Operators(Protocol):
    """The work behind a parsed statement."""

    async def answer(self, query: language.Show) -> Table:
        """Returns the whole table; its filters are applied afterwards.

        Raises:
            errors.SamphirevaleError: it cannot be told now.
        """

    async def submit(self, order: Order) -> OrderResult:
        """Brings an order into force, at most once for each id.

        Raises:
            errors.InvalidInputError: it makes no sense, with all findings.
            errors.StoreUnavailableError: answered as `not_run`.
            errors.StoreUnknownError: answered as `unknown`.
        """
