"""Limits the memory of answers that are read whole."""

from samphirevale import errors

# The largest answer, in bytes.
ANSWER_BYTES_LIMIT = 8 * 1024 * 1024

# An answer up to this size is read even if all answers together are over their
# limit, in bytes.
SMALL_ANSWER_BYTES = 64 * 1024


class AnswerMemory:
    """The memory that answers occupy while they are read."""

    def __init__(self, limit_bytes: int):
        """Initializes it without answers.

        Args:
            limit_bytes: the size of all answers together.
        """
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    def add(self, added_bytes: int, answer_bytes: int) -> None:
        """Adds a part of an answer.

        Args:
            added_bytes: the size of the part.
            answer_bytes: the size of the answer so far.

        Raises:
            errors.ProtocolError: the answer is too large, or large while all
                answers are over their limit. What was added must be removed.
        """
        self._used_bytes += added_bytes
        over = self._used_bytes > self._limit_bytes
        if answer_bytes > ANSWER_BYTES_LIMIT or (
            over and answer_bytes > SMALL_ANSWER_BYTES
        ):
            raise errors.ProtocolError("the answer is too large")

    def remove(self, answer_bytes: int) -> None:
        """Removes an answer that has been read, or is not read on."""
        self._used_bytes -= answer_bytes
