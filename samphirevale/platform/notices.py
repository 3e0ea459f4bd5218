"""Decodes what an answer says about further calls to its endpoint."""

import re
from collections.abc import Mapping

from samphirevale.platform import headers
from samphirevale.ports import proxies

# Status if the address belongs to another endpoint than the expected one.
MISDIRECTED = 421

# The status with which an endpoint may ask for a pause.
UNAVAILABLE = 503

# The longest description of a malformed header, in characters.
DESCRIPTION_LIMIT = 80

_SECONDS = re.compile(r"[0-9]+(\.[0-9]*)?")


def decode_notice(
    status: int, answer_headers: Mapping[str, str]
) -> proxies.EndpointNotice:
    """Returns the notice in an answer's status and lower-case headers."""
    if status == MISDIRECTED:
        return proxies.NO_NOTICE
    leaving = answer_headers.get(headers.LEAVING, "").strip()
    pause = ""
    if status == UNAVAILABLE:
        pause = answer_headers.get(headers.RETRY_AFTER, "").strip()
    if not leaving and not pause:
        return proxies.NO_NOTICE
    malformed = []
    if leaving not in ("", "1"):
        malformed.append(_describe(headers.LEAVING, leaving))
    pause_seconds = 0.0
    if _SECONDS.fullmatch(pause):
        pause_seconds = float(pause)
    elif pause:
        malformed.append(_describe(headers.RETRY_AFTER, pause))
    return proxies.EndpointNotice(
        leaving == "1", pause_seconds, tuple(malformed)
    )


def _describe(name: str, value: str) -> str:
    return f"{name}: {value}"[:DESCRIPTION_LIMIT]
