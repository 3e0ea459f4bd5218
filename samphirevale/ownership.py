"""Which entry gathers the items of which batching endpoint.

One entry an endpoint makes full calls. All entries work the same owners out
from the same lists; where lists differ for a while, an endpoint has two
owners, which costs fuller calls and nothing else.
"""

import hashlib
from collections.abc import Collection
from typing import NamedTuple

from samphirevale import catalogue


class Member(NamedTuple):
    """An entry that is alive.

    Attributes:
        name: its instance.
        data_centre: where it runs.
    """

    name: str
    data_centre: str


def assign_owners(
    endpoints: Collection[catalogue.Endpoint], members: Collection[Member]
) -> dict[str, str]:
    """Returns the owner's name by the endpoint's.

    Endpoints go round the entries of their own data centre, evenly over all
    services; where it has none, round all.
    """
    if not members:
        return {}
    owned = dict.fromkeys((member.name for member in members), 0)
    owners = {}
    for endpoint in sorted(endpoints, key=_read_order):
        near = [
            member
            for member in members
            if member.data_centre == endpoint.data_centre
        ]
        owner = min(
            near or members,
            key=lambda member: (
                owned[member.name],
                _draw(endpoint.name, member.name),
            ),
        )
        owned[owner.name] += 1
        owners[endpoint.name] = owner.name
    return owners


def _read_order(endpoint: catalogue.Endpoint) -> tuple[str, str]:
    return endpoint.service, endpoint.name


def _draw(endpoint: str, member: str) -> bytes:
    text = f"{endpoint}/{member}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
