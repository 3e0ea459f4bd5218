"""Tests that the deployment's files agree with the package."""

import pathlib
import re
import tomllib

from samphirevale.platform import node_file
from tests import base

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "samphirevale"

# Names of the platform that nothing but the adapter may know.
PLATFORM_NAMES = re.compile(
    # Headers; `samphirevale-entries` is a kind of our own.
    r"samphirevale-(?!entries\b)[a-z]+-[a-z]+|samphirevale-key"
    r"|kv-(?:from|fetch)"
    # Of the operator's routes, services and accounts.
    r"|tenant|api_key|weighted_split|ttft|max_attempts"
    r'|"segments?"'
    r"|max_(?:connections|header|body)|(?:header|idle)_timeout"
    r"|headroom|(?:item|call)_ms|handle_ttl|\bhandles\b|kv_capacity|config/main"
    # Of the settings file and of the servers' entries.
    r"|node_name|port_range|revoke_ms|grace_s\b|retry_(?:ratio|allowance)"
    r"|\bzone|\bborn\b|\bmanifest"
    # Paths of calls.
    r"|stage-(?:run|free)|kv-events|/report\b",
    re.IGNORECASE,
)


def count_lines(paths):
    return sum(len(path.read_text().splitlines()) for path in paths)


class DeployTest(base.TestCase):
    """deploy/, requirements.txt and samphirevale/platform/."""

    def test_requirements_are_those_of_the_package(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())
        pinned = set(project["project"]["dependencies"])
        required = (ROOT / "requirements.txt").read_text().splitlines()
        self.assertEqual([], [line for line in required if line not in pinned])

    def test_adapter_stays_small(self):
        adapter = list((PACKAGE / "platform").glob("*.py"))
        whole = list(PACKAGE.rglob("*.py"))
        self.assertLess(count_lines(adapter), 0.1 * count_lines(whole))

    def test_only_the_adapter_knows_the_names_of_the_platform(self):
        found = []
        for path in PACKAGE.rglob("*.py"):
            if path.parent.name == "platform":
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if PLATFORM_NAMES.search(line):
                    found.append(f"{path.name}:{number}: {line.strip()}")
        self.assertEqual([], found)

    def test_metrics_port_is_the_one_that_is_served(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.assertEqual(
            f"{node_file.METRICS_PORT}/metrics",
            deploy["roles"]["entry"]["metrics"],
        )
