"""Runs a proxying entry on the users' platform.

`python -m samphirevale.platform` reads the settings file whose path is in the
environment. The exit codes are those of `samphirevaled`.
"""

import contextlib
import logging
import os
import signal
import sys
from typing import NoReturn

import curio

from samphirevale import errors, gateway, gateway_settings, journal, signals
from samphirevale.adapters import clock
from samphirevale.platform import (
    callers,
    cordon_objects,
    endpoint_objects,
    endpoints,
    manifest,
    node_file,
    store,
)
from samphirevale.ports import platforms

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


def main() -> int:
    """Runs the entry until it has stopped and returns the exit code."""
    try:
        settings = load_settings()
    except (OSError, KeyError, errors.InvalidInputError) as error:
        for finding in getattr(error, "findings", [error]):
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    machine_clock = clock.BootClock()
    os.set_blocking(sys.stdout.fileno(), False)
    log = journal.Journal(settings.gateway.instance, machine_clock.now)
    logging.getLogger().addHandler(journal.JournalHandler(log))
    log.record_event("started", settings=settings.gateway._asdict())
    proxy = gateway.Gateway(
        settings.gateway, build_platform_adapters(settings), machine_clock, log
    )
    try:
        curio.run(run_until_stopped, proxy, log)
    except Exception as error:
        log.record_failure("failed", error=f"{type(error).__name__}: {error}")
        return EXIT_FAILED
    return EXIT_STOPPED


def load_settings() -> node_file.NodeFile:
    """Returns the settings from the environment and the file named there."""
    with open(os.environ[node_file.PATH_VARIABLE], "rb") as file:
        settings = node_file.read_node_file(
            file.read().decode("utf-8", "replace")
        )
    return settings._replace(
        gateway=gateway_settings.read_environment(settings.gateway, os.environ)
    )


def build_platform_adapters(
    settings: node_file.NodeFile,
) -> platforms.PlatformAdapters:
    """Returns the adapters through which the entry uses the platform."""
    return platforms.PlatformAdapters(
        store=store.PlatformStore(
            settings.store_url, store.CALL_SECONDS, store.CALL_SECONDS
        ),
        routes_kind=manifest.KIND,
        routes_name=manifest.NAME,
        decode_routes=manifest.decode_manifest,
        endpoints_kind=endpoint_objects.KIND,
        decode_cold_seconds=endpoint_objects.decode_cold_seconds,
        cordons_kind=cordon_objects.KIND,
        decode_endpoint=endpoint_objects.decode_endpoint,
        build_endpoints=endpoints.PlatformEndpoints,
        build_handler=callers.CallerHandler,
    )


async def run_until_stopped(
    proxy: gateway.Gateway, log: journal.Journal
) -> None:
    """Runs the entry while handling the stop and reload signals."""
    numbers = STOP_SIGNALS | {signal.SIGHUP}
    async with signals.open_signals(numbers, proxy.clock.now) as stream:
        reader = await curio.spawn(
            process_signals, stream, proxy, log, daemon=True
        )
        try:
            await gateway.run(proxy)
        finally:
            await reader.cancel()


async def process_signals(
    stream: signals.SignalStream, proxy: gateway.Gateway, log: journal.Journal
) -> None:
    """Handles stop and reload signals until cancelled."""
    async for number in stream:
        if number in STOP_SIGNALS:
            await proxy.request_stop(stream.first_at[number])
        else:
            reload_settings(proxy, log)


def reload_settings(proxy: gateway.Gateway, log: journal.Journal) -> None:
    """Reloads the settings file; keeps the old settings if it is invalid."""
    try:
        proxy.adopt_settings(load_settings().gateway)
    except (OSError, KeyError, errors.InvalidInputError) as error:
        log.record_failure("reload_failed", error=str(error))
        return
    log.record_event("reloaded")


def end_process(code: int) -> NoReturn:
    """Ends the process at once.

    The shutdown of the interpreter would take a part of the grace period, and
    a signal during it would end the process with another exit code.
    """
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError):
            stream.flush()
    os._exit(code)


if __name__ == "__main__":
    end_process(main())
