"""Logging through absl.logging, as lines of `key=value` pairs.

Only changes of state are logged, such as `ready`, `peer_suspected` or
`lease_taken`. Frequent events are counted in metrics.py instead.
"""

import datetime
import json
import logging
import re
from typing import Any

from absl import logging as absl_logging

# Values that are written without quotes; others are written as JSON strings.
_PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.:/@+-]+")


class LineFormatter(logging.Formatter):
    """Formats a record as `time=... level=... instance=... event=...`."""

    def __init__(self, instance: str):
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record's line.

        A message that does not consist of pairs becomes the value of `text`.
        """
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        head = format_pairs(
            time=moment.isoformat(timespec="milliseconds"),
            level=record.levelname.lower(),
            instance=self._instance,
        )
        message = record.getMessage()
        if not getattr(record, "has_pairs", False):
            message = format_pairs(event="message", text=message)
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            message = f"{message} {format_pairs(trace=trace)}"
        return f"{head} {message}"


def configure_logging(instance: str, level: str) -> None:
    """Configures logging to stderr.

    Args:
        instance: the instance name written in every line.
        level: one of settings_rules.LOG_LEVELS.
    """
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(LineFormatter(instance))
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)
    # curio warns about late timers under load, which are not changes of
    # state. It logs failed tasks as errors.
    logging.getLogger("curio").setLevel(logging.ERROR)


def log_event(event: str, **fields: Any) -> None:
    """Logs a change of state.

    Args:
        event: the event's name, in words joined by `_`.
        **fields: details of the event, without secrets.
    """
    absl_logging.get_absl_logger().info(
        "%s", format_pairs(event=event, **fields), extra={"has_pairs": True}
    )


def format_pairs(**fields: Any) -> str:
    """Returns the fields as `key=value` pairs separated by spaces."""
    return " ".join(f"{key}={_format(item)}" for key, item in fields.items())


def _format(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    return text if _PLAIN_VALUE.fullmatch(text) else json.dumps(text)


def log_failure(event: str, **fields: Any) -> None:
    """Logs the exception that is currently being handled."""
    absl_logging.get_absl_logger().error(
        "%s",
        format_pairs(event=event, **fields),
        exc_info=True,
        extra={"has_pairs": True},
    )
