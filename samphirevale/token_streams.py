"""Checks one streamed answer for order, gaps, token count and digest."""

import hashlib

from samphirevale import errors

# Maximum number of tokens held while an earlier one is missing.
REORDER_WINDOW_TOKENS = 256


class TokenStream:
    """Puts the tokens of one answer in order and drops duplicates.

    Attributes:
        next_sequence: the sequence number of the next token in order.
        duplicates: number of tokens dropped because they had already arrived.
        reordered: number of tokens held because an earlier one was missing;
            a token counts once per call of `add` during which it is held.
    """

    def __init__(self, offset: int):
        self._offset = offset
        self.next_sequence = offset
        self.duplicates = 0
        self.reordered = 0
        self._held: dict[int, str] = {}
        self._digest = hashlib.sha256()

    def add(self, sequence: int, tokens: list[str]) -> list[str]:
        """Adds tokens and returns those that are now in order.

        Args:
            sequence: the sequence number of the first of `tokens`.
            tokens: consecutive tokens.

        Raises:
            errors.ProtocolError: more than REORDER_WINDOW_TOKENS tokens are
                held for a missing one.
        """
        for number, token in enumerate(tokens, sequence):
            if number < self.next_sequence or number in self._held:
                self.duplicates += 1
                continue
            self._held[number] = token
        ready = self._take_ready()
        self.reordered += len(self._held)
        if len(self._held) > REORDER_WINDOW_TOKENS:
            raise errors.ProtocolError(
                f"token {self.next_sequence} is missing, "
                f"{len(self._held)} later ones have come"
            )
        return ready

    def check_complete(self, count: int, digest: str) -> None:
        """Checks the token count and, for an answer without offset, the digest.

        The tokens before an offset do not pass through this object, so the
        digest of a resumed answer cannot be checked here.

        Raises:
            errors.ProtocolError: the answer is incomplete or its digest
                differs.
        """
        if self._held or self.next_sequence != count:
            raise errors.ProtocolError(
                f"the answer has {count} tokens, "
                f"{self.next_sequence} have come in order"
            )
        if self._offset == 0 and digest != self._digest.hexdigest():
            raise errors.ProtocolError("the digest is of another answer")

    def _take_ready(self) -> list[str]:
        ready = []
        while self.next_sequence in self._held:
            token = self._held.pop(self.next_sequence)
            self._digest.update(token.encode() + b"\n")
            ready.append(token)
            self.next_sequence += 1
        return ready
