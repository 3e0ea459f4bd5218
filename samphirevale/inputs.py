"""Inputs that crash the endpoints that run them, known by fingerprints."""

import hashlib

from samphirevale import proxied, proxy_node

# Crashes after which an input is not run any more, and how long they count,
# in seconds.
CRASHES_LIMIT = 3
CRASHES_SECONDS = 60.0


def compute_fingerprint(account: str, request: proxied.ProxiedRequest) -> str:
    """Returns the digest of what a caller sends again, whole."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (account, request.host, request.target, repr(request.prompt)):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def count_crashes(node: proxy_node.ProxyNode, fingerprint: str) -> int:
    """Returns how many attempts of an input have crashed endpoints."""
    return len(node.quarantine.list_crashes(fingerprint, node.clock.now()))
