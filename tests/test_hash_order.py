"""Tests the order of names by their hash with a key."""

from samphirevale import hash_order
from tests import base

NAMES = [f"n{number}" for number in range(8)]


class HashOrderTest(base.TestCase):
    """Tests that the order is shared, stable and even."""

    def test_order_does_not_depend_on_that_of_the_names(self):
        self.assertEqual(
            hash_order.order_by_hash("k", NAMES),
            hash_order.order_by_hash("k", reversed(NAMES)),
        )

    def test_name_that_goes_moves_no_other(self):
        ordered = hash_order.order_by_hash("k", NAMES)
        removed = ordered[3]
        self.assertEqual(
            [name for name in ordered if name != removed],
            hash_order.order_by_hash("k", set(NAMES) - {removed}),
        )

    def test_each_name_comes_first_for_some_key(self):
        first = {
            hash_order.order_by_hash(f"k{number}", NAMES)[0]
            for number in range(200)
        }
        self.assertEqual(set(NAMES), first)
