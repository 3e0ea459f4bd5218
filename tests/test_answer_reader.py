"""Tests that tokens arriving in quick succession are sent as one chunk."""

import contextlib
import types

import curio

from samphirevale import (
    answer_reader,
    configuration_holder,
    messages,
    token_streams,
)
from samphirevale.ports import endpoints
from tests import base

ANSWER = ["a", "b", "c", "d", "e"]


class FakePeer:
    """Records the posted chunks."""

    def __init__(self):
        self.chunks = []
        self.posted = curio.Event()

    async def post(self, message):
        self.chunks.append((message.sequence, message.tokens))
        await self.posted.set()
        return True

    async def wait_for(self, count):
        while len(self.chunks) < count:
            self.posted.clear()
            await self.posted.wait()


def build_attempt(peer):
    handover = messages.Handover(
        "r", "s", "a", "p", "", {}, 1000, 0, True, "", "", 0, "", True
    )
    return types.SimpleNamespace(
        handover=handover, peer=peer, chunks_missed=False
    )


def build_completed():
    stream = token_streams.TokenStream(0)
    stream.add(0, ANSWER)
    digest = stream._digest.hexdigest()
    return endpoints.Completed(None, len(ANSWER), digest, 1.0)


class ChunkTest(base.TestCase):
    """AnswerReader with an endpoint that yields one token at a time."""

    def setUp(self):
        super().setUp()
        self.peer = FakePeer()
        self.reader = answer_reader.AnswerReader(
            build_attempt(self.peer),
            configuration_holder.ConfigurationHolder(),
            answer_reader.AttemptCounts(),
        )

    async def read(self, items):
        async with contextlib.aclosing(items):
            return await self.reader.read(items)

    def check_tokens(self):
        tokens = []
        for sequence, chunk in self.peer.chunks:
            self.assertEqual(sequence, len(tokens))
            tokens += chunk
        self.assertEqual(ANSWER, tokens)

    async def test_first_token_is_sent_at_once_and_the_others_together(self):
        async def answer():
            for number, token in enumerate(ANSWER):
                yield endpoints.Tokens(number, [token])
            yield build_completed()

        ending = await self.read(answer())
        self.assertIsInstance(ending, messages.Result)
        self.assertEqual((0, ["a"]), self.peer.chunks[0])
        self.assertLess(len(self.peer.chunks), len(ANSWER))
        self.check_tokens()

    async def test_held_token_is_sent_without_waiting_for_the_next(self):
        async def answer():
            yield endpoints.Tokens(0, ANSWER[:1])
            yield endpoints.Tokens(1, ANSWER[1:2])
            await self.peer.wait_for(2)
            for number in (2, 3, 4):
                yield endpoints.Tokens(number, [ANSWER[number]])
            yield build_completed()

        ending = await self.read(answer())
        self.assertIsInstance(ending, messages.Result)
        self.assertEqual((1, ["b"]), self.peer.chunks[1])
        self.check_tokens()

    async def test_nothing_is_sent_after_the_reader_has_failed(self):
        async def answer():
            yield endpoints.Tokens(0, ANSWER[:1])
            yield endpoints.Tokens(1, ANSWER[1:2])
            yield endpoints.Failed("lost", "broken on purpose")

        ending = await self.read(answer())
        self.assertIsInstance(ending, endpoints.Failed)
        sent = list(self.peer.chunks)
        await curio.sleep(2 * answer_reader.CHUNK_INTERVAL_SECONDS)
        self.assertEqual(sent, self.peer.chunks)
