"""Trials of inputs that have crashed an endpoint once."""

import contextlib
import time
from collections.abc import AsyncIterator

from samphirevale import entry_context, messages, quarantine

# Timeout for the reservation of a trial in the store, in seconds.
RESERVE_TIMEOUT_SECONDS = 1.0

# How long recording the end of a trial is retried, in seconds.
END_RETRY_SECONDS = 30.0


class Trial:
    """A reserved trial.

    Attributes:
        ending: the result or refusal that ended its attempt; None while it is
            unknown.
    """

    def __init__(self):
        self.ending: messages.Result | messages.Refusal | None = None

    def may_have_crashed(self) -> bool:
        """Returns whether the attempt may have crashed its endpoint."""
        if isinstance(self.ending, messages.Result):
            return False
        return self.ending is None or self.ending.outcome != "not_run"


@contextlib.asynccontextmanager
async def reserve_trial(
    context: entry_context.EntryContext, fingerprint: str, attempt: str
) -> AsyncIterator[Trial | None]:
    """Reserves a trial for the block; yields None if it is not granted.

    The reservation is removed in the background after the block, unless the
    attempt may have crashed its endpoint.
    """
    now = context.clock.now()
    with context.quarantine.hold_trial(fingerprint):
        reserved = await quarantine.begin_trial(
            context.store,
            fingerprint,
            attempt,
            context.quarantine.list_crashes(fingerprint, now),
            time.time(),
            now + RESERVE_TIMEOUT_SECONDS,
            context.clock,
        )
        if not reserved:
            yield None
            return
        trial = Trial()
        yield trial
    if not trial.may_have_crashed():
        await context.claim_manager.spawn_background_task(
            quarantine.end_trial,
            context.store,
            fingerprint,
            attempt,
            time.time(),
            context.clock.now() + END_RETRY_SECONDS,
            context.clock,
        )
