"""Fingerprints of proxied inputs, used to find inputs that crash endpoints."""

import hashlib

from samphirevale import proxy_context, proxy_requests

# An input is refused after CRASHES_LIMIT crashes. A crash counts for
# CRASHES_SECONDS.
CRASHES_LIMIT = 3
CRASHES_SECONDS = 60.0


def compute_fingerprint(
    account: str, request: proxy_requests.ProxiedRequest
) -> str:
    """Returns the digest of a request; a caller's retries have the same one."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (account, request.host, request.target, repr(request.prompt)):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def count_input_crashes(
    context: proxy_context.ProxyContext, fingerprint: str
) -> int:
    """Returns the number of attempts with an input that crashed endpoints."""
    return len(
        context.quarantine.list_crashes(fingerprint, context.clock.now())
    )
