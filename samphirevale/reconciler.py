"""Sends load and unload orders until the endpoint matches the configuration.

The sidecar holds the endpoint's lease only while it has orders to send. The
load on the store thus grows with the number of orders, not with the number
of sidecars. A load order also needs a ticket, a second lease that limits how
many engines of a pool load weights at the same time.
"""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import curio

from samphirevale import (
    batches,
    configuration,
    configuration_holder,
    errors,
    invariants,
    leases,
    logs,
    metrics,
    monitors,
    settings,
)
from samphirevale.ports import clock as clocks
from samphirevale.ports import endpoints, objects

# Interval between comparisons of the loaded batches with the configuration,
# in seconds.
RECONCILE_SECONDS = 0.25

# Interval between checks whether the ticket was acquired, in seconds.
TICKET_POLL_SECONDS = 0.02

# Minimum wait after an order that failed, in seconds.
RETRY_SECONDS = 0.5

ORDER_UNDER_LEASE = invariants.declare(
    "order_under_lease",
    "An order is sent to an endpoint only under a lease certainly held.",
)


class Reconciler:
    """Sends one sidecar's orders to its endpoint, one at a time.

    Attributes:
        lease: the endpoint lease that this sidecar holds, or None.
    """

    def __init__(
        self,
        sidecar_settings: settings.SidecarSettings,
        token: str,
        endpoint: endpoints.Endpoint,
        monitor: monitors.EndpointMonitor,
        holder: configuration_holder.ConfigurationHolder,
        store: objects.ObjectStore,
        clock: clocks.Clock,
        announce: Callable[[], Awaitable[None]],
    ):
        """Initialises the reconciler without a lease or a ticket.

        Args:
            sidecar_settings: the settings.
            token: random identifier of this run of the process.
            endpoint: receives the orders.
            monitor: reads which batches the endpoint has loaded.
            holder: holds the configuration.
            store: stores the leases.
            clock: provides the current time and sleeps.
            announce: called after each order, when the loaded batches may
                have changed.
        """
        self._pool = sidecar_settings.pool
        self._checks_fencing = sidecar_settings.checks_fencing
        self._contender = leases.Contender(
            endpoint=sidecar_settings.endpoint,
            holder=sidecar_settings.common.instance,
            token=token,
            duration_seconds=sidecar_settings.lease_seconds,
            order_seconds=sidecar_settings.order_seconds,
        )
        self._ticket_contender = batches.build_ticket(
            sidecar_settings.pool,
            sidecar_settings.endpoint,
            sidecar_settings.common.instance,
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
        self._is_order_in_flight = False
        self._wait_until = 0.0
        self.lease: leases.Lease | None = None

    async def run(self) -> None:
        """Reconciles until cancelled."""
        while True:
            order = self._find_next_order()
            if order is not None:
                async with self._holding_ticket(order):
                    await self._send_orders_under_lease()
            await self._clock.sleep(RECONCILE_SECONDS)

    async def stop(self) -> None:
        """Sends no more orders and waits for the order in flight."""
        self._stopping = True
        while self._is_order_in_flight:
            await self._clock.sleep(RECONCILE_SECONDS)

    def _find_next_order(self) -> endpoints.Order | None:
        """Returns the next order, without a fencing token, or None."""
        if self._stopping or not self._endpoint.takes_orders:
            return None
        if not self._monitor.healthy or not self._holder.has_configuration():
            return None
        if self._clock.now() < self._wait_until:
            return None
        value = self._holder.held.value
        decision = batches.decide_engine_order(
            value, self._pool, self._monitor.batches
        )
        if decision is None:
            return None
        batch = value["batches"][decision.batch]
        return build_order(decision.verb, decision.batch, batch)

    async def _send_orders_under_lease(self) -> None:
        if self._find_permitted_order() is None:
            return
        async with self._holding_lease():
            await self._send_orders()

    def _find_permitted_order(self) -> endpoints.Order | None:
        """Returns the next order, or None if it needs a ticket not held.

        Only load orders need the ticket.
        """
        order = self._find_next_order()
        if order is None or order.order != "load" or self._ticket is not None:
            return order
        return None

    async def _send_orders(self) -> None:
        while self.lease is not None:
            order = self._find_permitted_order()
            if order is None:
                return
            if not self._may_order():
                # An order of the previous lease holder may still be in
                # flight.
                await self._clock.sleep(RECONCILE_SECONDS)
            elif await self._send_order(order) == "fenced":
                # Another holder has sent an order since. The next lease has
                # a higher fencing token.
                return

    def _may_order(self) -> bool:
        return self.lease is not None and leases.may_send_order(
            self.lease,
            self._contender,
            self._clock.now(),
            self._checks_fencing,
        )

    async def _send_order(self, order: endpoints.Order) -> str:
        """Sends one order; returns its result: done, fenced, busy or failed."""
        lease = self.lease
        invariants.check(
            ORDER_UNDER_LEASE,
            leases.is_valid(lease, self._clock.now()),
            fencing=lease.fencing,
        )
        # The flag stays set if this task is cancelled. The order may then
        # still be in flight, so the lease must expire instead of being
        # released.
        self._is_order_in_flight = True
        result = await self._try_send(order._replace(fencing=lease.fencing))
        self._is_order_in_flight = False
        metrics.ORDERS.labels(kind=order.order, result=result).inc()
        logs.log_event(
            "order_given",
            order=order.order,
            batch=order.batch["id"],
            fencing=lease.fencing,
            result=result,
        )
        # The endpoint's reported state is authoritative, not its response to
        # the order.
        await self._monitor.read_state()
        await self._announce()
        return result

    async def _try_send(self, order: endpoints.Order) -> str:
        """Sends an order and maps errors to a result; backs off if needed."""
        try:
            await self._endpoint.send_order(order)
        except errors.FencedError:
            return "fenced"
        except errors.EndpointBusyError as error:
            self._back_off(error.retry_after_seconds)
            return "busy"
        except errors.TransportError:
            self._back_off(RETRY_SECONDS)
            return "failed"
        return "done"

    def _back_off(self, seconds: float) -> None:
        self._wait_until = self._clock.now() + max(seconds, RETRY_SECONDS)

    @contextlib.asynccontextmanager
    async def _holding_ticket(
        self, order: endpoints.Order
    ) -> AsyncIterator[None]:
        """Holds a ticket during the block, if the order needs one.

        Waiting for a ticket may take long. The wait ends without a ticket
        when the next order changes, since an unload after a recall must not
        wait for a ticket.
        """
        if order.order != "load":
            yield
            return
        acquisition = await curio.spawn(
            leases.acquire_lease,
            self._store,
            self._ticket_contender,
            self._clock,
            daemon=True,
        )
        while not acquisition.terminated and self._find_next_order() == order:
            await self._clock.sleep(TICKET_POLL_SECONDS)
        if not acquisition.terminated:
            await acquisition.cancel()
            yield
            return
        async with self._renewing(
            self._ticket_contender, acquisition.result, self._set_ticket
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
        logs.log_event("lease_taken", fencing=lease.fencing)
        try:
            async with self._renewing(self._contender, lease, self._set_lease):
                yield
        finally:
            await self._release()

    @contextlib.asynccontextmanager
    async def _renewing(
        self,
        contender: leases.Contender,
        lease: leases.Lease,
        publish: Callable[[leases.Lease | None], None],
    ) -> AsyncIterator[None]:
        """Renews a lease in the background during the block."""
        publish(lease)
        renewal_task = await curio.spawn(
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
            await renewal_task.cancel()

    def _set_lease(self, lease: leases.Lease | None) -> None:
        self.lease = lease

    def _set_ticket(self, lease: leases.Lease | None) -> None:
        self._ticket = lease

    async def _release(self) -> None:
        lease = self.lease
        self.lease = None
        if lease is None or self._is_order_in_flight:
            logs.log_event("lease_left", fencing=lease and lease.fencing)
            return
        released = await leases.release_lease(
            self._store, self._contender, lease, self._clock
        )
        logs.log_event("lease_released", fencing=lease.fencing, known=released)


def build_order(
    verb: str, batch: str, value: configuration.BatchConfiguration
) -> endpoints.Order:
    """Returns a load or unload order for a batch, without a fencing token."""
    fields = {"id": batch}
    for name in ("model", "version", "adapter"):
        fields[name] = value[name]
    return endpoints.Order(verb, fields, "", 0)
