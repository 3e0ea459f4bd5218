"""The checks on one streamed answer: order, gaps, count and digest."""

import hashlib

from samphirevale import errors

# The most tokens that are held while earlier ones are missing.
WINDOW_TOKENS = 256


class TokenStream:
    """Puts the tokens of one answer in order and counts what it drops.

    Attributes:
        next_sequence: the number of the next token in order.
        duplicates: tokens that were dropped because they had come before.
        reordered: tokens that came before their turn and were held.
    """

    def __init__(self, offset: int):
        self._offset = offset
        self.next_sequence = offset
        self.duplicates = 0
        self.reordered = 0
        self._held: dict[int, str] = {}
        self._digest = hashlib.sha256()

    def add(self, sequence: int, tokens: list[str]) -> list[str]:
        """Takes tokens in and returns those that are in order now.

        Args:
            sequence: the number of the first of `tokens`.
            tokens: tokens that follow each other.

        Raises:
            errors.ProtocolError: too many tokens wait for a missing one.
        """
        for number, token in enumerate(tokens, sequence):
            if number < self.next_sequence or number in self._held:
                self.duplicates += 1
                continue
            self._held[number] = token
        ready = self._take_ready()
        self.reordered += len(self._held)
        if len(self._held) > WINDOW_TOKENS:
            raise errors.ProtocolError(
                f"token {self.next_sequence} is missing, "
                f"{len(self._held)} later ones have come"
            )
        return ready

    def check_whole(self, count: int, digest: str) -> None:
        """Checks the count and, for a whole answer, the digest.

        With an offset the tokens before it have not passed through here, so
        that only the endpoint can know the digest of the whole answer.

        Raises:
            errors.ProtocolError: the answer is not whole.
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
