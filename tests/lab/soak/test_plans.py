"""Tests of the events that are drawn from a seed."""

from lab.soak import plans
from tests import base


class PlansTest(base.TestCase):
    """Tests what a seed and the settings decide."""

    def test_same_seed_draws_the_same_events(self):
        play = plans.Play(7)
        self.assertEqual(plans.draw_events(play), plans.draw_events(play))
        other = plans.draw_events(play._replace(seed=8))
        self.assertNotEqual(plans.draw_events(play), other)

    def test_each_kind_is_drawn_in_order_and_in_time(self):
        play = plans.Play(1)
        events = plans.draw_events(play)
        self.assertEqual(
            {plans.RESTART, plans.KILL, plans.STOP, plans.PAUSE, plans.STORE},
            {event.kind for event in events},
        )
        self.assertEqual(
            sorted(event.at for event in events), [event.at for event in events]
        )
        self.assertLess(events[-1].at, play.seconds)

    def test_releases_follow_each_other_with_ids_as_the_play_says(self):
        for share, expected in ((0.0, {False}), (1.0, {True})):
            events = plans.draw_events(plans.Play(3, new_ids=share))
            released = [event for event in events if event.version]
            self.assertEqual({"v2", "v3"}, {e.version for e in released})
            self.assertEqual(expected, {e.new_id for e in released})

    def test_outage_lasts_into_the_second_release_and_changes_nothing_else(
        self,
    ):
        play = plans.Play(5)
        events = plans.draw_events(play)
        more = plans.draw_events(play._replace(outage=3.0))
        (added,) = [event for event in more if event not in events]
        self.assertEqual(len(events) + 1, len(more))
        self.assertEqual((plans.STORE, "away"), (added.kind, added.target))
        released = [event.at for event in events if event.version == "v3"]
        self.assertLess(added.at, released[0])
        self.assertGreater(added.at + added.seconds, released[0])

    def test_mass_kill_is_of_all_entries_and_changes_nothing_else(self):
        play = plans.Play(5, entries=4)
        events = plans.draw_events(play)
        more = plans.draw_events(play._replace(mass_kills=1))
        added = [event for event in more if event not in events]
        self.assertEqual(len(events) + len(added), len(more))
        self.assertEqual(1, len({event.at for event in added}))
        self.assertEqual([0, 1, 2, 3], [event.target for event in added])

    def test_endpoints_of_other_services_start_again(self):
        play = plans.Play(5, servers=10)
        events = plans.draw_events(play)
        more = plans.draw_events(play._replace(others=40))
        added = {event.target for event in more if event not in events}
        self.assertEqual(set(range(10, 14)), added)
