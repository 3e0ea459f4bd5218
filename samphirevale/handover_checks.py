"""Checks whether a sidecar accepts a handover, ahead of its queue.

Refusals from this module have the outcome `not_run`, since nothing has been
sent to the endpoint.
"""

from typing import NamedTuple

from samphirevale import batches, configuration_holder, messages

# Retry delay of refusals whose cause is short-lived, in milliseconds.
RETRY_AFTER_MS = 500


class HandoverContext(NamedTuple):
    """The state that the checks read besides the handover.

    Attributes:
        endpoint: the endpoint's name.
        data_centre: the data centre of this sidecar.
        leaving: whether this sidecar is stopping.
        healthy: whether the endpoint's last probe succeeded.
        batches: the batches loaded at the endpoint.
    """

    endpoint: str
    data_centre: str
    leaving: bool
    healthy: bool
    batches: frozenset[str]


class HandoverRefusal(NamedTuple):
    """The reason for a refusal; the fields are those of messages.Refusal."""

    reason: str
    detail: str
    retry_after_ms: int = 0


def check_new_handover(
    handover: messages.Handover,
    deadline_at: float,
    context: HandoverContext,
    holder: configuration_holder.ConfigurationHolder,
    now: float,
) -> HandoverRefusal | None:
    """Returns the refusal of a new handover, or None if it is accepted."""
    if not holder.has_configuration():
        return HandoverRefusal(
            "no_configuration", "none is held yet", RETRY_AFTER_MS
        )
    if context.leaving or holder.is_draining(context.endpoint):
        return HandoverRefusal(
            "leaving", f"{context.endpoint} takes no new work"
        )
    return check_before_start(handover, deadline_at, context, holder, now)


def check_before_start(
    handover: messages.Handover,
    deadline_at: float,
    context: HandoverContext,
    holder: configuration_holder.ConfigurationHolder,
    now: float,
) -> HandoverRefusal | None:
    """Returns the refusal of an accepted attempt, or None if it may start.

    Drain and stop are not checked here: attempts accepted before either still
    start. Those of a cordoned data centre start elsewhere, as there is another
    one to take them.
    """
    if holder.is_cordoned(context.data_centre):
        return HandoverRefusal(
            "leaving", f"{context.data_centre} takes no new work"
        )
    if handover.batch:
        reason = batches.find_refusal(holder.held.value, handover.batch)
        if reason:
            return HandoverRefusal(reason, f"batch {handover.batch}")
    if now >= deadline_at:
        return HandoverRefusal("late", "no time is left")
    if not context.healthy:
        return HandoverRefusal(
            "unreachable", "the endpoint is not reached", RETRY_AFTER_MS
        )
    if handover.batch and handover.batch not in context.batches:
        return HandoverRefusal(
            "not_loaded", f"batch {handover.batch}", RETRY_AFTER_MS
        )
    return None
