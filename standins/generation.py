"""The engine's tokens, prefix cache and batches."""

import collections
import hashlib
import random
from typing import NamedTuple

# The length of a prompt's prefix, in characters.
PREFIX_CHARACTERS = 64

# The maximum number of cache events that are kept.
EVENTS_KEPT = 10_000

_SYLLABLES = ("ba", "ce", "di", "fo", "gu", "la", "me", "ni", "po", "ru", "sa")


class Batch(NamedTuple):
    """A batch: an adapter and a version of a model, under an id."""

    id: str
    model: str
    version: str
    adapter: str


def parse_batch(text: str) -> Batch:
    """Parses a batch from `id=model/version` or `id=model/version/adapter`.

    Raises:
        ValueError: the text has another format.
    """
    batch_id, _, parts = text.partition("=")
    model, version, *adapter = parts.split("/")
    return Batch(batch_id, model, version, "/".join(adapter))


def compute_prefix(prompt: str) -> str:
    """Returns the digest of the prompt's prefix."""
    return hashlib.sha256(prompt[:PREFIX_CHARACTERS].encode()).hexdigest()


def compute_answer(
    batch: Batch, prompt: str, least: int, most: int
) -> list[str]:
    """Computes an answer's tokens deterministically from batch and prompt.

    Args:
        batch: the batch; its id does not affect the answer.
        prompt: the complete prompt.
        least: the minimum number of tokens.
        most: the maximum number of tokens.
    """
    generator = random.Random("\0".join((*batch[1:], prompt)))
    count = generator.randint(least, most)
    return [_draw_token(generator) for _ in range(count)]


def _draw_token(generator: random.Random) -> str:
    return " " + "".join(generator.choices(_SYLLABLES, k=2))


def compute_tokens_digest(tokens: list[str]) -> str:
    """Returns the hex SHA-256 of the tokens, each followed by a newline."""
    text = "".join(f"{token}\n" for token in tokens)
    return hashlib.sha256(text.encode()).hexdigest()


class CacheEvent(NamedTuple):
    """An insertion into or an eviction from the cache at `at`, in seconds."""

    number: int
    prefix: str
    cached: bool
    at: float


class PrefixCache:
    """An LRU cache of prefixes that records insertions and evictions."""

    def __init__(
        self, capacity: int, loss: float, lag_seconds: float, seed: int
    ):
        """Initializes an empty cache.

        Args:
            capacity: the maximum number of prefixes.
            loss: the fraction of events that are never published.
            lag_seconds: the delay until an event is published.
            seed: the seed of the random losses.
        """
        self._capacity = capacity
        self._loss = loss
        self._lag_seconds = lag_seconds
        self._generator = random.Random(seed)
        self._prefixes: collections.OrderedDict = collections.OrderedDict()
        self._events = collections.deque(maxlen=EVENTS_KEPT)
        self._number = 0

    def use(self, prefix: str, now: float) -> bool:
        """Returns whether the prefix was cached, and caches it."""
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not hit:
            self._add_event(prefix, True, now)
        if len(self._prefixes) > self._capacity:
            oldest, _ = self._prefixes.popitem(last=False)
            self._add_event(oldest, False, now)
        return hit

    def _add_event(self, prefix: str, cached: bool, now: float) -> None:
        self._number += 1
        if self._generator.random() >= self._loss:
            event = CacheEvent(self._number, prefix, cached, now)
            self._events.append(event)

    def list_events(self, after: int, now: float) -> list[CacheEvent]:
        """Returns the published events with numbers greater than `after`."""
        latest = now - self._lag_seconds
        return [e for e in self._events if e.number > after and e.at <= latest]
