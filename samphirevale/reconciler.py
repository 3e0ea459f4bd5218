"""Gives the endpoint its orders, until what it has loaded is as configured.

The lease is taken only while there is something to order and given back
after, so that the store's load grows with the orders and not with the fleet.
"""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import curio

from samphirevale import (
    batches,
    configuration,
    errors,
    invariants,
    leases,
    logs,
    metrics,
    monitors,
    settings,
    snapshots,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import endpoints, objects

# Interval between looks at what is loaded, in seconds.
LOOK_SECONDS = 0.25

# Interval between looks whether the ticket to load is there, in seconds.
TICKET_LOOK_SECONDS = 0.02

# The wait after an order that failed, in seconds.
RETRY_SECONDS = 0.5

ORDER_UNDER_LEASE = invariants.declare(
    "order_under_lease",
    "An order goes to an endpoint only under a lease that is surely valid.",
)


class Reconciler:
    """The orders of one sidecar to its endpoint, one at a time.

    Attributes:
        lease: the lease that is held, or None.
    """

    def __init__(
        self,
        sidecar: settings.SidecarSettings,
        token: str,
        endpoint: endpoints.Endpoint,
        monitor: monitors.EndpointMonitor,
        holder: snapshots.SnapshotHolder,
        store: objects.ObjectStore,
        clock: clocks.Clock,
        announce: Callable[[], Awaitable[None]],
    ):
        """Prepares the orders.

        Args:
            sidecar: the settings.
            token: random, new for each start of this process.
            endpoint: takes the orders.
            monitor: knows what the endpoint has loaded.
            holder: holds the configuration.
            store: holds the lease.
            clock: the present time and sleeps.
            announce: called when what is loaded has changed.
        """
        self._pool = sidecar.pool
        self._checks_fencing = sidecar.checks_fencing
        self._contender = leases.Contender(
            endpoint=sidecar.endpoint,
            holder=sidecar.common.instance,
            token=token,
            duration_seconds=sidecar.lease_seconds,
            order_seconds=sidecar.order_seconds,
        )
        self._ticket_contender = batches.build_ticket(
            sidecar.pool,
            sidecar.endpoint,
            sidecar.common.instance,
            token,
            batches.TICKETS_LIMIT,
        )
        self._ticket: leases.Lease | None = None
        self._endpoint = endpoint
        self._monitor = monitor
        self._holder = holder
        self._store = store
        self._clock = clock
        self._announce = announce
        self._stopping = False
        self._is_ordering = False
        self._wait_until = 0.0
        self.lease: leases.Lease | None = None

    async def run(self) -> None:
        """Reconciles until cancelled."""
        while True:
            order = self._plan()
            if order is not None:
                async with self._holding_ticket(order):
                    await self._give_orders_under_lease()
            await self._clock.sleep(LOOK_SECONDS)

    async def stop(self) -> None:
        """Gives no more orders and waits for the one under way."""
        self._stopping = True
        while self._is_ordering:
            await self._clock.sleep(LOOK_SECONDS)

    def _plan(self) -> endpoints.Order | None:
        """Returns the next order, without a fencing number, or None."""
        if self._stopping or not self._endpoint.takes_orders:
            return None
        if not self._monitor.healthy or not self._holder.is_known():
            return None
        if self._clock.now() < self._wait_until:
            return None
        value = self._holder.held.value
        decided = batches.decide_engine_order(
            value, self._pool, self._monitor.batches
        )
        if decided is None:
            return None
        batch = value["batches"][decided.batch]
        return build_order(decided.verb, decided.batch, batch)

    async def _give_orders_under_lease(self) -> None:
        if self._plan_permitted() is None:
            return
        async with self._holding_lease():
            await self._give_orders()

    def _plan_permitted(self) -> endpoints.Order | None:
        """Returns the next order; None if it lacks the ticket to load."""
        order = self._plan()
        if order is None or order.order != "load" or self._ticket is not None:
            return order
        return None

    async def _give_orders(self) -> None:
        while self.lease is not None:
            order = self._plan_permitted()
            if order is None:
                return
            if not self._may_order():
                # A predecessor's order may still be under way.
                await self._clock.sleep(LOOK_SECONDS)
            elif await self._give(order) == "fenced":
                # Somebody else has ordered since: take a higher number.
                return

    def _may_order(self) -> bool:
        return self.lease is not None and leases.may_order(
            self.lease,
            self._contender,
            self._clock.now(),
            self._checks_fencing,
        )

    async def _give(self, order: endpoints.Order) -> str:
        """Gives one order; returns the word for how it ended."""
        lease = self.lease
        invariants.check(
            ORDER_UNDER_LEASE,
            leases.is_valid(lease, self._clock.now()),
            fencing=lease.fencing,
        )
        # Not cleared when this is cancelled: the order may be under way
        # then, and the lease has to run out by itself.
        self._is_ordering = True
        result = await self._send(order._replace(fencing=lease.fencing))
        self._is_ordering = False
        metrics.ORDERS.labels(kind=order.order, result=result).inc()
        logs.log_change(
            "order_given",
            order=order.order,
            batch=order.batch["id"],
            fencing=lease.fencing,
            result=result,
        )
        # What the endpoint says counts, not what it answered to the order.
        await self._monitor.read_state()
        await self._announce()
        return result

    async def _send(self, order: endpoints.Order) -> str:
        """Sends an order; returns the word for how it ended."""
        try:
            await self._endpoint.send_order(order)
        except errors.FencedError:
            return "fenced"
        except errors.EndpointBusyError as error:
            self._pause(error.retry_after_seconds)
            return "busy"
        except errors.TransportError:
            self._pause(RETRY_SECONDS)
            return "failed"
        return "done"

    def _pause(self, seconds: float) -> None:
        self._wait_until = self._clock.now() + max(seconds, RETRY_SECONDS)

    @contextlib.asynccontextmanager
    async def _holding_ticket(
        self, order: endpoints.Order
    ) -> AsyncIterator[None]:
        """Holds the ticket for a load, if there is one before the plan turns.

        The wait for a ticket may be long, and no recall waits behind it.
        """
        if order.order != "load":
            yield
            return
        acquiring = await curio.spawn(
            leases.acquire_lease,
            self._store,
            self._ticket_contender,
            self._clock,
            daemon=True,
        )
        while not acquiring.terminated and self._plan() == order:
            await self._clock.sleep(TICKET_LOOK_SECONDS)
        if not acquiring.terminated:
            await acquiring.cancel()
            yield
            return
        async with self._keeping(
            self._ticket_contender, acquiring.result, self._set_ticket
        ):
            yield
        if self._ticket is not None:
            await leases.release_lease(
                self._store, self._ticket_contender, self._ticket, self._clock
            )
        self._ticket = None

    @contextlib.asynccontextmanager
    async def _holding_lease(self) -> AsyncIterator[None]:
        lease = await leases.acquire_lease(
            self._store, self._contender, self._clock
        )
        logs.log_change("lease_taken", fencing=lease.fencing)
        try:
            async with self._keeping(self._contender, lease, self._set_lease):
                yield
        finally:
            await self._release()

    @contextlib.asynccontextmanager
    async def _keeping(
        self,
        contender: leases.Contender,
        lease: leases.Lease,
        publish: Callable[[leases.Lease | None], None],
    ) -> AsyncIterator[None]:
        """Renews a lease during the block."""
        publish(lease)
        keeper = await curio.spawn(
            leases.hold_lease,
            self._store,
            contender,
            lease,
            self._clock,
            publish,
            daemon=True,
        )
        try:
            yield
        finally:
            await keeper.cancel()

    def _set_lease(self, lease: leases.Lease | None) -> None:
        self.lease = lease

    def _set_ticket(self, lease: leases.Lease | None) -> None:
        self._ticket = lease

    async def _release(self) -> None:
        lease = self.lease
        self.lease = None
        if lease is None or self._is_ordering:
            logs.log_change("lease_left", fencing=lease and lease.fencing)
            return
        released = await leases.release_lease(
            self._store, self._contender, lease, self._clock
        )
        logs.log_change("lease_released", fencing=lease.fencing, known=released)


def build_order(
    verb: str, batch: str, value: configuration.BatchConfiguration
) -> endpoints.Order:
    """Returns an order about a batch, without a fencing number."""
    fields = {"id": batch}
    for name in ("model", "version", "adapter"):
        fields[name] = value[name]
    return endpoints.Order(verb, fields, "", 0)
