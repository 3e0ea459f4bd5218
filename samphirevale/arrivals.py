"""Whether a sidecar takes a hand-over, before its queue decides.

Every refusal of this module is `not_run`: the endpoint was handed nothing.
"""

from typing import NamedTuple

from samphirevale import batches, messages, snapshots

# When to ask again after refusals that last for a short time, in ms.
RETRY_MS = 500


class Situation(NamedTuple):
    """What the checks look at besides the hand-over.

    Attributes:
        endpoint: the endpoint's name.
        leaving: this sidecar has been told to stop.
        healthy: the endpoint is reachable.
        batches: the batches that it has loaded.
    """

    endpoint: str
    leaving: bool
    healthy: bool
    batches: frozenset[str]


class Refused(NamedTuple):
    """Why a hand-over is not taken; fields as in messages.Refusal."""

    reason: str
    detail: str
    retry_after_ms: int = 0


def check_arrival(
    handover: messages.Handover,
    deadline_at: float,
    situation: Situation,
    holder: snapshots.SnapshotHolder,
    now: float,
) -> Refused | None:
    """Returns why a new hand-over is not taken, or None."""
    if not holder.is_known():
        return Refused("no_configuration", "none is held yet", RETRY_MS)
    if situation.leaving or holder.is_draining(situation.endpoint):
        return Refused("leaving", f"{situation.endpoint} takes no new work")
    return check_start(handover, deadline_at, situation, holder, now)


def check_start(
    handover: messages.Handover,
    deadline_at: float,
    situation: Situation,
    holder: snapshots.SnapshotHolder,
    now: float,
) -> Refused | None:
    """Returns why an accepted attempt is not started, or None.

    What was accepted before a drain or a stop is still started.
    """
    if handover.batch:
        reason = batches.find_refusal(holder.held.value, handover.batch)
        if reason:
            return Refused(reason, f"batch {handover.batch}")
    if now >= deadline_at:
        return Refused("late", "no time is left")
    if not situation.healthy:
        return Refused("unreachable", "the endpoint is not reached", RETRY_MS)
    if handover.batch and handover.batch not in situation.batches:
        return Refused("not_loaded", f"batch {handover.batch}", RETRY_MS)
    return None
