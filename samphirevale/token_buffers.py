"""Assembly and verification of the tokens of a generated answer."""

import hashlib
from collections.abc import Iterable

from samphirevale import errors


class BrokenStreamError(errors.SamphirevaleError):
    """The tokens do not form a complete answer."""


def digest_tokens(tokens: Iterable[str]) -> str:
    """Returns the hex SHA-256 over the tokens, each followed by a newline."""
    digest = hashlib.sha256()
    for token in tokens:
        digest.update(token.encode() + b"\n")
    return digest.hexdigest()


class TokenBuffer:
    """Collects the tokens of one answer over one or more attempts.

    Attributes:
        tokens: the tokens so far, from the start of the answer.
        repeated: number of tokens that were received again and dropped.
    """

    def __init__(self):
        self.tokens: list[str] = []
        self.repeated = 0

    def add(self, sequence: int, tokens: list[str]) -> list[str]:
        """Adds a chunk and returns its new tokens.

        Args:
            sequence: the sequence number of the chunk's first token.
            tokens: the chunk's tokens.

        Raises:
            BrokenStreamError: tokens are missing before the chunk, or a
                repeated token differs.
        """
        received_count = len(self.tokens)
        if sequence > received_count:
            raise BrokenStreamError(f"token {received_count} is missing")
        overlap = min(received_count - sequence, len(tokens))
        if tokens[:overlap] != self.tokens[sequence : sequence + overlap]:
            raise BrokenStreamError(f"tokens from {sequence} on differ")
        self.repeated += overlap
        new_tokens = tokens[overlap:]
        self.tokens.extend(new_tokens)
        return new_tokens

    def check_complete(self, count: int, digest: str) -> None:
        """Checks the answer against the count and digest of its endpoint.

        Raises:
            BrokenStreamError: the count or the digest differs.
        """
        if count != len(self.tokens):
            raise BrokenStreamError(f"{len(self.tokens)} of {count} tokens")
        if digest != digest_tokens(self.tokens):
            raise BrokenStreamError("another digest")
