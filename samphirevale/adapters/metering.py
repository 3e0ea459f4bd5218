"""Counts the calls to the platform's object API, and times them."""

import functools
import time
from collections.abc import Awaitable, Callable
from typing import Any

from samphirevale import errors, metrics

Call = Callable[..., Awaitable[Any]]

# What each error of the store is counted as.
RESULTS = {
    errors.StoreConflictError: "conflict",
    errors.StoreUnavailableError: "unavailable",
    errors.StoreUnknownError: "unknown",
    errors.StoreWatchExpiredError: "expired",
}

# Any other end that is no answer, such as a cancellation.
FAILED = "failed"


def count_calls(kind: str) -> Callable[[Call], Call]:
    """Makes a coroutine method count its calls.

    Args:
        kind: the kind of call, such as `get`.
    """

    def decorate(call: Call) -> Call:
        @functools.wraps(call)
        async def counted(*args: Any, **options: Any) -> Any:
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

        return counted

    return decorate
