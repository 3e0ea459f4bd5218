"""Tests of the choice of items that move to a free endpoint."""

import types

import hypothesis
from hypothesis import strategies

from samphirevale import batching, item_moves
from tests import base, proxy_fakes

NOW = 100.0
LIMITS = proxy_fakes.BATCH_LIMITS


def build_queued(name, data_centre="a"):
    return item_moves.QueuedEndpoint(
        proxy_fakes.build_endpoint(name, data_centre=data_centre),
        batching.BatchQueue(LIMITS),
    )


def add_group(queued, attempt, count, **changes):
    """Queues the items of a new ticket; returns the ticket."""
    ticket = types.SimpleNamespace(endpoint=queued.endpoint)
    changes = {"due_at": NOW + 5, "deadline_at": NOW + 50, **changes}
    for index in range(count):
        queued.queue.add(
            proxy_fakes.build_item(index, attempt, ticket=ticket, **changes)
        )
    return ticket


def list_waiting(queued):
    return [(item.attempt, item.index) for item in queued.queue._waiting]


class PullItemsTest(base.TestCase):
    """Tests a free endpoint beside one that works."""

    def setUp(self):
        self.free = build_queued("free", "b")
        self.other = build_queued("other")
        add_group(self.other, "running", 1)
        self.other.queue.take_batch(NOW)

    def pull(self):
        item_moves.pull_items(self.free, [self.other], NOW)

    def test_items_that_would_wait_longest_move_together(self):
        for number in range(3):
            add_group(self.other, f"w{number}", 2, due_at=NOW + 1 + number)
        self.pull()
        self.assertEqual(
            [("w2", 0), ("w2", 1), ("w1", 0), ("w1", 1)],
            list_waiting(self.free),
        )
        self.assertEqual([("w0", 0), ("w0", 1)], list_waiting(self.other))

    def test_ticket_knows_where_its_items_are(self):
        ticket = add_group(self.other, "w", 2)
        self.pull()
        self.assertEqual(self.free.endpoint, ticket.endpoint)

    def test_ticket_that_has_begun_stays(self):
        self.other.queue.running = 0
        add_group(self.other, "begun", LIMITS.items + 2)
        self.other.queue.take_batch(NOW)
        self.pull()
        self.assertEqual([], list_waiting(self.free))

    def test_items_move_no_further_than_the_free_memory(self):
        size = LIMITS.memory_bytes // 2 + 1
        add_group(self.other, "large", 2, result_bytes=size)
        add_group(self.other, "small", 2)
        self.pull()
        self.assertEqual([("small", 0), ("small", 1)], list_waiting(self.free))

    def test_large_transfers_outweigh_the_wait(self):
        add_group(self.other, "w", 1, transfers=(("a", 50_000_000),))
        self.pull()
        self.assertEqual([], list_waiting(self.free))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 5),
                strategies.integers(0, 700),
                strategies.integers(0, 2),
            ),
            max_size=12,
        )
    )
    def test_nothing_is_lost_doubled_or_divided(self, groups):
        queued = [build_queued(f"e{index}") for index in range(3)]
        for queue in queued[1:]:
            add_group(queue, f"running{queue.endpoint.name}", 1)
            queue.queue.take_batch(NOW)
        tickets = [
            add_group(
                queued[1 + place % 2],
                f"g{number}",
                count,
                result_bytes=size,
            )
            for number, (count, size, place) in enumerate(groups)
        ]
        before = sorted(sum(map(list_waiting, queued), []))
        item_moves.pull_items(queued[0], queued[1:], NOW)
        self.assertEqual(before, sorted(sum(map(list_waiting, queued), [])))
        self.assertLessEqual(len(queued[0].queue), LIMITS.items)
        for ticket in tickets:
            places = {
                queue.endpoint
                for queue in queued
                for item in queue.queue._waiting
                if item.ticket is ticket
            }
            self.assertEqual({ticket.endpoint}, places)
