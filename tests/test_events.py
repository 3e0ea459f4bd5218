"""Tests of splitting a stream into events and checking their order."""

import hypothesis
from hypothesis import strategies

from samphirevale import errors, events
from tests import base

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (i, i) for i in range(1, 30))


class EventSplitterTest(base.TestCase):
    """Tests splitting a stream into events."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM))))
    def test_events_do_not_depend_on_the_parts(self, cuts):
        bounds = [0, *sorted(cuts), len(STREAM)]
        splitter = events.EventSplitter()
        found = []
        for start, end in zip(bounds, bounds[1:], strict=False):
            found += splitter.feed(STREAM[start:end])
        self.assertEqual(STREAM, b"".join(event.data for event in found))
        self.assertEqual(list(range(1, 30)), [e.number for e in found])
        self.assertFalse(splitter.has_incomplete_event())

    def test_incomplete_event_is_not_returned(self):
        splitter = events.EventSplitter()
        self.assertEqual([], splitter.feed(b"id: 1\ndata"))
        self.assertTrue(splitter.has_incomplete_event())

    def test_event_over_the_size_limit_is_refused(self):
        splitter = events.EventSplitter()
        with self.assertRaises(errors.ProtocolError):
            splitter.feed(bytes(events.EVENT_BYTES_LIMIT + 1))

    def test_number_over_the_limit_is_refused(self):
        splitter = events.EventSplitter()
        digits = b"9" * (events.NUMBER_DIGITS_LIMIT + 1)
        with self.assertRaises(errors.ProtocolError):
            splitter.feed(b"id: " + digits + b"\n\n")

    def test_lines_of_events(self):
        for event in (
            b": ping",
            b"id: 1\ndata",
            b"data:x: y\nid:1",
            b"service-versions: 3\nid: 1\ndata: \xff\r",
            b"\nid: 1\n: ping\nretry: 5",
        ):
            (found,) = events.EventSplitter().feed(event + b"\n\n")
            self.assertEqual(event + b"\n\n", found.data)
            self.assertEqual(1 if b"id" in event else None, found.number)
            self.assertEqual(b"id" in event, found.has_fields)

    def test_text_that_is_no_event_is_refused(self):
        for text in (
            b"HTTP/1.1 500 X\r\nServer: x\r\n\r\nid: 2",
            b"id: 2\nHTTP/1.1 500 X\r",
            b'{"error": 1}',
            b"Internal Server Error",
            b"datas\nid: 2",
            b"<html>: x",
        ):
            with self.assertRaises(errors.ProtocolError):
                events.EventSplitter().feed(text + b"\n\n")


class EventOrderTest(base.TestCase):
    """Tests the order of events when a stream is resumed."""

    def accept(self, order, *numbers):
        return [order.accept(events.Event(b"", number)) for number in numbers]

    def test_events_of_a_resumed_stream_are_not_repeated(self):
        order = events.EventOrder()
        self.assertEqual([True, True], self.accept(order, 1, 2))
        self.assertEqual([False, False, True], self.accept(order, 1, 2, 3))

    def test_events_before_a_missing_one_are_not_accepted(self):
        order = events.EventOrder(5)
        with self.assertRaises(errors.ProtocolError):
            order.accept_all([events.Event(b"", 6), events.Event(b"", 8)])
        self.assertEqual(5, order.last)

    def test_missing_event_is_an_error(self):
        order = events.EventOrder(5)
        with self.assertRaises(errors.ProtocolError):
            self.accept(order, 7)

    def test_event_without_a_number_among_numbered_ones_is_an_error(self):
        unnumbered = events.Event(b"data: x\n\n", None, True)
        order = events.EventOrder()
        self.assertTrue(order.accept(unnumbered))
        self.accept(order, 1)
        with self.assertRaises(errors.ProtocolError):
            order.accept(unnumbered)

    def test_events_without_numbers_are_limited(self):
        order = events.EventOrder(5)
        self.accept(order, *[None] * events.UNNUMBERED_LIMIT)
        with self.assertRaises(errors.ProtocolError):
            self.accept(order, None)
