"""Which entry gathers for which endpoint."""

import hypothesis
from hypothesis import strategies

from samphirevale import ownership
from tests import base, proxy_fakes


def build(entries, endpoints):
    members = [ownership.Member(f"m{i}", "abc"[i % 3]) for i in range(entries)]
    found = [
        proxy_fakes.build_endpoint(f"e{i}", data_centre="abc"[i % 3])
        for i in range(endpoints)
    ]
    return found, members


class OwnersTest(base.TestCase):
    """Owners of batching endpoints."""

    def test_own_data_centre_first(self):
        found, members = build(3, 9)
        owners = ownership.assign_owners(found, members)
        centres = {member.name: member.data_centre for member in members}
        for endpoint in found:
            self.assertEqual(
                endpoint.data_centre, centres[owners[endpoint.name]]
            )

    def test_without_entries_there_are_no_owners(self):
        self.assertEqual({}, ownership.assign_owners(build(0, 3)[0], []))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.integers(1, 9),
        strategies.integers(0, 20),
        strategies.randoms(use_true_random=False),
    )
    def test_all_entries_find_the_same_owners(self, entries, endpoints, rng):
        found, members = build(entries, endpoints)
        expected = ownership.assign_owners(found, members)
        rng.shuffle(found)
        self.assertEqual(expected, ownership.assign_owners(found, members))
        self.assertEqual({e.name for e in found}, set(expected))
