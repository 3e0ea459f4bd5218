"""The interface for operators' queries and orders on an entry."""

from typing import Any, NamedTuple, Protocol

from samphirevale import language

# The outcomes of an order and the HTTP status of each.
# accepted: the order took effect at the revision in the result.
# refused: the order conflicts with another one, which the detail names.
# not_run: the store did nothing; the order may be retried.
# unknown: the answer to the write was lost; look the order up by its id, or
#     retry it with the same id.
ORDER_STATUSES = {
    "accepted": 200,
    "refused": 409,
    "not_run": 503,
    "unknown": 504,
}


class Table(NamedTuple):
    """The answer to a query.

    Attributes:
        columns: the column names, as returned by language.list_columns.
        rows: one value per column: a string, number, boolean, list of strings,
            or None if unknown.
    """

    columns: tuple[str, ...]
    rows: list[tuple[Any, ...]]


class Order(NamedTuple):
    """An operator's order.

    Attributes:
        id: chosen by the operator; an order sent twice with the same id takes
            effect only once.
        text: the operator's text.
        action: an instance of one of language.ORDER_TYPES.
    """

    id: str
    text: str
    action: Any


class OrderResult(NamedTuple):
    """The result of an order.

    Attributes:
        id: the order's id.
        outcome: one of ORDER_STATUSES.
        revision: the revision at which the order took effect; 0 if it did not.
        detail: a human-readable detail; for `refused`, the conflicting order.
    """

    id: str
    outcome: str
    revision: int = 0
    detail: str = ""


class Operators(Protocol):
    """Runs parsed statements."""

    async def answer(self, query: language.Show) -> Table:
        """Returns the table before its filters are applied.

        Raises:
            errors.SamphirevaleError: the query cannot be answered now.
        """

    async def submit(self, order: Order) -> OrderResult:
        """Submits an order, which takes effect at most once per id.

        Raises:
            errors.InvalidInputError: the order is not valid; carries all
                findings.
            errors.StoreUnavailableError: the order had no effect; the outcome
                is `not_run`.
            errors.StoreUnknownError: the order may have taken effect; the
                outcome is `unknown`.
        """
