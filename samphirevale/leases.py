"""Leases with fencing tokens, for orders to an endpoint.

The object `leases/{endpoint}` is never deleted, so its fencing token only
increases. The instances share no clock. A challenger takes over once it has
read the same version, by its own monotonic clock, for the lease's duration
plus a margin. The holder measures the validity from before it sent its last
successful write, so its lease expires before any challenger may take over.
"""

from collections.abc import Callable
from typing import NamedTuple, TypedDict

from samphirevale import errors
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# Kind of the stored objects that hold leases.
OBJECT_KIND = "leases"

# Extra time that a challenger waits after the lease's duration, as a fraction
# of it. The rates of two monotonic clocks differ by far less.
MARGIN_SHARE = 0.1

# Fraction of the duration after which the holder renews the lease.
RENEW_SHARE = 1 / 3

# Interval between two checks of a lease, as a fraction of the duration.
POLL_SHARE = 1 / 12

# Timeout of a call to the store, as a fraction of the duration.
CALL_SHARE = 1 / 3


class LeaseValue(TypedDict):
    """The stored value of a lease.

    Keys:
        holder: the instance that holds the lease.
        token: random token, new for each start of the holder's process.
        fencing: the fencing token; each new holder increments it.
        duration_ms: how long the lease lasts after a renewal, in ms.
        renewal: number of renewals; makes each renewal change the value.
        released: whether the holder has released the lease.
    """

    holder: str
    token: str
    fencing: int
    duration_ms: int
    renewal: int
    released: bool


class Contender(NamedTuple):
    """A process that wants to hold a lease.

    Attributes:
        endpoint: the endpoint that receives the orders.
        holder: this instance.
        token: random token, new for each start of the process.
        duration_seconds: duration of the lease.
        order_seconds: maximum time that the endpoint takes for one order.
    """

    endpoint: str
    holder: str
    token: str
    duration_seconds: float
    order_seconds: float


class Lease(NamedTuple):
    """A lease that this process holds, as far as it knows.

    Attributes:
        fencing: the fencing token to send with each order.
        version: the stored object's version.
        renewal: number of renewals so far.
        acquired_at: time of the takeover, in monotonic seconds.
        valid_until: end of the validity, in monotonic seconds.
        predecessor: whether the lease had a previous holder.
    """

    fencing: int
    version: int
    renewal: int
    acquired_at: float
    valid_until: float
    predecessor: bool


class Observation(NamedTuple):
    """The version of a lease that a challenger has read.

    Attributes:
        version: the stored object's version; 0 if there is none.
        since: when that version was first read, in monotonic seconds.
    """

    version: int
    since: float


def is_valid(lease: Lease, now: float) -> bool:
    """Returns whether the lease is certainly still held.

    Call this immediately before each order, with the present time.
    """
    return now < lease.valid_until


def may_send_order(
    lease: Lease, contender: Contender, now: float, checks_fencing: bool
) -> bool:
    """Returns whether an order may be sent now.

    An endpoint that ignores fencing tokens may still be executing an order of
    the previous holder, so the new holder first waits for the maximum time of
    an order. This does not stop a previous holder that is paused between its
    check and its order. The holder therefore reads the endpoint's state back
    after each order and reconciles it.
    """
    if not is_valid(lease, now):
        return False
    if checks_fencing or not lease.predecessor:
        return True
    return now >= lease.acquired_at + contender.order_seconds


def needs_renewal(lease: Lease, contender: Contender, now: float) -> bool:
    """Returns whether the holder should renew the lease now."""
    remaining = (1 - RENEW_SHARE) * contender.duration_seconds
    return now >= lease.valid_until - remaining


def observe(
    previous: Observation | None,
    stored: objects.StoredObject | None,
    now: float,
) -> Observation:
    """Updates an observation after a read that completed at `now`.

    The result is the previous observation if the version is unchanged.
    """
    version = stored.version if stored else 0
    if previous is not None and previous.version == version:
        return previous
    return Observation(version, now)


def may_take_over(
    observation: Observation,
    stored: objects.StoredObject | None,
    contender: Contender,
    now: float,
) -> bool:
    """Returns whether a challenger may take over the lease."""
    if stored is None:
        return True
    value = stored.value
    if value["released"] or value["token"] == contender.token:
        return True
    wait = value["duration_ms"] / 1000 * (1 + MARGIN_SHARE)
    return now - observation.since >= wait


def build_next_value(
    stored: objects.StoredObject | None, contender: Contender
) -> LeaseValue:
    """Returns the value that a new holder writes."""
    fencing = stored.value["fencing"] if stored else 0
    return _build_value(contender, fencing + 1, renewal=0)


def _build_value(
    contender: Contender, fencing: int, renewal: int, released: bool = False
) -> LeaseValue:
    return LeaseValue(
        holder=contender.holder,
        token=contender.token,
        fencing=fencing,
        duration_ms=round(contender.duration_seconds * 1000),
        renewal=renewal,
        released=released,
    )


async def acquire_lease(
    store: objects.ObjectStore, contender: Contender, clock: clocks.Clock
) -> Lease:
    """Waits without a time limit until the lease is held, and returns it."""
    observation = None
    while True:
        try:
            stored = await _read_lease(store, contender, clock)
            observation = observe(observation, stored, clock.now())
            if may_take_over(observation, stored, contender, clock.now()):
                lease = await _take_over(store, contender, stored, clock)
                if is_valid(lease, clock.now()):
                    return lease
        except (errors.StoreError, TimeoutError):
            # If a takeover succeeded but its response was lost, the next read
            # shows this contender's token, and the takeover is repeated with
            # a higher fencing token.
            pass
        await clock.sleep(contender.duration_seconds * POLL_SHARE)


async def _take_over(
    store: objects.ObjectStore,
    contender: Contender,
    stored: objects.StoredObject | None,
    clock: clocks.Clock,
) -> Lease:
    value = build_next_value(stored, contender)
    sent_at = clock.now()
    written = await _write_lease(store, contender, value, stored, clock)
    return Lease(
        fencing=value["fencing"],
        version=written.version,
        renewal=0,
        acquired_at=clock.now(),
        valid_until=sent_at + contender.duration_seconds,
        predecessor=stored is not None,
    )


async def renew_lease(
    store: objects.ObjectStore,
    contender: Contender,
    lease: Lease,
    clock: clocks.Clock,
) -> Lease | None:
    """Tries once to renew the lease.

    Returns:
        The lease with its new validity; the unchanged lease if the store did
        not answer or refused, to be tried again while it is valid; None if
        the lease was lost to another holder.
    """
    value = _build_value(contender, lease.fencing, lease.renewal + 1)
    sent_at = clock.now()
    try:
        written = await _update_lease(
            store, contender, value, lease.version, clock
        )
    except errors.StoreConflictError:
        return await _resolve_conflict(store, contender, lease, clock)
    except (errors.StoreError, TimeoutError):
        return lease
    return lease._replace(
        version=written.version,
        renewal=value["renewal"],
        valid_until=sent_at + contender.duration_seconds,
    )


async def _resolve_conflict(
    store: objects.ObjectStore,
    contender: Contender,
    lease: Lease,
    clock: clocks.Clock,
) -> Lease | None:
    """Checks whether the conflict is with an earlier renewal of this holder.

    The validity is not extended, since the time at which that renewal was
    sent is unknown.
    """
    try:
        stored = await _read_lease(store, contender, clock)
    except (errors.StoreError, TimeoutError):
        return lease
    if stored is None or not _is_own_value(stored.value, contender, lease):
        return None
    return lease._replace(
        version=stored.version, renewal=stored.value["renewal"]
    )


def _is_own_value(
    value: LeaseValue, contender: Contender, lease: Lease
) -> bool:
    same = value["token"] == contender.token
    return same and value["fencing"] == lease.fencing and not value["released"]


async def hold_lease(
    store: objects.ObjectStore,
    contender: Contender,
    lease: Lease,
    clock: clocks.Clock,
    publish: Callable[[Lease | None], None],
) -> None:
    """Renews the lease until it is lost or has expired.

    Args:
        store: the platform's store.
        contender: the holder.
        lease: the result of `acquire_lease`.
        clock: source of the present time and of sleeps.
        publish: called with the lease at every check, and with None once the
            lease is lost.
    """
    current: Lease | None = lease
    while current is not None and is_valid(current, clock.now()):
        publish(current)
        await clock.sleep(contender.duration_seconds * POLL_SHARE)
        if needs_renewal(current, contender, clock.now()):
            current = await renew_lease(store, contender, current, clock)
    publish(None)


async def release_lease(
    store: objects.ObjectStore,
    contender: Contender,
    lease: Lease,
    clock: clocks.Clock,
) -> bool:
    """Releases the lease; must not be called while an order is in flight.

    Returns:
        Whether the release is confirmed. If not, the lease expires.
    """
    value = _build_value(contender, lease.fencing, lease.renewal, released=True)
    try:
        await _update_lease(store, contender, value, lease.version, clock)
        return True
    except (errors.StoreError, TimeoutError):
        return False


async def _read_lease(
    store: objects.ObjectStore, contender: Contender, clock: clocks.Clock
) -> objects.StoredObject | None:
    async with clock.timeout(contender.duration_seconds * CALL_SHARE):
        return await store.get(OBJECT_KIND, contender.endpoint)


async def _write_lease(
    store: objects.ObjectStore,
    contender: Contender,
    value: LeaseValue,
    stored: objects.StoredObject | None,
    clock: clocks.Clock,
) -> objects.StoredObject:
    if stored is not None:
        return await _update_lease(
            store, contender, value, stored.version, clock
        )
    async with clock.timeout(contender.duration_seconds * CALL_SHARE):
        return await store.create(OBJECT_KIND, contender.endpoint, value)


async def _update_lease(
    store: objects.ObjectStore,
    contender: Contender,
    value: LeaseValue,
    version: int,
    clock: clocks.Clock,
) -> objects.StoredObject:
    name = contender.endpoint
    async with clock.timeout(contender.duration_seconds * CALL_SHARE):
        return await store.update(OBJECT_KIND, name, value, version)
