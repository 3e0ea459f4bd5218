"""Counts and times the calls to the platform's object API."""

import functools
import time
from collections.abc import Awaitable, Callable
from typing import Any

from samphirevale import errors, metrics

Call = Callable[..., Awaitable[Any]]

# The value of the `result` label for each store error.
RESULTS = {
    errors.StoreConflictError: "conflict",
    errors.StoreUnavailableError: "unavailable",
    errors.StoreUnknownError: "unknown",
    errors.StoreWatchExpiredError: "expired",
}

# The value of the `result` label for any other failure and for cancellation.
FAILED = "failed"


def measure_calls(kind: str) -> Callable[[Call], Call]:
    """Returns a decorator that counts and times a coroutine method's calls.

    Args:
        kind: the value of the `kind` label, such as `get`.
    """

    def decorate(call: Call) -> Call:
        @functools.wraps(call)
        async def measured_call(*args: Any, **options: Any) -> Any:
            started_at = time.monotonic()
            result = FAILED
            try:
                answer = await call(*args, **options)
                result = "done"
                return answer
            except errors.StoreError as error:
                result = RESULTS.get(type(error), FAILED)
                raise
            finally:
                seconds = time.monotonic() - started_at
                metrics.STORE_CALLS.labels(kind=kind, result=result).inc()
                metrics.STORE_SECONDS.labels(kind=kind).observe(seconds)

        return measured_call

    return decorate
