"""Orders names by their hash with a key (rendezvous hashing).

All processes get the same order from the same names, and a name that comes or
goes moves no other one.
"""

import hashlib
from collections.abc import Collection


def order_by_hash(key: str, names: Collection[str]) -> list[str]:
    """Returns the names in the order of their hash with a key."""

    def compute_hash(name: str) -> bytes:
        text = f"{key}/{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(names, key=compute_hash)
