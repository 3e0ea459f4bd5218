"""Deletes expired objects from the store.

The value of every such object has `expires_at` in wall-clock seconds. One that
has not, which another writer has left, never expires.
"""

import math
from collections.abc import Iterable
from typing import Any

from samphirevale import errors, stored_values
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# The largest difference between the wall clocks of two instances, in seconds.
CLOCK_SKEW_SECONDS = 60.0

# The largest number of deletions per second in one sweep.
SWEEP_RATE_PER_SECOND = 20.0


def choose_expired(
    stored: Iterable[objects.StoredObject], wall_now: float
) -> list[objects.StoredObject]:
    """Returns the objects that are expired by the clock of every instance."""
    limit = wall_now - CLOCK_SKEW_SECONDS
    return [
        stored_object
        for stored_object in stored
        if _read_expiry(stored_object.value) < limit
    ]


def _read_expiry(value: Any) -> float:
    expires_at = value.get("expires_at") if isinstance(value, dict) else None
    return expires_at if stored_values.is_number(expires_at) else math.inf


async def sweep_expired(
    store: objects.ObjectStore,
    kind: str,
    wall_now: float,
    clock: clocks.Clock,
    rate_per_second: float = SWEEP_RATE_PER_SECOND,
) -> int:
    """Deletes expired objects of a kind at a limited rate.

    Stops at the first deletion that fails, except for a conflict.

    Returns:
        The number of deleted objects.

    Raises:
        errors.StoreUnavailableError: the objects could not be listed.
    """
    deleted = 0
    for expired in choose_expired(await store.list_kind(kind), wall_now):
        try:
            await store.delete(kind, expired.name, expired.version)
            deleted += 1
        except errors.StoreConflictError:
            pass
        except errors.StoreError:
            break
        await clock.sleep(1.0 / rate_per_second)
    return deleted
