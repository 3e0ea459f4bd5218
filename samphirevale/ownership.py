"""Assigns batching endpoints to the entries that run their queues.

With a single owner per endpoint, items of all entries share full batches. All
endpoints of a service in one data centre have the same owner, which knows all
of their queues exactly and so can spread items over them, while the other
entries decide on reports. All entries compute the same owners from the same
lists. While lists differ, an endpoint may have two owners, which makes batches
less full and has no other effect.
"""

import hashlib
from collections.abc import Collection
from typing import NamedTuple

from samphirevale import catalogue


class Member(NamedTuple):
    """An entry that is alive.

    Attributes:
        name: the instance of the entry.
        data_centre: the data centre in which the entry runs.
    """

    name: str
    data_centre: str


def assign_owners(
    endpoints: Collection[catalogue.Endpoint], members: Collection[Member]
) -> dict[str, str]:
    """Returns the owners' names by the endpoints' names.

    The groups of endpoints are distributed evenly over the entries of their own
    data centre, across all services. If the data centre has no entry, they are
    distributed over all entries.
    """
    if not members:
        return {}
    owned = dict.fromkeys((member.name for member in members), 0)
    owners = {}
    for (service, data_centre), names in _group_endpoints(endpoints):
        local_members = [
            member for member in members if member.data_centre == data_centre
        ]
        owner = min(
            local_members or members,
            key=lambda member: (
                owned[member.name],
                _compute_hash(f"{service}/{data_centre}", member.name),
            ),
        )
        owned[owner.name] += 1
        owners |= dict.fromkeys(names, owner.name)
    return owners


def _group_endpoints(
    endpoints: Collection[catalogue.Endpoint],
) -> list[tuple[tuple[str, str], list[str]]]:
    """Returns endpoint names by service and data centre, in a fixed order."""
    groups: dict[tuple[str, str], list[str]] = {}
    for endpoint in endpoints:
        key = (endpoint.service, endpoint.data_centre)
        groups.setdefault(key, []).append(endpoint.name)
    return sorted(groups.items())


def _compute_hash(group: str, member: str) -> bytes:
    text = f"{group}/{member}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
