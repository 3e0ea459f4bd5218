"""Leases with fencing numbers, for orders to an endpoint.

The object `leases/{endpoint}` is never deleted, so that its fencing number
only rises. No clock is shared between instances. A challenger takes over
once it has seen one version unchanged, by its own monotonic clock, for the
lease's duration and a margin. The holder counts its validity from before it
sent the last write that succeeded, so that it ends before any challenger's
count does.
"""

from collections.abc import Callable
from typing import NamedTuple, TypedDict

from samphirevale import errors
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# The kind of the objects that hold leases.
OBJECT_KIND = "leases"

# How much longer a challenger waits than the lease lasts, as a share of the
# duration: the rates of two monotonic clocks differ by far less.
MARGIN_SHARE = 0.1

# The share of the duration after which the holder renews.
RENEW_SHARE = 1 / 3

# The interval between two looks at a lease, as a share of the duration.
POLL_SHARE = 1 / 12

# A call that neither is answered nor fails counts as lost after this share
# of the duration.
CALL_SHARE = 1 / 3


class LeaseValue(TypedDict):
    """The stored value.

    Keys:
        holder: the instance that holds it.
        token: random, new for each start of a holder's process.
        fencing: rises by one with each holder.
        duration_ms: how long the lease lasts after a renewal.
        renewal: counts the renewals, so that each one changes the value.
        released: the holder gave it up.
    """

    holder: str
    token: str
    fencing: int
    duration_ms: int
    renewal: int
    released: bool


class Contender(NamedTuple):
    """Who asks for a lease.

    Attributes:
        endpoint: the endpoint that orders go to.
        holder: this instance.
        token: random, new for each start of the process.
        duration_seconds: how long the lease is to last.
        order_seconds: longest time that one order to the endpoint takes.
    """

    endpoint: str
    holder: str
    token: str
    duration_seconds: float
    order_seconds: float


class Lease(NamedTuple):
    """A lease that this process holds, as far as it knows.

    Attributes:
        fencing: the number to give with each order.
        version: the object's version.
        renewal: the renewals so far.
        acquired_at: monotonic seconds when it was taken over.
        valid_until: monotonic seconds.
        predecessor: somebody else held it before.
    """

    fencing: int
    version: int
    renewal: int
    acquired_at: float
    valid_until: float
    predecessor: bool


class Observation(NamedTuple):
    """What a challenger has seen.

    Attributes:
        version: the object's version; 0 if there is none.
        since: monotonic seconds when that version was first seen.
    """

    version: int
    since: float


def is_valid(lease: Lease, now: float) -> bool:
    """Tells whether the lease is surely still held.

    To be called right before each order, with the time of that moment.
    """
    return now < lease.valid_until


def may_order(
    lease: Lease, contender: Contender, now: float, checks_fencing: bool
) -> bool:
    """Tells whether an order may be sent now.

    An endpoint that ignores fencing numbers may still be at work on an
    order of the predecessor; its longest order is waited out first. A
    predecessor that is paused between its check and the sending is not kept
    out by that: the holder reads back after each order, and reconciles.
    """
    if not is_valid(lease, now):
        return False
    if checks_fencing or not lease.predecessor:
        return True
    return now >= lease.acquired_at + contender.order_seconds


def needs_renewal(lease: Lease, contender: Contender, now: float) -> bool:
    """Tells whether the holder is to renew now."""
    left = (1 - RENEW_SHARE) * contender.duration_seconds
    return now >= lease.valid_until - left


def observe(
    held: Observation | None, stored: objects.StoredObject | None, now: float
) -> Observation:
    """Returns the observation after a reading that was answered at `now`."""
    version = stored.version if stored else 0
    if held is not None and held.version == version:
        return held
    return Observation(version, now)


def may_take_over(
    observation: Observation,
    stored: objects.StoredObject | None,
    contender: Contender,
    now: float,
) -> bool:
    """Tells whether a challenger may write itself in as the holder."""
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
    """Returns what a new holder writes."""
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
    """Returns once the lease is held, however long that takes."""
    observation = None
    while True:
        try:
            stored = await _read(store, contender, clock)
            observation = observe(observation, stored, clock.now())
            if may_take_over(observation, stored, contender, clock.now()):
                lease = await _take_over(store, contender, stored, clock)
                if is_valid(lease, clock.now()):
                    return lease
        except (errors.StoreError, TimeoutError):
            # A take-over that was not answered shows the own token at the
            # next reading, and is then repeated with a higher number.
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
    written = await _write(store, contender, value, stored, clock)
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
    """Tries once to renew.

    Returns:
        The lease with its new validity; the old one when the store did not
        answer or refused (try again while it is valid); None when another
        holds it.
    """
    value = _build_value(contender, lease.fencing, lease.renewal + 1)
    sent_at = clock.now()
    try:
        written = await _update(store, contender, value, lease.version, clock)
    except errors.StoreConflictError:
        return await _read_back(store, contender, lease, clock)
    except (errors.StoreError, TimeoutError):
        return lease
    return lease._replace(
        version=written.version,
        renewal=value["renewal"],
        valid_until=sent_at + contender.duration_seconds,
    )


async def _read_back(
    store: objects.ObjectStore,
    contender: Contender,
    lease: Lease,
    clock: clocks.Clock,
) -> Lease | None:
    """Finds out whether the conflict is with an own renewal.

    The validity stays as it was: when that renewal was sent is not known.
    """
    try:
        stored = await _read(store, contender, clock)
    except (errors.StoreError, TimeoutError):
        return lease
    if stored is None or not _is_own(stored.value, contender, lease):
        return None
    return lease._replace(
        version=stored.version, renewal=stored.value["renewal"]
    )


def _is_own(value: LeaseValue, contender: Contender, lease: Lease) -> bool:
    same = value["token"] == contender.token
    return same and value["fencing"] == lease.fencing and not value["released"]


async def hold_lease(
    store: objects.ObjectStore,
    contender: Contender,
    lease: Lease,
    clock: clocks.Clock,
    publish: Callable[[Lease | None], None],
) -> None:
    """Renews until the lease is lost or has run out.

    Args:
        store: the platform's store.
        contender: who holds it.
        lease: from `acquire_lease`.
        clock: the present time and sleeps.
        publish: called with the lease at every look, and with None once it
            is lost.
    """
    held: Lease | None = lease
    while held is not None and is_valid(held, clock.now()):
        publish(held)
        await clock.sleep(contender.duration_seconds * POLL_SHARE)
        if needs_renewal(held, contender, clock.now()):
            held = await renew_lease(store, contender, held, clock)
    publish(None)


async def release_lease(
    store: objects.ObjectStore,
    contender: Contender,
    lease: Lease,
    clock: clocks.Clock,
) -> bool:
    """Gives the lease up at once; call it with no order under way.

    Returns:
        Whether it is known to be given up. If not, it runs out by itself.
    """
    value = _build_value(contender, lease.fencing, lease.renewal, released=True)
    try:
        await _update(store, contender, value, lease.version, clock)
        return True
    except (errors.StoreError, TimeoutError):
        return False


async def _read(
    store: objects.ObjectStore, contender: Contender, clock: clocks.Clock
) -> objects.StoredObject | None:
    async with clock.limit(contender.duration_seconds * CALL_SHARE):
        return await store.get(OBJECT_KIND, contender.endpoint)


async def _write(
    store: objects.ObjectStore,
    contender: Contender,
    value: LeaseValue,
    stored: objects.StoredObject | None,
    clock: clocks.Clock,
) -> objects.StoredObject:
    if stored is not None:
        return await _update(store, contender, value, stored.version, clock)
    async with clock.limit(contender.duration_seconds * CALL_SHARE):
        return await store.create(OBJECT_KIND, contender.endpoint, value)


async def _update(
    store: objects.ObjectStore,
    contender: Contender,
    value: LeaseValue,
    version: int,
    clock: clocks.Clock,
) -> objects.StoredObject:
    name = contender.endpoint
    async with clock.limit(contender.duration_seconds * CALL_SHARE):
        return await store.update(OBJECT_KIND, name, value, version)
