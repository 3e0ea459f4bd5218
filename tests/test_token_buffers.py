"""Tests of the assembly of an answer's tokens."""

from samphirevale import token_buffers
from tests import base


class TokenBufferTest(base.TestCase):
    """Chunks in order, repeated, with a gap, and with different tokens."""

    def test_chunks(self):
        for chunks, tokens, repeated in (
            ([(0, "ab"), (2, "c")], "abc", 0),
            ([(0, "ab"), (0, "ab"), (1, "bc")], "abc", 3),
            ([(0, "a"), (1, "")], "a", 0),
            ([(0, "a"), (2, "c")], None, 0),
            ([(0, "ab"), (1, "x")], None, 0),
            ([(0, "ab"), (0, "axc")], None, 0),
        ):
            with self.subTest(chunks):
                buffer = token_buffers.TokenBuffer()
                if tokens is None:
                    with self.assertRaises(token_buffers.BrokenStreamError):
                        self.add_all(buffer, chunks)
                    continue
                self.assertEqual(tokens, self.add_all(buffer, chunks))
                self.assertEqual(repeated, buffer.repeated)

    def add_all(self, buffer, chunks) -> str:
        new_tokens = [buffer.add(first, list(text)) for first, text in chunks]
        return "".join(token for tokens in new_tokens for token in tokens)

    def test_complete_answer(self):
        buffer = token_buffers.TokenBuffer()
        buffer.add(0, ["a", "b"])
        digest = token_buffers.digest_tokens("ab")
        buffer.check_complete(2, digest)
        for count, wrong_digest in (
            (3, digest),
            (2, token_buffers.digest_tokens("ba")),
        ):
            with self.assertRaises(token_buffers.BrokenStreamError):
                buffer.check_complete(count, wrong_digest)
