"""A test double of an encoder, a retriever or a reranker."""

import random
from collections.abc import Callable
from typing import Any, Literal, NamedTuple

from samphirevale.adapters import web
from standins import endpoints, programs, records

# The sizes of the results.
VECTOR_LENGTH = 8
DOCUMENTS_FOUND = 6
DOCUMENTS_KEPT = 3

# The size of the collection from which documents are retrieved.
COLLECTION_SIZE = 1000

Result = dict[str, Any]

_builders: dict[str, Callable[[Any, Any], Result]] = {}


def _register(kind: str) -> Callable:
    def add(build: Callable) -> Callable:
        _builders[kind] = build
        return build

    return add


def _build_generator(*values: Any) -> random.Random:
    return random.Random(records.compute_digest(list(values)))


@_register("encoder")
def build_vector(value: Any, prior: Any) -> Result:
    """Returns a vector that depends only on the input."""
    generator = _build_generator(value)
    vector = [round(generator.uniform(-1, 1), 6) for _ in range(VECTOR_LENGTH)]
    return {"vector": vector}


@_register("retriever")
def build_documents(value: Any, prior: Any) -> Result:
    """Returns documents that depend only on the input."""
    generator = _build_generator(value)
    numbers = generator.sample(range(COLLECTION_SIZE), DOCUMENTS_FOUND)
    documents = [
        {"id": f"document-{number}", "text": f"Text of document {number}."}
        for number in numbers
    ]
    return {"documents": documents}


@_register("reranker")
def build_ranking(value: Any, prior: Any) -> Result:
    """Returns the ids and scores of the best documents in `prior`."""
    scores = {
        document["id"]: _build_generator(value, document["id"]).random()
        for document in _find_documents(prior)
    }
    best = sorted(scores, key=scores.get, reverse=True)[:DOCUMENTS_KEPT]
    return {"ranking": [{"id": name, "score": scores[name]} for name in best]}


def _find_documents(prior: Any) -> list[dict[str, Any]]:
    if isinstance(prior, list):
        return [found for item in prior for found in _find_documents(item)]
    if not isinstance(prior, dict):
        return []
    if isinstance(prior.get("documents"), list):
        return prior["documents"]
    return _find_documents(list(prior.values()))


class Settings(NamedTuple):
    """Runs an encoder, a retriever or a reranker.

    Args:
        port: the port to listen on.
        kind: the kind of stage.
        host: the address to listen on.
        workers: the number of calls that run concurrently.
        waiting_limit: the maximum queue length; further calls are refused.
        base_seconds: the minimum duration of a call.
        jitter_seconds: the maximum random time added to a call's duration.
        seed: the seed of the random durations.
        journal: the file that the record is written to; empty for none.
    """

    port: int
    kind: Literal["encoder", "retriever", "reranker"]
    host: str = "127.0.0.1"
    workers: int = 4
    waiting_limit: int = 8
    base_seconds: float = 0.02
    jitter_seconds: float = 0.005
    seed: int = 1
    journal: str = ""


class Stage(endpoints.PooledEndpoint):
    """The stage's HTTP server."""

    ROUTES = programs.Routes(endpoints.PooledEndpoint.ROUTES)

    def __init__(self, settings: Settings):
        super().__init__(settings)
        self._kind = settings.kind

    def build_result(self, fields: dict[str, Any]) -> Result:
        """Computes the result of a call."""
        return _builders[self._kind](fields["input"], fields.get("prior"))

    @ROUTES.add("POST", "/run")
    async def run_stage(self, request: web.Request) -> web.Response:
        """Runs the stage."""
        return await self.run_call(request)


if __name__ == "__main__":
    programs.run(Stage, Settings)
