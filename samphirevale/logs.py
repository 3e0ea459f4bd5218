"""Logs by absl.logging: one line of `key=value` pairs a change of state.

What happens often is counted in metrics.py; a line says only that some
state is now another, such as `ready`, `peer_suspected`, `lease_taken`.
"""

import datetime
import json
import logging
import re
from typing import Any

from absl import logging as absl_logging

# Values that stand in a line as they are; others are quoted as JSON texts.
_PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.:/@+-]+")


class LineFormatter(logging.Formatter):
    """Formats a record as `time=... level=... instance=... event=...`."""

    def __init__(self, instance: str):
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record's line; a message without pairs is quoted."""
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


def set_up_logs(instance: str, level: str) -> None:
    """Sends the process's log lines to stderr.

    Args:
        instance: named in every line.
        level: one of rules.LOG_LEVELS.
    """
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(LineFormatter(instance))
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)
    # Its warnings tell of late timers under load, which is no change of
    # state; a failed task is logged as an error.
    logging.getLogger("curio").setLevel(logging.ERROR)


def log_change(event: str, **fields: Any) -> None:
    """Writes one line: some state has changed.

    Args:
        event: what has changed, in words joined by `_`.
        **fields: what the reader needs to know; never a secret.
    """
    absl_logging.get_absl_logger().info(
        "%s", format_pairs(event=event, **fields), extra={"has_pairs": True}
    )


def format_pairs(**fields: Any) -> str:
    """Returns the fields as `key=value` pairs."""
    return " ".join(f"{key}={_format(item)}" for key, item in fields.items())


def _format(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    return text if _PLAIN_VALUE.fullmatch(text) else json.dumps(text)


def log_failure(event: str, **fields: Any) -> None:
    """Writes one line about the exception that is being handled."""
    absl_logging.get_absl_logger().error(
        "%s",
        format_pairs(event=event, **fields),
        exc_info=True,
        extra={"has_pairs": True},
    )
