"""Assigns batching endpoints to the entries that run their queues.

With a single owner per endpoint, items of all entries share full batches. All
entries compute the same owners from the same lists. While lists differ, an
endpoint may have two owners, which makes batches less full and has no other
effect.
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

    Endpoints are distributed evenly over the entries of their own data centre,
    across all services. If the data centre has no entry, they are distributed
    over all entries.
    """
    if not members:
        return {}
    owned = dict.fromkeys((member.name for member in members), 0)
    owners = {}
    for endpoint in sorted(endpoints, key=_build_sort_key):
        local_members = [
            member
            for member in members
            if member.data_centre == endpoint.data_centre
        ]
        owner = min(
            local_members or members,
            key=lambda member: (
                owned[member.name],
                _compute_hash(endpoint.name, member.name),
            ),
        )
        owned[owner.name] += 1
        owners[endpoint.name] = owner.name
    return owners


def _build_sort_key(endpoint: catalogue.Endpoint) -> tuple[str, str]:
    return endpoint.service, endpoint.name


def _compute_hash(endpoint: str, member: str) -> bytes:
    text = f"{endpoint}/{member}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
