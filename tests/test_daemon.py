"""Tests of the daemon in a separate process with a fake role."""

import contextlib
import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator

from tests import base, test_settings

# Runs `samphirevaled` with a fake role. The first argument selects whether the
# role fails at once or serves until it is stopped.
PROGRAM = """
import sys, types
import curio
from samphirevale import daemon

async def run(settings, life):
    @life.sections.register("fake")
    def build():
        return {"token": settings.operator_token}
    if settings.pool_of_test == "fails":
        raise RuntimeError("broken")
    life.report_ready()
    await life.stop.wait()
    assert not life.is_ready()
    print("drained", flush=True)

class Wrapped:
    pool_of_test = sys.argv.pop(1)
    def __init__(self, settings):
        self.operator_token = settings.operator_token

role = types.ModuleType("samphirevale.entry")
role.run = lambda settings, life: run(Wrapped(settings), life)
sys.modules["samphirevale.entry"] = role
daemon.main()
"""


@contextlib.contextmanager
def start_daemon(kind: str, **changes: str) -> Iterator[subprocess.Popen]:
    """Starts the program and kills it after the block if it still runs."""
    flags = []
    for name, text in (test_settings.FLAGS | changes).items():
        flags += ["--" + name.replace("_", "-"), text]
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, kind, "entry", *flags],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | test_settings.SECRETS,
    )
    with process:
        try:
            yield process
        finally:
            process.kill()


class DaemonTest(base.TestCase):
    """Exit codes, signals, and the output on stdout and stderr."""

    def test_graceful_stop(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number), start_daemon("serves") as process:
                self.assertEqual("ready\n", process.stdout.readline())
                process.send_signal(number)
                out, log = process.communicate(timeout=20)
                self.assertEqual("drained\n", out)
                self.assertEqual(0, process.returncode)
                self.assertIn(f"event=stopping reason={number.name}", log)

    def test_dump_signal(self):
        with start_daemon("serves") as process:
            process.stdout.readline()
            process.send_signal(signal.SIGUSR1)
            lines = iter(process.stderr.readline, "")
            text = next(line for line in lines if line.startswith("{"))
            built = json.loads(text)
            self.assertEqual({"token": "[redacted]"}, built["fake"])
            self.assertNotIn(test_settings.SECRET, text)
            self.assertIsNone(process.poll())

    def test_failure(self):
        with start_daemon("fails") as process:
            out, log = process.communicate(timeout=20)
            self.assertEqual("", out)
            self.assertEqual(1, process.returncode)
            self.assertIn("event=role_failed role=entry", log)
            self.assertIn("RuntimeError: broken", log)

    def test_wrong_settings(self):
        changes = {"admin_port": "0", "host": "nowhere"}
        with start_daemon("serves", **changes) as process:
            out, log = process.communicate(timeout=20)
            self.assertEqual("", out)
            self.assertEqual(2, process.returncode)
            places = [line.partition(":")[0] for line in log.splitlines()]
            self.assertEqual(["--host", "--admin-port"], places)
