"""Logs and counts endpoints that turn cold."""

from samphirevale import catalogue, journal, metrics


def record_cold(
    log: journal.Journal,
    endpoint: catalogue.Endpoint,
    rest_seconds: float,
    source: str,
) -> None:
    """Logs and counts that an endpoint turns cold.

    Args:
        log: the log.
        endpoint: the endpoint.
        rest_seconds: how long it stays cold.
        source: from what this is known.
    """
    metrics.ENDPOINTS_COLD.labels(service=endpoint.service).inc()
    log.record_event(
        "endpoint_cold",
        endpoint=endpoint.name,
        service=endpoint.service,
        seconds=round(rest_seconds, 3),
        source=source,
    )
