"""What an engine computes: its tokens, its prefix cache, its batches."""

import collections
import hashlib
import random
from typing import NamedTuple

# The characters of a prompt that make its prefix.
PREFIX_CHARACTERS = 64

# The most cache events that are kept.
EVENTS_KEPT = 10_000

_SYLLABLES = ("ba", "ce", "di", "fo", "gu", "la", "me", "ni", "po", "ru", "sa")


class Batch(NamedTuple):
    """A batch that an engine can load."""

    id: str
    model: str
    version: str
    adapter: str


def read_batch(text: str) -> Batch:
    """Returns the batch of `id=model/version` or `id=model/version/adapter`.

    Raises:
        ValueError: the text has another form.
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
    """Returns the tokens of the answer, the same for the same version.

    Args:
        batch: gives model, version and adapter; its id does not matter.
        prompt: the whole prompt.
        least: least number of tokens.
        most: largest number of tokens.
    """
    generator = random.Random("\0".join((*batch[1:], prompt)))
    count = generator.randint(least, most)
    return [_draw_token(generator) for _ in range(count)]


def _draw_token(generator: random.Random) -> str:
    return " " + "".join(generator.choices(_SYLLABLES, k=2))


def compute_tokens_digest(tokens: list[str]) -> str:
    """Returns SHA-256 in hex over the tokens, each with a newline."""
    text = "".join(f"{token}\n" for token in tokens)
    return hashlib.sha256(text.encode()).hexdigest()


class CacheEvent(NamedTuple):
    """A prefix has entered or left the cache at `at`, in seconds."""

    number: int
    prefix: str
    cached: bool
    at: float


class PrefixCache:
    """The prefixes used last, and the events of their coming and going."""

    def __init__(
        self, capacity: int, loss: float, lag_seconds: float, seed: int
    ):
        """Makes an empty cache.

        Args:
            capacity: prefixes that it holds.
            loss: share of events that are never published.
            lag_seconds: age at which an event is published.
            seed: seed of the losses.
        """
        self._capacity = capacity
        self._loss = loss
        self._lag_seconds = lag_seconds
        self._generator = random.Random(seed)
        self._prefixes: collections.OrderedDict = collections.OrderedDict()
        self._events = collections.deque(maxlen=EVENTS_KEPT)
        self._number = 0

    def use(self, prefix: str, now: float) -> bool:
        """Tells whether the prefix was cached; it is from now on."""
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
        """Returns the events published by now with higher numbers."""
        latest = now - self._lag_seconds
        return [e for e in self._events if e.number > after and e.at <= latest]
