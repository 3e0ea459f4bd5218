"""Tests of membership."""

import random

from absl import logging
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirevale import invariants, membership
from samphirevale.ports import objects
from tests import base

SUSPECT_SECONDS = 1.5
NEW = membership.PeerState("s1", "127.0.0.1", 1)
PEER = membership.mark_connected(NEW, "x", 10.0)
LISTED = objects.ListedInstance("s1", "127.0.0.1", 1, "live")


def may_get_work(peer, now):
    return membership.may_get_work(peer, now, SUSPECT_SECONDS)


def receive_heartbeat(peer, now, leaving=False):
    return membership.mark_heartbeat(peer, leaving, now, SUSPECT_SECONDS)


class WorkTest(base.TestCase):
    """Which peers may get new work."""

    def test_only_connected_peers_may(self):
        self.assertFalse(may_get_work(NEW, 10.0))
        self.assertTrue(may_get_work(PEER, 10.0))
        disconnected = membership.mark_disconnected(
            PEER, 10.0, random.Random(1)
        )
        self.assertFalse(may_get_work(disconnected, 10.0))

    def test_silent_peer_is_suspected_and_then_on_probation(self):
        self.assertTrue(may_get_work(PEER, 11.4))
        self.assertFalse(may_get_work(PEER, 11.5))
        suspected = receive_heartbeat(PEER, 12.0)
        self.assertFalse(may_get_work(suspected, 12.0))
        self.assertTrue(may_get_work(receive_heartbeat(suspected, 12.5), 12.5))

    def test_a_reconnected_incarnation_is_on_probation(self):
        disconnected = membership.mark_disconnected(
            PEER, 10.0, random.Random(1)
        )
        reconnected = membership.mark_connected(disconnected, "x", 11.0)
        self.assertFalse(may_get_work(reconnected, 11.0))
        self.assertTrue(
            may_get_work(
                receive_heartbeat(receive_heartbeat(reconnected, 11.1), 11.2),
                11.2,
            )
        )
        self.assertTrue(
            may_get_work(membership.mark_connected(disconnected, "y", 11), 11.0)
        )

    def test_leaving_flag_outlasts_a_reconnection(self):
        leaving = receive_heartbeat(PEER, 10.5, leaving=True)
        self.assertFalse(may_get_work(leaving, 11.0))
        again = membership.mark_connected(leaving, "x", 11.0)
        self.assertFalse(may_get_work(again, 11.0))
        again = receive_heartbeat(again, 11.1, leaving=True)
        self.assertFalse(may_get_work(again, 11.1))
        self.assertTrue(
            may_get_work(membership.mark_connected(leaving, "y", 11), 11)
        )

    def test_a_resumed_peer_gets_work_again(self):
        drained = receive_heartbeat(PEER, 10.5, leaving=True)
        self.assertTrue(may_get_work(receive_heartbeat(drained, 11.0), 11.0))

    def test_the_list_alone_does_not_stop_work(self):
        listed = LISTED._replace(state="leaving")
        peers = membership.update_from_list({"s1": PEER}, [listed], 10.0)
        self.assertTrue(may_get_work(peers["s1"], 10.1))
        self.assertFalse(may_get_work(peers["s1"], 10.8))
        peers = membership.update_from_list({"s1": PEER}, [], 10.0)
        self.assertTrue(may_get_work(peers["s1"], 10.1))

    def test_a_handover_to_a_leaving_peer_is_a_violation(self):
        name = invariants.LEAVING_GETS_NO_WORK
        before = invariants.count_violations()[name]
        self.assertTrue(membership.check_handover(PEER, 10.0))
        with self.assertLogs(logging.get_absl_logger()):
            membership.check_handover(
                receive_heartbeat(PEER, 10.0, leaving=True), 10.0
            )
        self.assertEqual(invariants.count_violations()[name], before + 1)

    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["beat", "leave", "cut", "hello", "list"]),
                st.floats(0.01, 3.0),
            )
        )
    )
    def test_no_work_while_the_last_heartbeat_says_leaving(self, events):
        peer, now, leaving, rng = PEER, 10.0, False, random.Random(1)
        for event, seconds in events:
            now += seconds
            if event in ("beat", "leave"):
                peer = receive_heartbeat(peer, now, event == "leave")
                leaving = event == "leave"
            elif event == "cut":
                peer = membership.mark_disconnected(peer, now, rng)
            elif event == "hello":
                peer = membership.mark_connected(peer, "x", now)
            else:
                peer = membership.update_from_list({"s1": peer}, [LISTED], now)[
                    "s1"
                ]
            if may_get_work(peer, now):
                self.assertFalse(leaving)
                self.assertLess(now - peer.heard_at, SUSPECT_SECONDS)


class DialTest(base.TestCase):
    """When to dial, to dial again and to remove a peer."""

    def test_redials_back_off_with_jitter(self):
        rng = random.Random(1)
        peer, now, delays = NEW, 0.0, []
        for _ in range(10):
            self.assertTrue(membership.should_dial(peer, now))
            peer = membership.mark_dial_failed(peer, now, rng)
            self.assertFalse(membership.should_dial(peer, now))
            delays.append(peer.dial_at - now)
            now = peer.dial_at
        self.assertGreater(len(set(delays)), 8)
        self.assertLessEqual(delays[0], membership.INITIAL_DIAL_BACKOFF_SECONDS)
        longest = membership.MAX_DIAL_BACKOFF_SECONDS
        self.assertTrue(longest / 2 <= delays[-1] <= longest)

    def test_a_new_address_is_dialled_at_once(self):
        peer = membership.mark_dial_failed(NEW, 0.0, random.Random(1))
        listed = LISTED._replace(peer_port=2)
        peers = membership.update_from_list({"s1": peer}, [listed], 0.0)
        self.assertTrue(membership.should_dial(peers["s1"], 0.0))

    def test_removed_once_unlisted_and_disconnected_for_long(self):
        rng = random.Random(1)
        peers = membership.update_from_list({"s1": PEER}, [], 10.0)
        peers = membership.update_from_list(peers, [], 100.0)
        peer = membership.mark_disconnected(peers["s1"], 100.0, rng)
        last = 100.0 + membership.REMOVAL_DELAY_SECONDS
        self.assertFalse(membership.should_remove(peer, last - 0.1))
        self.assertTrue(membership.should_remove(peer, last))
        self.assertEqual(
            membership.update_from_list({"s1": peer}, [], last), {}
        )

    def test_the_list_adds_peers(self):
        peers = membership.update_from_list({}, [LISTED], 0.0)
        self.assertEqual(peers, {"s1": NEW})
