"""Tests of streams that break off, and of what the next endpoint answers.

The endpoints write raw bytes, and so does the caller.
"""

import contextlib
import itertools

from samphirevale import retry_budgets
from standins import servers
from tests import raw_answers
from tests.platform import sessions

SEAL = b"Samphirevale-Response-Seal: s\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
TEXT = b"Content-Type: text/plain\r\n"
NOT_EXECUTED = b"Samphirevale-Not-Executed: 1\r\n"

# The time to the deadline of streams, in milliseconds, longer than a silence.
DEADLINE_MS = 9000

# What callers have of a stream when it breaks off.
BEGIN = servers.build_event(1) + servers.build_event(2)
THIRD = servers.build_event(3)
REST = sessions.REST_OF_STREAM

# The texts of errors, as an endpoint might write them in place of an event.
ERROR_TEXTS = {
    "text": b"engine failed\n\n",
    "head": b"HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nno\n\n",
    "head before an event": b"HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nno\n",
    "json": b'{"error": "x"}\n\n',
    "json before an event": b'{"error": "x"}\n',
    "data": b'data: {"error": "x"}\n\n',
    "event": b"event: error\ndata: x\n\n",
}


def build_stream(body, framing, headers=EVENTS):
    return raw_answers.build_answer(body, framing, 200, SEAL + headers)


def build_broken(framing="length"):
    """Returns an answer that is broken off inside its third event."""
    whole = build_stream(BEGIN + THIRD + REST, framing)
    return whole[: whole.index(THIRD) + 9]


class BrokenStreamTestCase(sessions.SessionTestCase):
    """One entry, with endpoints of raw bytes: four models and two others."""

    settings = {"budget": retry_budgets.RetryBudgetLimits(1.0, 1e6, 10.0)}

    @contextlib.asynccontextmanager
    async def run_raw(self):
        """Runs all during the block."""
        self.numbers = itertools.count()
        names = [f"model{number}" for number in range(1, 5)]
        names += ["plain1", "plain2"]
        async with (
            raw_answers.run_server(len(names)) as self.raw,
            self.run_all(names),
        ):
            for name, port in zip(names, self.raw.ports, strict=True):
                self.ports[name] = port
                self.change_server(name, born=raw_answers.BORN)
            manifest = sessions.build_manifest(2)
            *others, stream = manifest["routes"]
            stream = {
                **stream,
                "phases": [],
                "max_attempts": 4,
                "timeout_ms": DEADLINE_MS,
            }
            manifest["routes"] = [
                *others,
                stream,
                {**stream, "path_prefix": "/twice/", "max_attempts": 2},
                {**stream, "path_prefix": "/single/", "resumable": False},
            ]
            self.store.put("config", "main", manifest)
            catalogue = self.gateway.cluster_state.catalogue
            await self.wait_until(
                lambda: (
                    {catalogue.find(name).port for name in names}
                    == {*self.raw.ports}
                )
            )
            await self.wait_until(
                lambda: self.gateway.cluster_state.table.version == 2
            )
            yield

    async def send(
        self, script, path="/write/x", version="1.1", prompt="p{0}:10,q{0}:5"
    ):
        """Sends a request; returns what the caller reads.

        Args:
            script: the answers of the endpoints in order, as bytes or as for
                a raw server.
            path: the path.
            version: the version of HTTP.
            prompt: the parts of its prompt, for the number of the request.
        """
        self.raw.requests.clear()
        self.raw.script = [
            step if not isinstance(step, bytes) else raw_answers.RawAnswer(step)
            for step in script
        ]
        number = next(self.numbers)
        lines = [
            f"POST {path} HTTP/{version}",
            "Host: h.example",
            f"Samphirevale-Attempt-Id: b{number}",
            f"Samphirevale-Deadline-Ms: {DEADLINE_MS}",
            "Samphirevale-Key: k1",
            f"Samphirevale-Prefix-Hash: {prompt.format(number)}",
            "Content-Length: 0",
            "Connection: close",
        ]
        request = "\r\n".join([*lines, "", ""]).encode()
        return await raw_answers.read_answer(self.port, request)

    async def check_goes_on(self, answer, name, comments=b""):
        """Checks a stream that breaks off and is resumed twice.

        Args:
            answer: the first resumption's answer.
            name: the name of the case.
            comments: the comments of that answer, which callers get.
        """
        rest = build_stream(THIRD + REST, "chunks")
        with self.subTest(name):
            read = await self.send([build_broken(), answer, rest])
            self.assertEqual(
                (200, BEGIN + comments + THIRD + REST, True),
                (read.status, read.body, read.complete),
            )
            self.assertEqual(3, len(self.raw.requests))

    async def check_broken(self, answer, name, bodies=(BEGIN,)):
        """Checks a stream that breaks off and cannot be resumed twice.

        Args:
            answer: the first resumption's answer.
            name: the name of the case.
            bodies: what callers may get.
        """
        with self.subTest(name):
            read = await self.send([build_broken(), answer], "/twice/x")
            self.assertEqual((200, False), (read.status, read.complete))
            self.assertIn(read.body, bodies)
            self.assertEqual(2, len(self.raw.requests))


class ErrorInStreamTest(BrokenStreamTestCase):
    """Guards against an error of the next endpoint inside a stream."""

    async def check_texts(self, before, after):
        """Checks each text of an error behind and before some events."""
        async with self.run_raw():
            for (name, text), framing in itertools.product(
                ERROR_TEXTS.items(), raw_answers.FRAMINGS
            ):
                answer = build_stream(before + text + after, framing)
                await self.check_goes_on(answer, (name, framing))
                await self.check_broken(
                    answer, (name, framing), (BEGIN, BEGIN + before)
                )

    async def test_text_of_an_error_is_no_event(self):
        await self.check_texts(b"", b"")

    async def test_text_of_an_error_behind_an_event_is_no_event(self):
        await self.check_texts(THIRD, b"")

    async def test_error_after_a_silence_is_no_event(self):
        """The endpoint before may still go on while the next one answers."""
        rest = build_stream(THIRD + REST, "chunks")
        whole = build_stream(sessions.STREAM, "chunks")
        error = build_stream(ERROR_TEXTS["data"], "none")
        refusal = raw_answers.build_answer(
            b"no\n\n", "none", 500, SEAL + EVENTS
        )
        async with self.run_raw():
            for before, answer, after in (
                (build_broken(), error, rest),
                (b"", refusal, whole),
            ):
                silent = raw_answers.RawAnswer(before, "")
                read = await self.send([silent, answer, after])
                self.assertEqual(
                    (200, sessions.STREAM, True),
                    (read.status, read.body, read.complete),
                )
                self.assertEqual(3, len(self.raw.requests))

    async def test_head_inside_an_event_is_no_part_of_it(self):
        heads = (
            b"HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nno\n\n",
            b"http/1.1 500 x\r\ncontent-length: 4\r\n\r\nno\n\n",
        )
        async with self.run_raw():
            for head, framing in itertools.product(heads, raw_answers.FRAMINGS):
                for size in range(1, len(THIRD)):
                    answer = build_stream(THIRD[:size] + head + REST, framing)
                    await self.check_goes_on(answer, (head, framing, size))

    async def test_text_of_an_error_between_events_is_no_event(self):
        await self.check_texts(THIRD, REST)


class NextAnswerTest(BrokenStreamTestCase):
    """Tests answers of the next endpoint that are no stream."""

    def list_answers(self):
        """Returns pairs of a name and the bytes of an answer."""
        found = []
        for status, framing, content, refusal, body in itertools.product(
            (400, 404, 408, 409, 421, 429, 500, 503, 504),
            raw_answers.FRAMINGS,
            (TEXT, EVENTS),
            (b"", NOT_EXECUTED),
            (b"", b"engine failed\n\n"),
        ):
            name = (status, framing, content, refusal, body)
            found.append(
                (
                    name,
                    raw_answers.build_answer(
                        body, framing, status, SEAL + content + refusal
                    ),
                )
            )
        return found

    def list_odd_answers(self):
        """Returns the same for answers that are no errors, and for none."""
        found = [
            ("nothing", b""),
            ("interim", b"HTTP/1.1 100 Continue\r\n\r\n"),
            ("no HTTP", b"engine failed\n\n"),
            ("events alone", THIRD + REST),
        ]
        for framing in raw_answers.FRAMINGS:
            for name, body, headers in (
                ("text", b"engine failed\n\n", SEAL + TEXT),
                ("events as text", THIRD + REST, SEAL + TEXT),
                ("no seal", THIRD + REST, EVENTS),
                ("encoded", THIRD, SEAL + EVENTS + b"Content-Encoding: x\r\n"),
            ):
                answer = raw_answers.build_answer(body, framing, 200, headers)
                found.append(((name, framing), answer))
            other = build_stream(THIRD, framing).replace(b"{attempt}", b"x")
            found.append((("other request", framing), other))
        for status in (201, 206):
            answer = raw_answers.build_answer(
                THIRD, "chunks", status, SEAL + EVENTS
            )
            found.append((status, answer))
        return found

    async def test_no_part_of_an_answer_that_is_no_stream_is_passed_on(self):
        async with self.run_raw():
            for name, answer in self.list_answers() + self.list_odd_answers():
                await self.check_goes_on(answer, name)

    async def test_stream_ends_early_after_an_answer_that_is_no_stream(self):
        async with self.run_raw():
            for name, answer in self.list_answers() + self.list_odd_answers():
                with self.subTest(name):
                    script = [build_broken(), *[answer] * 3]
                    read = await self.send(script)
                    self.assertEqual(
                        (200, BEGIN, False),
                        (read.status, read.body, read.complete),
                    )

    async def test_head_inside_a_chunked_stream_breaks_it(self):
        """Only the bytes of chunks are the body."""
        error = raw_answers.build_answer(b"engine failed\n\n", "length", 500)
        for before in (BEGIN, BEGIN + THIRD[:5]):
            whole = build_stream(before, "chunks")
            answer = whole[: -len(b"0\r\n\r\n")] + error
            rest = build_stream(THIRD + REST, "chunks")
            async with self.run_raw():
                read = await self.send([answer, rest])
                self.assertEqual(
                    (200, sessions.STREAM, True),
                    (read.status, read.body, read.complete),
                )
                read = await self.send([answer], "/single/x")
                self.assertEqual(
                    (200, BEGIN, False), (read.status, read.body, read.complete)
                )

    async def test_answer_behind_a_whole_stream_is_not_passed_on(self):
        error = raw_answers.build_answer(b"engine failed", "length", 500)
        async with self.run_raw():
            for framing in ("length", "chunks"):
                whole = build_stream(sessions.STREAM, framing)
                read = await self.send([whole + error])
                self.assertEqual(
                    (sessions.STREAM, True, b""),
                    (read.body, read.complete, read.extra),
                )

    async def test_interim_answers_before_a_stream_are_not_passed_on(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        async with self.run_raw():
            for framing in raw_answers.FRAMINGS:
                rest = interim * 3 + build_stream(THIRD + REST, framing)
                read = await self.send([build_broken(), rest])
                self.assertEqual(
                    (200, sessions.STREAM, True),
                    (read.status, read.body, read.complete),
                )


class EndOfStreamTest(BrokenStreamTestCase):
    """Guards against a stream that ends as complete before its last event."""

    async def check_begins_again(self, answer, name):
        """Checks an answer that ends before its first event."""
        with self.subTest(name):
            whole = build_stream(sessions.STREAM, "chunks")
            read = await self.send([answer, whole])
            self.assertEqual(
                (sessions.STREAM, True), (read.body, read.complete)
            )
            read = await self.send([answer], "/single/x")
            self.assertEqual((502, True), (read.status, read.complete))
            self.assertNotIn(b"samphirevale-response-seal", read.headers)

    async def test_comments_before_the_end_of_a_connection_are_no_stream(self):
        async with self.run_raw():
            for body in (b"", b": ping\n\n", b"\n\n", b"\n", b": ping\n" * 3):
                answer = build_stream(body, "none")
                comments = body if body.endswith(b"\n\n") else b""
                await self.check_goes_on(answer, body, comments)
                await self.check_broken(answer, body, (BEGIN + comments,))
                await self.check_begins_again(answer, body)

    async def test_stream_that_ends_before_the_callers_last_event_is_broken(
        self,
    ):
        async with self.run_raw():
            for framing in raw_answers.FRAMINGS:
                answer = build_stream(servers.build_event(1), framing)
                await self.check_goes_on(answer, framing)
                await self.check_broken(answer, framing)

    async def test_stream_that_breaks_off_after_its_last_event_has_ended(self):
        """The next endpoint says that there is no further event."""
        broken = build_stream(sessions.STREAM, "chunks")[: -len("0\r\n\r\n")]
        async with self.run_raw():
            for framing in ("length", "chunks"):
                for body in (b"", b": ping\n\n", servers.build_event(5)):
                    answer = build_stream(body, framing)
                    read = await self.send([broken, answer])
                    rest = body if body.startswith(b":") else b""
                    self.assertEqual(
                        (sessions.STREAM + rest, True),
                        (read.body, read.complete),
                    )
                    self.assertEqual(2, len(self.raw.requests))


class ContentTypeTest(BrokenStreamTestCase):
    """Guards against a stream that is taken for a body without events."""

    async def test_type_of_a_stream_counts_in_any_case(self):
        headers = b"Content-Type: Text/Event-Stream; charset=utf-8\r\n"
        async with self.run_raw():
            rest = build_stream(THIRD + REST, "chunks", headers)
            for framing in raw_answers.FRAMINGS:
                whole = build_stream(sessions.STREAM, framing, headers)
                cut = whole[: whole.index(THIRD) + 9]
                with self.subTest(framing):
                    read = await self.send([cut, rest])
                    self.assertEqual(
                        (200, sessions.STREAM, True),
                        (read.status, read.body, read.complete),
                    )


class CutHeadTest(BrokenStreamTestCase):
    """Guards against a success made of a head that was cut off."""

    async def check_cuts(self, path, body, headers, check, before=()):
        """Cuts the head of an answer without a length at each byte.

        Args:
            path: the path of the requests.
            body: the body of the whole answer.
            headers: its further headers.
            check: called with what the caller has read.
            before: the answers that come before it.
        """
        whole = raw_answers.build_answer(body, "none", 200, headers)
        sound = raw_answers.build_answer(body, "chunks", 200, headers)
        async with self.run_raw():
            for size in range(whole.index(b"\r\n\r\n") + 4):
                for ends_by in ("close", "reset"):
                    cut = raw_answers.RawAnswer(whole[:size], ends_by)
                    with self.subTest((size, ends_by)):
                        read = await self.send([*before, cut, sound], path)
                        check(read)

    def check_repeated(self, read, body):
        self.assertEqual((200, body), (read.status, read.body))
        self.assertTrue(read.complete)

    def check_refused(self, read):
        self.assertEqual((502, True), (read.status, read.complete))
        self.assertNotIn(b"samphirevale-response-seal", read.headers)
        self.assertEqual(1, len(self.raw.requests))

    async def test_whole_answer_comes_from_another_endpoint(self):
        def check(read):
            self.check_repeated(read, b"whole")

        await self.check_cuts("/read/x", b"whole", SEAL, check)

    async def test_whole_answer_of_a_request_that_may_run_once_is_lost(self):
        await self.check_cuts("/once/x", b"whole", SEAL, self.check_refused)

    async def test_stream_begins_at_another_endpoint(self):
        def check(read):
            self.check_repeated(read, sessions.STREAM)

        await self.check_cuts("/write/x", sessions.STREAM, SEAL + EVENTS, check)

    async def test_stream_that_may_run_once_is_lost(self):
        await self.check_cuts(
            "/single/x", sessions.STREAM, SEAL + EVENTS, self.check_refused
        )

    async def test_connection_that_is_closed_at_once_brings_no_answer(self):
        sound = raw_answers.build_answer(b"whole", "chunks", 200, SEAL)
        stream = build_stream(sessions.STREAM, "chunks")
        async with self.run_raw():
            for path, answer, body in (
                ("/read/x", sound, b"whole"),
                ("/write/x", stream, sessions.STREAM),
            ):
                self.raw.closing = 1
                self.check_repeated(await self.send([answer], path), body)
            self.raw.closing = 1
            read = await self.send([sound], "/once/x", prompt="q{0}:5")
            self.assertEqual((502, True), (read.status, read.complete))
            self.assertEqual([], self.raw.requests)

    async def test_connection_closed_at_the_question_has_taken_no_request(self):
        """A stream that may run once is still sent to another endpoint."""
        stream = build_stream(sessions.STREAM, "chunks")
        async with self.run_raw():
            self.raw.closing = 1
            read = await self.send([stream], "/single/x")
            self.check_repeated(read, sessions.STREAM)
            self.assertEqual(1, len(self.raw.requests))

    async def test_stream_is_resumed_at_a_further_endpoint(self):
        def check(read):
            self.check_repeated(read, sessions.STREAM)

        await self.check_cuts(
            "/write/x", THIRD + REST, SEAL + EVENTS, check, (build_broken(),)
        )


class CallerFramingTest(BrokenStreamTestCase):
    """Guards against an answer that ends early and looks complete."""

    async def test_broken_stream_does_not_look_complete(self):
        async with self.run_raw():
            for ends_by, framing, version in itertools.product(
                ("close", "reset"), raw_answers.FRAMINGS, ("1.1", "1.0")
            ):
                broken = raw_answers.RawAnswer(build_broken(framing), ends_by)
                with self.subTest((ends_by, framing, version)):
                    read = await self.send([broken], "/single/x", version)
                    self.assertEqual((200, False), (read.status, read.complete))
                    self.assertTrue(BEGIN.startswith(read.body))

    async def test_whole_stream_looks_complete(self):
        async with self.run_raw():
            for framing, version in itertools.product(
                raw_answers.FRAMINGS, ("1.1", "1.0")
            ):
                whole = build_stream(sessions.STREAM, framing)
                read = await self.send([whole], "/single/x", version)
                self.assertEqual(
                    (200, sessions.STREAM, True),
                    (read.status, read.body, read.complete),
                )
