"""The messages that proxying entries send to each other."""

from typing import NamedTuple

from samphirevale import messages
from samphirevale.ports import objects

# The era in a message of an entry that knows none, and the version of the
# routes in one of an entry without routes.
NO_ERA = -1
NO_ROUTES = -1

# The version of the cordons in a report of an entry that knows none.
NO_CORDONS = -1


@messages.register("entry_report")
class EntryReport(NamedTuple):
    """A periodic report from one entry to the other entries.

    Attributes:
        queues: queues of the batching endpoints that the sender owns, each
            with the fields of batching.QueueState.
        loads: the sender's calls in flight at other endpoints, each with the
            fields of load_totals.Load.
        crashed: fingerprints of inputs that crashed endpoints, each with the
            ids of the attempts.
        pauses: the endpoints that have asked the sender for a pause, each as
            its name, its start and the rest of the pause in milliseconds.
        limits: the endpoints that have named a limit to the sender, each as
            its name, its start, the calls a second (0 if it names none any
            more) and the age of what it said last in milliseconds.
        store_era: the newest era of the store that the sender has seen, or
            NO_ERA.
        routes_version: the version of the sender's routes, or NO_ROUTES.
        demands: the accounts that have asked most of each service, each
            as the service, the account and the time in milliseconds, with the
            fields of fair_shares.demands.ReportedDemand.
        cordoned: the names of the cordoned data centres.
        cordons_version: the version of the store at which they were cordoned,
            in the era `store_era`, or NO_CORDONS.
    """

    queues: list[list]
    loads: list[list]
    crashed: list[list]
    pauses: list[list]
    limits: list[list]
    store_era: int = NO_ERA
    routes_version: int = NO_ROUTES
    demands: list[list] = []
    cordoned: list[str] = []
    cordons_version: int = NO_CORDONS


@messages.register("endpoints_leaving")
class EndpointsLeaving(NamedTuple):
    """Tells another entry which endpoints have said that they leave.

    Attributes:
        names: the endpoints' names.
        starts: the start of each of them.
    """

    names: list[str]
    starts: list[int]


@messages.register("crash_evidence")
class CrashEvidence(NamedTuple):
    """Tells another entry what crashes and answers show about prompts.

    Attributes:
        crashes: the endpoints that may have crashed, each as its name, its
            start, the age of the crash in milliseconds, the parts of prompts
            that it accuses, and the age of the newest request with each part.
        answered: accused parts that were answered, each with the age of the
            newest answer in milliseconds.
        heard: endpoints that had not crashed after all, each as its name, its
            start and the age of what was heard last in milliseconds.
    """

    crashes: list[list]
    answered: list[list]
    heard: list[list]


@messages.register("pieces")
class ItemsRequest(NamedTuple):
    """Asks the owner of a batching endpoint to run items of a stage.

    Attributes:
        exchange: id of this request, unique on the connection.
        endpoint: the endpoint's name.
        attempt: id of the caller's attempt.
        stage: index of the stage.
        indices: indices of the items.
        key: the items' input if they need no results of earlier stages.
        inputs: names of the results that are the items' input otherwise.
        result_bytes: approximate size of one result.
        due_ms: time until the items must be completed for the request to meet
            its deadline.
        remaining_ms: time until the items' results become useless.
        rank: the request's rank; 0 is the most urgent.
        transfers: pairs of a data centre and the bytes that each item fetches
            from there or sends there.
    """

    exchange: int
    endpoint: str
    attempt: str
    stage: int
    indices: list[int]
    key: str
    inputs: list[str]
    result_bytes: int
    due_ms: int
    remaining_ms: int
    rank: int
    transfers: list[list]


@messages.register("pieces_done")
class ItemsResult(NamedTuple):
    """The results of requested items, in the order of the request's indices.

    Attributes:
        exchange: id of the request.
        endpoint: the endpoint that ran the items, which may be another one of
            the same service and region.
        results: the results' names; empty for an item without a result.
        reasons: why there is no result; empty for an item with a result.
        queue: the state of the endpoint's queue afterwards, with the fields of
            batching.QueueState; empty if there is no queue.
    """

    exchange: int
    endpoint: str
    results: list[str]
    reasons: list[str]
    queue: list


@messages.register("routes_age_request")
class RoutesAgeRequest(NamedTuple):
    """Asks another entry how recent its routes are."""

    exchange: int


@messages.register("routes_age")
class RoutesAge(NamedTuple):
    """Answers a RoutesAgeRequest.

    Attributes:
        exchange: id of the request.
        version: the version of the sender's routes, or NO_ROUTES.
        age_seconds: how long ago the sender's copy was current.
        store_era: the era of the store in which it was, or NO_ERA.
    """

    exchange: int
    version: int
    age_seconds: float
    store_era: int = NO_ERA


@messages.register("stream_origin")
class StreamOriginNotice(NamedTuple):
    """Tells another entry where a stream began.

    Attributes:
        attempt: id of the caller's attempt that brought the first event.
        service: the service that began it.
        version: the version of the endpoint's software;
            stream_origins.UNKNOWN_VERSION if the sender does not know it.
        remaining_ms: how long to remember it.
    """

    attempt: str
    service: str
    version: str
    remaining_ms: int


@messages.register("stream_origin_request")
class StreamOriginRequest(NamedTuple):
    """Asks another entry where a stream began.

    Attributes:
        exchange: id of this request, unique on the connection.
        attempt: id of the caller's attempt that brought the first event.
    """

    exchange: int
    attempt: str


@messages.register("stream_origin_answer")
class StreamOriginAnswer(NamedTuple):
    """Answers a StreamOriginRequest.

    Attributes:
        exchange: id of the request.
        known: whether the sender knows the stream.
        service: the service that began it; empty if unknown.
        version: the version of the endpoint's software, as in a
            StreamOriginNotice; empty if the stream is unknown.
    """

    exchange: int
    known: bool
    service: str
    version: str


@messages.register("pieces_withdrawn")
class ItemsCancelled(NamedTuple):
    """Cancels the items of an exchange, which are no longer needed."""

    exchange: int


@messages.register("results_released")
class ResultsReleased(NamedTuple):
    """Asks the owner of a batching endpoint to free results.

    Attributes:
        endpoint: the endpoint's name.
        results: the results' names.
    """

    endpoint: str
    results: list[str]


def encode_era(era: objects.StoreEra | None) -> int:
    """Returns an era of the store as it is in messages."""
    return NO_ERA if era is None else era


def decode_era(era: int) -> objects.StoreEra | None:
    """Returns the era of the store in a message; None if it has none."""
    return None if era == NO_ERA else objects.StoreEra(era)
