"""Tests that the deployment files and the package are consistent."""

import pathlib
import re
import tomllib

from samphirevale.platform import node_file
from tests import base

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "samphirevale"

# Names of the platform's interfaces, which only the adapter may contain.
PLATFORM_NAMES = re.compile(
    # Headers. `samphirevale-entries` is this project's own object kind.
    r"samphirevale-(?!entries\b)[a-z]+-[a-z]+|samphirevale-key"
    r"|kv-(?:from|fetch)|server-leaving"
    # Fields of the operator's routes, services and accounts.
    r"|tenant|api_key|weighted_split|ttft|max_attempts"
    r'|"segments?"'
    r"|max_(?:connections|header|body)|(?:header|idle)_timeout"
    r"|headroom|(?:item|call)_ms|handle_ttl|\bhandles\b|kv_capacity|config/main"
    # Fields of the settings file and of the servers' entries.
    r"|node_name|port_range|revoke_ms|grace_s\b|retry_(?:ratio|allowance)"
    r"|\bzone|\bborn\b|\bmanifest"
    # Paths of HTTP calls.
    r"|stage-(?:run|free)|kv-events|/report\b",
    re.IGNORECASE,
)


def count_lines(paths):
    return sum(len(path.read_text().splitlines()) for path in paths)


class DeployTest(base.TestCase):
    """deploy/, requirements.txt and samphirevale/platform/."""

    def test_requirements_match_package_dependencies(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())
        pinned = set(project["project"]["dependencies"])
        required = (ROOT / "requirements.txt").read_text().splitlines()
        self.assertEqual([], [line for line in required if line not in pinned])

    def test_adapter_is_small(self):
        adapter = list((PACKAGE / "platform").glob("*.py"))
        package = list(PACKAGE.rglob("*.py"))
        self.assertLess(count_lines(adapter), 0.1 * count_lines(package))

    def test_only_adapter_contains_platform_names(self):
        matches = []
        for path in PACKAGE.rglob("*.py"):
            if path.parent.name == "platform":
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if PLATFORM_NAMES.search(line):
                    matches.append(f"{path.name}:{number}: {line.strip()}")
        self.assertEqual([], matches)

    def test_metrics_port_matches_deployment(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.assertEqual(
            f"{node_file.METRICS_PORT}/metrics",
            deploy["roles"]["entry"]["metrics"],
        )
