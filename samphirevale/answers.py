"""The tokens of one generated answer, put together and checked."""

import hashlib
from collections.abc import Iterable

from samphirevale import errors


class BrokenStreamError(errors.SamphirevaleError):
    """The tokens do not make a whole answer."""


def digest_tokens(tokens: Iterable[str]) -> str:
    """Returns SHA-256 in hex over the tokens, each with a newline."""
    digest = hashlib.sha256()
    for token in tokens:
        digest.update(token.encode() + b"\n")
    return digest.hexdigest()


class TokenBuffer:
    """Collects the tokens of one answer over one or more attempts.

    Attributes:
        tokens: those collected so far, from the answer's first on.
        repeated: tokens that came again and were dropped.
    """

    def __init__(self):
        self.tokens: list[str] = []
        self.repeated = 0

    def add(self, sequence: int, tokens: list[str]) -> list[str]:
        """Takes in a chunk and returns the tokens that are new.

        Raises:
            BrokenStreamError: a gap, or a repeated token that differs.
        """
        held = len(self.tokens)
        if sequence > held:
            raise BrokenStreamError(f"token {held} is missing")
        known = min(held - sequence, len(tokens))
        if tokens[:known] != self.tokens[sequence : sequence + known]:
            raise BrokenStreamError(f"tokens from {sequence} on differ")
        self.repeated += known
        fresh = tokens[known:]
        self.tokens.extend(fresh)
        return fresh

    def check_whole(self, count: int, digest: str) -> None:
        """Checks the answer against what its endpoint says of it.

        Raises:
            BrokenStreamError: another count or another digest.
        """
        if count != len(self.tokens):
            raise BrokenStreamError(f"{len(self.tokens)} of {count} tokens")
        if digest != digest_tokens(self.tokens):
            raise BrokenStreamError("another digest")
