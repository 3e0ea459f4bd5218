"""A test double of the users' platform store: lists, watches and writes."""

import itertools
import json
import urllib.parse
from typing import NamedTuple

import curio

from samphirevale.adapters import web
from standins import programs

# The maximum number of objects per page of a list.
PAGE_SIZE = 2

# The polling interval for changes, in seconds, if nothing else is said.
POLL_SECONDS = 0.01


class Change(NamedTuple):
    """A change in the history; `stored` is the object written or removed."""

    revision: int
    kind: str
    deleted: bool
    stored: dict


class RawText(NamedTuple):
    """The contents of an object, as the text that its writer has left.

    The store hands it out as it is, whether it can be read or not.
    """

    data: bytes


class Copy(NamedTuple):
    """The state of the store at one revision.

    Attributes:
        revision: the newest revision.
        oldest: the oldest revision from which a watch may start.
        objects: the objects by kind and name.
        history: the changes after `oldest`, in order.
    """

    revision: int
    oldest: int
    objects: dict[tuple[str, str], dict]
    history: list[Change]


class MetadataStore:
    """Objects by kind and name, with a change history that can be cleared.

    Attributes:
        refusal_status: the HTTP status with which every call is refused; 0
            for none.
        away: whether calls, and watches that wait, lose their connection.
        era: the number of times that the store has started; it rises by one
            when a copy is restored.
        era_header: the text sent in `Store-Era` instead of the era; empty to
            leave the header out, None to send the era.
        poll_seconds: the polling interval for changes.
    """

    def __init__(self):
        self.refusal_status = 0
        self.away = False
        self.era = 1
        self.era_header: str | None = None
        self.poll_seconds = POLL_SECONDS
        self._revision = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[Change] = []
        self._oldest = 1

    def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object, as an operator or a server does."""
        self._revision += 1
        metadata = {"name": name, "revision": self._revision}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = stored
        self._history.append(Change(self._revision, kind, False, stored))

    def change_metadata(self, kind: str, name: str, metadata: object) -> None:
        """Replaces the metadata of an object, without a change of it."""
        self._objects[kind, name]["metadata"] = metadata

    def read(self, kind: str, name: str) -> object:
        """Returns what an object contains."""
        return self._objects[kind, name]["spec"]

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        stored = self._objects.pop((kind, name))
        self._revision += 1
        self._history.append(Change(self._revision, kind, True, stored))

    def drop_history(self) -> None:
        """Clears the change history."""
        self._history.clear()
        self._oldest = self._revision

    def take_copy(self) -> Copy:
        """Returns a copy of the state."""
        return Copy(
            self._revision,
            self._oldest,
            dict(self._objects),
            list(self._history),
        )

    def restore_copy(self, copy: Copy) -> None:
        """Comes back in a new era with the state of `copy`.

        What was written since is gone, its revisions are given out again, and
        the watches that wait lose their connection.
        """
        self._revision = copy.revision
        self._oldest = copy.oldest
        self._objects = dict(copy.objects)
        self._history = list(copy.history)
        self.era += 1
        self.away = False

    def list_names(self, kind: str) -> list[str]:
        """Returns the names of a kind's objects."""
        return sorted(
            name for object_kind, name in self._objects if object_kind == kind
        )

    async def handle(self, request: web.Request) -> web.Response:
        """Handles one call.

        Raises:
            programs.AnswerDroppedError: the call loses its connection.
        """
        if self.away:
            raise programs.AnswerDroppedError
        response = await self._answer(request)
        era = str(self.era) if self.era_header is None else self.era_header
        if not era:
            return response
        return response._replace(
            headers=(*response.headers, ("Store-Era", era))
        )

    async def _answer(self, request: web.Request) -> web.Response:
        if self.refusal_status:
            return web.Response(self.refusal_status)
        _, _, kind, *path_names = map(
            urllib.parse.unquote, request.path.split("/")
        )
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query)
        if request.method == "GET":
            return self._list(kind, request.query.get("after", ""))
        return self._write(request, kind, path_names)

    def _list(self, kind: str, after: str) -> web.Response:
        names = [name for name in self.list_names(kind) if name > after]
        items = [self._objects[kind, name] for name in names[:PAGE_SIZE]]
        page = {
            "items": items,
            "more_pages": len(names) > PAGE_SIZE,
            "at": self._revision,
        }
        return _build_response(page)

    async def _watch(self, kind: str, query: dict[str, str]) -> web.Response:
        since = int(query["watch"])
        era = self.era
        waited = 0.0
        while True:
            if self.away or self.era != era:
                raise programs.AnswerDroppedError
            if not self._oldest <= since <= self._revision:
                return web.Response(410)
            events = [
                {"deleted": change.deleted, "object": change.stored}
                for change in self._list_since(since)
                if change.kind == kind
            ]
            if events or waited * 1000 >= int(query["wait_ms"]):
                value = {"events": events, "at": self._revision}
                return _build_response(value)
            await curio.sleep(self.poll_seconds)
            waited += self.poll_seconds

    def _list_since(self, revision: int) -> list[Change]:
        """Returns the changes after a revision, in order."""
        newer = itertools.takewhile(
            lambda change: change.revision > revision, reversed(self._history)
        )
        return [*newer][::-1]

    def _write(
        self, request: web.Request, kind: str, path_names: list[str]
    ) -> web.Response:
        value = json.loads(request.body or b"{}")
        name = path_names[0] if path_names else value["metadata"]["name"]
        exists = (kind, name) in self._objects
        if request.method == "POST" and exists:
            return web.Response(409)
        if request.method != "POST" and not exists:
            return web.Response(404)
        expected = value.get("metadata", {}).get("revision")
        if expected is not None:
            stored = self._objects[kind, name]
            if stored["metadata"]["revision"] != expected:
                return web.build_json(409, stored)
        if request.method == "DELETE":
            self.remove(kind, name)
        else:
            self.put(kind, name, value["spec"])
        return web.build_json(200, self._objects.get((kind, name), {}))


def _build_response(value: dict) -> web.Response:
    """Returns an answer in which raw texts stand as they were written."""
    texts: dict[bytes, bytes] = {}

    def replace(part: object) -> object:
        if isinstance(part, RawText):
            placeholder = f"raw-{len(texts)}"
            texts[json.dumps(placeholder).encode()] = part.data
            return placeholder
        if isinstance(part, dict):
            return {name: replace(item) for name, item in part.items()}
        if isinstance(part, list):
            return list(map(replace, part))
        return part

    response = web.build_json(200, replace(value))
    body = response.body
    for placeholder, text in texts.items():
        body = body.replace(placeholder, text)
    return response._replace(body=body)
