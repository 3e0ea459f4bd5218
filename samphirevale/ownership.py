"""Assigns batching endpoints to the entries that run their queues.

The load that this answers: demand that differs between data centres, so that
items wait in one of them while endpoints of another are idle.

With a single owner for the endpoints of a service in a region, items of all
entries share full batches, and each item goes to the endpoint that will be done
first. An owner knows all queues of its endpoints exactly, while the other
entries decide on reports. A service with many endpoints has several owners,
each for some data centres. All entries compute the same owners from the same
lists. While lists differ, an endpoint may have two owners, which makes batches
less full and has no other effect.
"""

import hashlib
from collections.abc import Collection, Mapping
from typing import NamedTuple

from samphirevale import catalogue

# The number of endpoints above which a service has several owners. An owner
# makes some five calls a second to each endpoint.
ENDPOINTS_PER_OWNER = 16


class Member(NamedTuple):
    """An entry that is alive.

    Attributes:
        name: the instance of the entry.
        data_centre: the data centre in which the entry runs.
        processor: the processor time that it has, in cores.
    """

    name: str
    data_centre: str
    processor: float = 1.0


class _Group(NamedTuple):
    """Endpoints of one service that have the same owner.

    Attributes:
        key: distinguishes the group; the same at all entries.
        data_centres: the data centres of the endpoints.
        names: the names of the endpoints.
    """

    key: str
    data_centres: frozenset[str]
    names: list[str]


def assign_owners(
    endpoints: Collection[catalogue.Endpoint],
    members: Collection[Member],
    regions: Mapping[str, str],
) -> dict[str, str]:
    """Returns the owners' names by the endpoints' names.

    The endpoints are distributed over the entries by their processor time. The
    entries of the endpoints' data centres are preferred.

    Args:
        endpoints: the endpoints of all batched services.
        members: the entries that are alive.
        regions: the region of each data centre; one that is missing is a region
            of its own.
    """
    if not members:
        return {}
    owned = dict.fromkeys((member.name for member in members), 0)
    owners = {}
    for group in _group_endpoints(endpoints, regions):
        local_members = [
            member
            for member in members
            if member.data_centre in group.data_centres
        ]
        count = len(group.names)
        owner = min(
            local_members or members,
            key=lambda member: (
                (owned[member.name] + count) / member.processor,
                _compute_hash(group.key, member.name),
            ),
        )
        owned[owner.name] += count
        owners |= dict.fromkeys(group.names, owner.name)
    return owners


def _group_endpoints(
    endpoints: Collection[catalogue.Endpoint], regions: Mapping[str, str]
) -> list[_Group]:
    """Returns the groups of endpoints with one owner each, in a fixed order."""
    by_region: dict[tuple[str, str], dict[str, list[str]]] = {}
    for endpoint in endpoints:
        region = regions.get(endpoint.data_centre, endpoint.data_centre)
        found = by_region.setdefault((endpoint.service, region), {})
        found.setdefault(endpoint.data_centre, []).append(endpoint.name)
    groups = []
    for (service, _), by_data_centre in sorted(by_region.items()):
        for part in _divide_data_centres(by_data_centre):
            names = [name for place in part for name in by_data_centre[place]]
            groups.append(
                _Group(f"{service}/{part[0]}", frozenset(part), names)
            )
    return groups


def _divide_data_centres(
    by_data_centre: Mapping[str, list[str]],
) -> list[list[str]]:
    """Divides the data centres of a service among its owners."""
    places = sorted(by_data_centre)
    endpoints = sum(map(len, by_data_centre.values()))
    owners = min(-(-endpoints // ENDPOINTS_PER_OWNER), len(places))
    return [places[start::owners] for start in range(owners)]


def _compute_hash(group: str, member: str) -> bytes:
    text = f"{group}/{member}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
