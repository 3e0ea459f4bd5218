"""The configuration: its form, and the rule that revisions never go back.

One object in the platform's store (`configuration/current`) holds all of
it, so that one conditional update decides between two operators.
"""

from typing import Any, NamedTuple, TypedDict

# The kind and name of the object that holds the configuration.
OBJECT_KIND = "configuration"
OBJECT_NAME = "current"


class StageConfiguration(TypedDict):
    """One stage of a pipeline.

    Keys:
        name: unique in the pipeline.
        pool: the pool of endpoints that runs it.
        kind: `engine`, `stage` or `service`.
        repeatable: True or False says so outright; None means repeatable
            unless the request is marked non-idempotent.
        model: the model, for kind `engine`; empty otherwise.
        limit: most attempts of this stage that one entry has in flight.
        expected_ms: the time of one attempt, until it has been measured.
    """

    name: str
    pool: str
    kind: str
    repeatable: bool | None
    model: str
    limit: int
    expected_ms: float


class PipelineConfiguration(TypedDict):
    """A pipeline: its stages in order, and its longest deadline."""

    stages: list[StageConfiguration]
    deadline_ms: int
    stopped: bool


class AccountConfiguration(TypedDict):
    """A client account: SHA-256 in hex of its token, and its share."""

    token_digest: str
    share: float


class BatchConfiguration(TypedDict):
    """A rolled-out batch.

    Keys:
        model: the model that it serves.
        version: the model's version.
        adapter: the adapter's name; empty for none.
        pool: the pool of engines that loads it.
        state: `serving` or `recalled`; recalled is final.
        order: the revision at which it was rolled out; the highest that
            serves takes new requests.
    """

    model: str
    version: str
    adapter: str
    pool: str
    state: str
    order: int


class OrderRecord(TypedDict):
    """An order that took effect: its id, text and revision."""

    id: str
    text: str
    revision: int


class ConfigurationValue(TypedDict):
    """The configuration object's value.

    Keys:
        revision: rises by one with each accepted order.
        pipelines, accounts, batches: by name or id.
        draining: endpoints that take no new work.
        orders: the latest orders, newest last.
    """

    revision: int
    pipelines: dict[str, PipelineConfiguration]
    accounts: dict[str, AccountConfiguration]
    batches: dict[str, BatchConfiguration]
    draining: list[str]
    orders: list[OrderRecord]


class Configuration(NamedTuple):
    """A configuration as a node holds it. Revision 0 means none yet."""

    revision: int
    value: Any


EMPTY = Configuration(0, None)


def choose_newer(held: Configuration, seen: Configuration) -> Configuration:
    """Returns the one with the higher revision; the held one if equal."""
    return seen if seen.revision > held.revision else held
