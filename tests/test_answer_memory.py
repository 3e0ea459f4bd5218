"""Tests of the memory of answers that are read whole."""

from samphirevale import answer_memory, errors
from tests import base

SMALL = answer_memory.SMALL_ANSWER_BYTES
LARGE = answer_memory.ANSWER_BYTES_LIMIT


class AnswerMemoryTest(base.TestCase):
    """Tests several answers."""

    def test_large_answer_is_refused(self):
        memory = answer_memory.AnswerMemory(10 * LARGE)
        memory.add(LARGE, LARGE)
        with self.assertRaises(errors.ProtocolError):
            memory.add(1, LARGE + 1)

    def test_only_small_answers_are_read_over_the_common_limit(self):
        memory = answer_memory.AnswerMemory(4 * SMALL)
        memory.add(4 * SMALL, 4 * SMALL)
        memory.add(SMALL, SMALL)
        with self.assertRaises(errors.ProtocolError):
            memory.add(1, SMALL + 1)
        memory.remove(4 * SMALL)
        memory.add(1, SMALL + 2)
