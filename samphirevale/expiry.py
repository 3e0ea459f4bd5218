"""Deletion of stored objects whose window is over.

Every such value carries `expires_at`, in wall-clock seconds.
"""

from collections.abc import Iterable

from samphirevale import errors
from samphirevale.ports import clock as clocks
from samphirevale.ports import objects

# The most that the wall clocks of two instances differ, in seconds.
CLOCK_SKEW_SECONDS = 60.0

# The most deletions of one sweep in a second.
SWEEP_RATE_PER_SECOND = 20.0


def choose_expired(
    stored: Iterable[objects.StoredObject], wall_now: float
) -> list[objects.StoredObject]:
    """Returns the objects that no instance's clock counts as alive."""
    limit = wall_now - CLOCK_SKEW_SECONDS
    return [item for item in stored if item.value["expires_at"] < limit]


async def sweep_expired(
    store: objects.ObjectStore,
    kind: str,
    wall_now: float,
    clock: clocks.Clock,
    rate_per_second: float = SWEEP_RATE_PER_SECOND,
) -> int:
    """Deletes expired objects of a kind, at a bounded rate.

    Stops at the first call that the store does not take.

    Returns:
        How many it deleted.

    Raises:
        errors.StoreUnavailableError: the objects could not be listed.
    """
    deleted = 0
    for item in choose_expired(await store.list_kind(kind), wall_now):
        try:
            await store.delete(kind, item.name, item.version)
            deleted += 1
        except errors.StoreConflictError:
            pass
        except errors.StoreError:
            break
        await clock.sleep(1.0 / rate_per_second)
    return deleted
