"""Decodes what an answer says about further calls to its endpoint."""

import re
from collections.abc import Mapping

from samphirevale.platform import headers
from samphirevale.ports import proxies

# Status if the address belongs to another endpoint than the expected one.
MISDIRECTED = 421

# The status with which an endpoint may ask for a pause.
UNAVAILABLE = 503

# The statuses that promise a caller that its request has not run and will not.
# An endpoint's own answer promises it only if it says so in a header as well.
NOT_RUN = frozenset({408, MISDIRECTED, 429, UNAVAILABLE})

# The longest remaining cold time that is believed, in seconds.
COLD_SECONDS_LIMIT = 600.0

# The longest description of a malformed header, in characters.
DESCRIPTION_LIMIT = 80

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?")


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
    limit = answer_headers.get(headers.LIMIT, "").strip()
    cold_ms = answer_headers.get(headers.COLD_MS, "").strip()
    load = answer_headers.get(headers.LOAD, "").strip()
    if not (leaving or pause or limit or cold_ms or load):
        return proxies.NO_NOTICE
    malformed = []
    if leaving not in ("", "1"):
        malformed.append(_describe(headers.LEAVING, leaving))
    pause_seconds = _parse_decimal(headers.RETRY_AFTER, pause, malformed)
    calls = _parse_decimal(headers.LIMIT, limit, malformed)
    cold = _parse_decimal(headers.COLD_MS, cold_ms, malformed) or 0.0
    return proxies.EndpointNotice(
        leaving == "1",
        pause_seconds or 0.0,
        tuple(malformed),
        calls,
        limit_malformed=bool(limit) and calls is None,
        cold_seconds=min(cold / 1000, COLD_SECONDS_LIMIT),
        slowness=_parse_slowness(load),
    )


def _parse_slowness(text: str) -> float | None:
    """Returns the last of four figures, which not all endpoints state."""
    figures = [figure.strip() for figure in text.split(",")]
    if len(figures) < 4 or not _DECIMAL.fullmatch(figures[3]):
        return None
    return float(figures[3]) / 100 or None


def _parse_decimal(name: str, text: str, malformed: list[str]) -> float | None:
    """Returns the number in a header; None if it is absent or malformed.

    Args:
        name: the header's name.
        text: its text; empty if it is absent.
        malformed: gets a description of a malformed header.
    """
    if _DECIMAL.fullmatch(text):
        return float(text)
    if text:
        malformed.append(_describe(name, text))
    return None


def _describe(name: str, value: str) -> str:
    return f"{name}: {value}"[:DESCRIPTION_LIMIT]
