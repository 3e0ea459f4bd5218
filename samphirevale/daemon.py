"""The daemon `samphirevaled`, which runs one role until it is stopped.

Exit codes: 0 after a graceful stop, 1 if the role failed, 2 for invalid
settings or flags.
"""

import importlib
import inspect
import json
import os
import signal
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

import curio
import defopt

from samphirevale import (
    dump,
    errors,
    invariants,
    lifecycle,
    logs,
    settings,
    signals,
)

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
DUMP_SIGNAL = signal.SIGUSR1


class Role(NamedTuple):
    """A role of the daemon.

    Attributes:
        name: the name of the subcommand and of the module whose
            `run(settings, life)` runs the role.
        doc: one-line description for the command's help.
        settings_type: the NamedTuple of the role's settings.
        load: loads the settings from flags and environment.
    """

    name: str
    doc: str
    settings_type: type
    load: Callable[..., settings.Settings]


ROLES = (
    Role(
        "entry",
        "Serve callers and operators.",
        settings.EntrySettings,
        settings.load_entry_settings,
    ),
    Role(
        "sidecar",
        "Serve the endpoint beside this process.",
        settings.SidecarSettings,
        settings.load_sidecar_settings,
    ),
)


def main() -> None:
    """Runs `samphirevaled`."""
    commands = {role.name: build_command(role, run_role) for role in ROLES}
    sys.exit(
        defopt.run(commands, short={}, cli_options="all", show_defaults=False)
    )


def build_command(role: Role, action: Callable) -> Callable[..., Any]:
    """Returns a function whose keyword arguments are the role's flags.

    The flags are passed on as unparsed text, so that all invalid settings are
    reported together rather than only the first one.

    Args:
        role: the role.
        action: called with the role and the flags' text by field name.
    """
    fields = [
        field
        for field in settings.list_fields(role.settings_type)
        if not field.is_secret
    ]

    def command(**flags: str | None) -> Any:
        return action(role, flags)

    parameters = [
        inspect.Parameter(
            field.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=None,
            annotation=str | None,
        )
        for field in fields
    ]
    command.__signature__ = inspect.Signature(parameters)
    command.__annotations__ = {field.name: str | None for field in fields}
    command.__name__ = role.name
    command.__doc__ = _build_doc(role, fields)
    return command


def _build_doc(role: Role, fields: list[settings.Field]) -> str:
    lines = [role.doc, "", "Args:"]
    for field in fields:
        if field.default is inspect.Parameter.empty:
            tail = "Must be given."
        else:
            tail = f"Default: {format_default(field.default)}."
        lines.append(f"    {field.name}: {field.doc} {tail}")
    return "\n".join(lines)


def format_default(value: Any) -> str:
    """Returns a default value in the form that a flag accepts."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, tuple):
        return ",".join(value) or "none"
    return str(value)


def run_role(role: Role, flags: dict[str, str | None]) -> int:
    """Runs a role until it has stopped and returns the exit code."""
    try:
        loaded = role.load(flags, os.environ)
    except errors.InvalidInputError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    logs.configure_logging(loaded.common.instance, loaded.common.log_level)
    invariants.set_fatal(loaded.common.fatal_invariants)
    run = importlib.import_module(f"samphirevale.{role.name}").run
    try:
        curio.run(run_until_stopped, run, loaded)
    except Exception:
        logs.log_failure("role_failed", role=role.name)
        return EXIT_FAILED
    logs.log_event("stopped", role=role.name)
    return EXIT_STOPPED


async def run_until_stopped(run: Callable, loaded: settings.Settings) -> None:
    """Runs a role until it returns, handling the stop and dump signals."""
    life = lifecycle.Lifecycle()
    async with signals.open_signals(STOP_SIGNALS | {DUMP_SIGNAL}) as stream:
        reader = await curio.spawn(_process_signals, stream, life, loaded)
        try:
            await run(loaded, life)
        finally:
            await reader.cancel()


async def _process_signals(
    stream: Any, life: lifecycle.Lifecycle, loaded: settings.Settings
) -> None:
    async for number in stream:
        if number in STOP_SIGNALS:
            await life.request_stop(number.name)
        else:
            write_dump(life, loaded)


def write_dump(life: lifecycle.Lifecycle, loaded: settings.Settings) -> None:
    """Writes the state dump to stderr as one line of JSON."""
    state = dump.build_dump(life.sections, loaded)
    print(json.dumps(state), file=sys.stderr, flush=True)


if __name__ == "__main__":
    main()
