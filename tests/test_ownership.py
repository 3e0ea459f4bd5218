"""Tests of the assignment of endpoints to entries."""

import hypothesis
from hypothesis import strategies

from samphirevale import ownership
from tests import base, proxy_fakes


def build_cluster(entries, endpoints):
    members = [ownership.Member(f"m{i}", "abc"[i % 3]) for i in range(entries)]
    found = [
        proxy_fakes.build_endpoint(f"e{i}", data_centre="abc"[i % 3])
        for i in range(endpoints)
    ]
    return found, members


class OwnersTest(base.TestCase):
    """Tests the owners of batching endpoints."""

    def test_owners_are_in_the_same_data_centre(self):
        found, members = build_cluster(3, 9)
        owners = ownership.assign_owners(found, members)
        centres = {member.name: member.data_centre for member in members}
        for endpoint in found:
            self.assertEqual(
                endpoint.data_centre, centres[owners[endpoint.name]]
            )

    def test_endpoints_of_a_service_and_data_centre_have_one_owner(self):
        found, members = build_cluster(30, 27)
        owners = ownership.assign_owners(found, members)
        for data_centre in "abc":
            names = {
                owners[endpoint.name]
                for endpoint in found
                if endpoint.data_centre == data_centre
            }
            self.assertEqual(1, len(names))

    def test_services_are_distributed_evenly(self):
        _, members = build_cluster(9, 0)
        found = [
            proxy_fakes.build_endpoint(f"{service}{i}", service)
            for service in ("s1", "s2", "s3")
            for i in range(4)
        ]
        owners = ownership.assign_owners(found, members)
        self.assertEqual(3, len(set(owners.values())))

    def test_owner_stays_when_an_endpoint_joins(self):
        found, members = build_cluster(9, 9)
        before = ownership.assign_owners(found, members)
        joined = proxy_fakes.build_endpoint("new", data_centre="a")
        after = ownership.assign_owners([*found, joined], members)
        self.assertEqual(before, {name: after[name] for name in before})

    def test_without_entries_there_are_no_owners(self):
        self.assertEqual(
            {}, ownership.assign_owners(build_cluster(0, 3)[0], [])
        )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.integers(1, 9),
        strategies.integers(0, 20),
        strategies.randoms(use_true_random=False),
    )
    def test_all_entries_compute_the_same_owners(self, entries, endpoints, rng):
        found, members = build_cluster(entries, endpoints)
        expected = ownership.assign_owners(found, members)
        rng.shuffle(found)
        self.assertEqual(expected, ownership.assign_owners(found, members))
        self.assertEqual({e.name for e in found}, set(expected))
