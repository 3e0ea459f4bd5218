"""HTTP client for the platform's metadata store."""

import contextlib
import logging
import time
import urllib.parse
from collections.abc import Iterator
from typing import Any

from samphirevale import errors, log_limits, metrics, watchers
from samphirevale.adapters import store_client, store_metrics
from samphirevale.platform import headers
from samphirevale.ports import objects

# Timeout of any other call, in seconds.
CALL_SECONDS = 1.2

# The largest number of digits of an era. A longer one is malformed.
ERA_DIGITS_LIMIT = len(str(objects.LAST_ERA))

# The largest number of characters of a malformed era that are logged.
ERA_LOGGED_LIMIT = 40

# The level of nesting of an object's members in the answers of the store.
LIST_LEVELS = 3
WATCH_LEVELS = 4

CONTENT_TYPE = ("Content-Type", "application/json")


class PlatformStore(store_client.StoreClient):
    """Implements ports.objects.WatchedStore, and conditional writes."""

    def __init__(self, *arguments: Any, **options: Any):
        """Takes the same arguments as its base class."""
        super().__init__(*arguments, **options)
        self._log_limiter = log_limits.LogLimiter()

    @store_metrics.measure_calls("list")
    async def list_at(self, kind: str) -> objects.Listing:
        """Returns a kind's objects from all pages of the list.

        The pages may be read at different versions. The listing has the
        version of the first page, so a watch from it repeats the changes made
        while the pages were read. Objects that cannot be read are listed as
        objects.UNREADABLE; those whose names cannot be read are left out.

        Raises:
            errors.StoreUnavailableError: the era changed between two pages, or
                the list cannot be continued, among other reasons.
        """
        found: list[objects.StoredObject] = []
        version = None
        era = None
        after = ""
        while True:
            query = f"?after={_quote(after)}" if after else ""
            reply = await self.read(
                f"{_build_path(kind)}{query}", levels=LIST_LEVELS
            )
            _check_status(reply)
            era = _combine_eras(era, self._decode_era(reply))
            with _converting_parse_errors():
                items = reply.value["items"]
                page = [_read_object(kind, item) for item in items]
                has_more = reply.value.get("more_pages", False)
                if version is None:
                    version = int(reply.value["at"])
            named = [stored for stored in page if stored is not None]
            found += [stored for stored in named if stored.name.isprintable()]
            if not has_more or not page:
                return objects.Listing(found, version, era)
            if not named:
                raise errors.StoreUnavailableError("a page without a name")
            after = named[-1].name

    @store_metrics.measure_calls("watch")
    async def watch(
        self, kind: str, version: int, timeout_seconds: float
    ) -> objects.WatchEvents:
        """Waits for changes to a kind after `version`.

        Raises:
            errors.StoreWatchExpiredError: `version` is too old, or it is
                unknown what has changed.
        """
        wait_ms = int(timeout_seconds * 1000)
        reply = await self.read(
            f"{_build_path(kind)}?watch={version}&wait_ms={wait_ms}",
            timeout_seconds + watchers.LATE_ANSWER_SECONDS,
            WATCH_LEVELS,
        )
        if reply.status == 410:
            raise errors.StoreWatchExpiredError(f"{kind} from {version}")
        _check_status(reply)
        with _converting_parse_errors():
            events = reply.value["events"]
            changed = [_read_change(kind, event) for event in events]
            if None in changed:
                raise errors.StoreWatchExpiredError(f"{kind}: an unknown name")
            return objects.WatchEvents(
                [stored for stored in changed if stored.name.isprintable()],
                int(reply.value["at"]),
                self._decode_era(reply),
            )

    @store_metrics.measure_calls("create")
    async def create(
        self, kind: str, name: str, value: Any
    ) -> objects.StoreEra | None:
        """Creates an object and returns the era of the store.

        Raises:
            errors.StoreConflictError: the object already exists.
        """
        body = {"metadata": {"name": name}, "spec": value}
        reply = await self.write(
            "POST", _build_path(kind), body, (CONTENT_TYPE,)
        )
        _check_status(reply)
        return self._decode_era(reply)

    @store_metrics.measure_calls("update")
    async def replace(
        self, kind: str, name: str, value: Any
    ) -> objects.StoreEra | None:
        """Replaces or creates an object; returns the era of the store."""
        body = {"metadata": {"name": name}, "spec": value}
        reply = await self.write(
            "PUT", _build_path(kind, name), body, (CONTENT_TYPE,)
        )
        if reply.status == 404:
            return await self.create(kind, name, value)
        _check_status(reply)
        return self._decode_era(reply)

    @store_metrics.measure_calls("update")
    async def replace_version(
        self, kind: str, name: str, value: Any, version: int | None
    ) -> int:
        """Replaces an object that still has a version, or creates it.

        Raises:
            errors.StoreConflictError: the version differs.
        """
        metadata: dict[str, Any] = {"name": name}
        method, path = "POST", _build_path(kind)
        if version is not None:
            metadata["revision"] = version
            method, path = "PUT", _build_path(kind, name)
        body = {"metadata": metadata, "spec": value}
        reply = await self.write(method, path, body, (CONTENT_TYPE,))
        if reply.status == 404:
            raise errors.StoreConflictError("the object is gone")
        _check_status(reply)
        with _converting_parse_errors():
            return int(reply.value["metadata"]["revision"])

    @store_metrics.measure_calls("delete")
    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object if it exists."""
        reply = await self.write("DELETE", _build_path(kind, name), None)
        if reply.status != 404:
            _check_status(reply)

    def _decode_era(self, reply: store_client.Reply) -> objects.StoreEra | None:
        """Returns the era that an answer states; None without a valid one."""
        text = reply.headers.get(headers.STORE_ERA)
        if text is None:
            return None
        if len(text) <= ERA_DIGITS_LIMIT and text.isascii() and text.isdigit():
            return objects.StoreEra(int(text))
        metrics.STORE_ERAS_MALFORMED.inc()
        shown = text[:ERA_LOGGED_LIMIT]
        if self._log_limiter.permits(shown, time.monotonic()):
            logging.getLogger(__name__).warning("malformed era %r", shown)
        return None


def _build_path(*parts: str) -> str:
    return "/objects/" + "/".join(map(_quote, parts))


def _check_status(reply: store_client.Reply) -> None:
    if reply.status in (200, 201, 204):
        return
    text = f"status {reply.status}"
    if reply.status == 409:
        raise errors.StoreConflictError(text)
    if reply.status in (429, 503):
        raise errors.StoreUnavailableError(text)
    raise errors.StoreError(text)


def _combine_eras(
    before: objects.StoreEra | None, page: objects.StoreEra | None
) -> objects.StoreEra | None:
    """Returns the era of the pages read so far.

    Raises:
        errors.StoreUnavailableError: the era changed between two pages.
    """
    if before is not None and page is not None and page != before:
        raise errors.StoreUnavailableError(
            f"era {page} after era {before} in one list"
        )
    return page if before is None else before


@contextlib.contextmanager
def _converting_parse_errors() -> Iterator[None]:
    try:
        yield
    except (AttributeError, TypeError, KeyError, ValueError) as error:
        raise errors.StoreUnavailableError(
            f"malformed answer: {error!r}"
        ) from error


def _read_object(kind: str, item: Any) -> objects.StoredObject | None:
    """Returns a listed object, or None if its name cannot be read.

    The value is not checked here but by its decoder.
    """
    metadata = item.get("metadata") if isinstance(item, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    if not isinstance(name, str):
        return None
    value = item.get("spec")
    # None stands for an object that was deleted.
    value = {} if value is None else value
    return objects.StoredObject(kind, name, metadata.get("revision", 0), value)


def _read_change(kind: str, event: Any) -> objects.StoredObject | None:
    """Returns a changed object, or None if its name cannot be read."""
    if not isinstance(event, dict):
        return None
    stored = _read_object(kind, event.get("object"))
    if stored is not None and event.get("deleted", False):
        return stored._replace(value=None)
    return stored


def _quote(name: str) -> str:
    """Returns a name for a query, as the store has written it."""
    return urllib.parse.quote(name, safe="", errors="surrogatepass")
