"""Tests of the assignment of endpoints to entries."""

import hypothesis
from hypothesis import strategies

from samphirevale import ownership
from tests import base, proxy_fakes

# Two regions; data centre `c` is in none.
REGIONS = {"a": "north", "b": "north"}


def build_cluster(entries, endpoints, places="abc"):
    """Returns endpoints of one service and entries, by turns in the places."""
    members = [
        ownership.Member(f"m{i}", places[i % len(places)])
        for i in range(entries)
    ]
    found = [
        proxy_fakes.build_endpoint(f"e{i}", data_centre=places[i % len(places)])
        for i in range(endpoints)
    ]
    return found, members


def assign(found, members, regions=REGIONS):
    return ownership.assign_owners(found, members, regions)


class OwnersTest(base.TestCase):
    """Tests the owners of batching endpoints."""

    def test_owner_is_in_a_data_centre_of_its_endpoints(self):
        found, members = build_cluster(3, 9)
        owners = assign(found, members)
        places = {member.name: member.data_centre for member in members}
        for endpoint in found:
            near = "ab" if endpoint.data_centre in "ab" else "c"
            self.assertIn(places[owners[endpoint.name]], near)

    def test_endpoints_of_a_service_and_region_have_one_owner(self):
        found, members = build_cluster(30, 18)
        owners = assign(found, members)
        names = {
            place: {
                owners[endpoint.name]
                for endpoint in found
                if endpoint.data_centre == place
            }
            for place in "abc"
        }
        self.assertEqual(1, len(names["a"]))
        self.assertEqual(names["a"], names["b"])
        self.assertNotEqual(names["a"], names["c"])

    def test_data_centre_without_a_region_is_one_of_its_own(self):
        found, members = build_cluster(9, 9)
        self.assertEqual(3, len(set(assign(found, members, {}).values())))

    def test_many_endpoints_have_several_owners(self):
        limit = ownership.ENDPOINTS_PER_OWNER
        found, members = build_cluster(30, 3 * limit, "ab")
        owners = assign(found, members)
        self.assertEqual(2, len(set(owners.values())))
        for place in "ab":
            names = [e.name for e in found if e.data_centre == place]
            self.assertEqual(1, len({owners[name] for name in names}))

    def test_stronger_entries_own_more(self):
        weak = [ownership.Member(f"m{i}", "a", 0.3) for i in range(8)]
        strong = ownership.Member("m8", "a", 2.0)
        found = [
            proxy_fakes.build_endpoint(f"{service}{i}", service)
            for service in ("s1", "s2", "s3")
            for i in range(4)
        ]
        owners = assign(found, [*weak, strong])
        self.assertEqual({"m8"}, set(owners.values()))

    def test_services_are_distributed_evenly(self):
        _, members = build_cluster(9, 0)
        found = [
            proxy_fakes.build_endpoint(f"{service}{i}", service)
            for service in ("s1", "s2", "s3")
            for i in range(4)
        ]
        owners = assign(found, members)
        self.assertEqual(3, len(set(owners.values())))

    def test_owner_stays_when_an_endpoint_joins(self):
        found, members = build_cluster(9, 9)
        before = assign(found, members)
        joined = proxy_fakes.build_endpoint("new", data_centre="a")
        after = assign([*found, joined], members)
        self.assertEqual(before, {name: after[name] for name in before})

    def test_without_entries_there_are_no_owners(self):
        self.assertEqual({}, assign(build_cluster(0, 3)[0], []))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.integers(1, 9),
        strategies.integers(0, 20),
        strategies.randoms(use_true_random=False),
    )
    def test_all_entries_compute_the_same_owners(self, entries, endpoints, rng):
        found, members = build_cluster(entries, endpoints)
        expected = assign(found, members)
        rng.shuffle(found)
        self.assertEqual(expected, assign(found, members))
        self.assertEqual({e.name for e in found}, set(expected))
