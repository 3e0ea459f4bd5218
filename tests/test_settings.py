"""Tests of the settings: loading, findings and redaction of secrets."""

import inspect
import json
import os
import tempfile

from hypothesis import given, settings, strategies

from samphirevale import errors, settings_rules
from samphirevale import settings as subject
from tests import base

SECRET = "a-peer-secret-for-tests"
TOKEN = "an-operator-token-for-tests"

FLAGS = {
    "instance": "entry-1",
    "data_centre": "dc-a",
    "host": "127.0.0.1",
    "admin_port": "7001",
    "caller_port": "7002",
    "store_url": "http://127.0.0.1:7000",
}
SECRETS = {
    "SAMPHIREVALE_PEER_SECRET": SECRET,
    "SAMPHIREVALE_OPERATOR_TOKEN": TOKEN,
}
SIDECAR_FLAGS = {
    "instance": "sidecar-1",
    "data_centre": "dc-a",
    "host": "127.0.0.1",
    "admin_port": "7001",
    "peer_port": "7003",
    "store_url": "http://127.0.0.1:7000",
    "endpoint": "engine-1",
    "endpoint_url": "http://127.0.0.1:7004",
    "endpoint_kind": "engine",
    "pool": "generation",
}


class SettingsTest(base.TestCase):
    """Loading of valid settings and findings for invalid ones."""

    def list_places(self, flags: dict, environment: dict) -> list[str]:
        with self.assertRaises(errors.InvalidInputError) as caught:
            subject.load_entry_settings(flags, environment)
        return [finding.place for finding in caught.exception.findings]

    def test_flag_takes_precedence_over_environment(self):
        environment = SECRETS | {
            "SAMPHIREVALE_INSTANCE": "other",
            "SAMPHIREVALE_LIST_SECONDS": "2.5",
            "SAMPHIREVALE_PEERS": "127.0.0.1:1, [::1]:2",
        }
        loaded = subject.load_entry_settings(FLAGS, environment)
        self.assertEqual("entry-1", loaded.common.instance)
        self.assertEqual(2.5, loaded.list_seconds)
        self.assertEqual(("127.0.0.1:1", "[::1]:2"), loaded.peers)
        self.assertEqual(7002, loaded.caller_port)
        self.assertEqual(1.5, loaded.common.suspect_seconds)

    def test_sidecar(self):
        flags = SIDECAR_FLAGS | {"checks_fencing": "false"}
        loaded = subject.load_sidecar_settings(flags, SECRETS)
        self.assertFalse(loaded.checks_fencing)
        self.assertEqual("generation", loaded.pool)

    def test_every_finding_at_once(self):
        flags = {
            "instance": "-x",
            "host": "localhost",
            "admin_port": "70000",
            "caller_port": "x",
            "store_url": "http://127.0.0.1:80/path",
            "heartbeat_seconds": "nan",
            "log_level": "loud",
            "fatal_invariants": "maybe",
            "peers": "127.0.0.1:1,nowhere",
            "routing_policy": "Best!",
        }
        environment = {
            "SAMPHIREVALE_PEER_SECRET": "short",
            "SAMPHIREVALE_BODY_BYTES_LIMIT": "10",
        }
        self.assertEqual(
            [
                "--instance",
                "--data-centre or SAMPHIREVALE_DATA_CENTRE",
                "--host",
                "--admin-port",
                "--store-url",
                "SAMPHIREVALE_PEER_SECRET",
                "--heartbeat-seconds",
                "--fatal-invariants",
                "--log-level",
                "--caller-port",
                "SAMPHIREVALE_OPERATOR_TOKEN or "
                "SAMPHIREVALE_OPERATOR_TOKEN_FILE",
                "--peers",
                "SAMPHIREVALE_BODY_BYTES_LIMIT",
                "--routing-policy",
            ],
            self.list_places(flags, environment),
        )

    def test_relations(self):
        flags = FLAGS | {
            "admin_port": "7002",
            "heartbeat_seconds": "2",
            "suspect_seconds": "2",
        }
        environment = SECRETS | {"SAMPHIREVALE_OPERATOR_TOKEN": SECRET}
        self.assertEqual(
            ["caller_port", "heartbeat_seconds", "operator_token"],
            self.list_places(flags, environment),
        )

    def test_finding_shows_no_secret(self):
        environment = {
            "SAMPHIREVALE_PEER_SECRET": "short secret",
            "SAMPHIREVALE_OPERATOR_TOKEN": "short token",
        }
        with self.assertRaises(errors.InvalidInputError) as caught:
            subject.load_entry_settings(FLAGS, environment)
        self.assertNotIn("short", str(caught.exception))

    def test_secret_from_file(self):
        with tempfile.TemporaryDirectory() as directory:
            path = os.path.join(directory, "secret")
            with open(path, "w", encoding="utf-8") as file:
                file.write(SECRET + "\n")
            environment = {
                "SAMPHIREVALE_PEER_SECRET_FILE": path,
                "SAMPHIREVALE_OPERATOR_TOKEN": TOKEN,
            }
            loaded = subject.load_entry_settings(FLAGS, environment)
            both = environment | SECRETS
            places = self.list_places(FLAGS, both)
        self.assertEqual(SECRET, loaded.common.peer_secret)
        self.assertEqual(["SAMPHIREVALE_PEER_SECRET_FILE"], places)
        self.assertEqual(
            ["SAMPHIREVALE_PEER_SECRET_FILE"],
            self.list_places(FLAGS, environment),
        )

    def test_secret_has_no_flag(self):
        flags = FLAGS | {"peer_secret": SECRET}
        environment = {"SAMPHIREVALE_OPERATOR_TOKEN": TOKEN}
        self.assertEqual(
            ["SAMPHIREVALE_PEER_SECRET or SAMPHIREVALE_PEER_SECRET_FILE"],
            self.list_places(flags, environment),
        )

    def test_redact(self):
        loaded = subject.load_entry_settings(FLAGS, SECRETS)
        text = json.dumps(subject.redact(loaded))
        self.assertNotIn(SECRET, text)
        self.assertNotIn(TOKEN, text)
        self.assertIn("entry-1", text)

    def test_every_field_has_rule_and_doc(self):
        for settings_type in (subject.EntrySettings, subject.SidecarSettings):
            for field in subject.list_fields(settings_type):
                with self.subTest(field.name):
                    self.assertIn(field.name, settings_rules.VALUE_RULES)
                    self.assertTrue(field.doc.endswith("."))

    def test_defaults_follow_rules(self):
        for settings_type in (subject.EntrySettings, subject.SidecarSettings):
            for field in subject.list_fields(settings_type):
                if field.default is inspect.Parameter.empty:
                    continue
                with self.subTest(field.name):
                    rule = settings_rules.VALUE_RULES[field.name]
                    self.assertTrue(rule.accepts(field.default))

    @settings(derandomize=True, deadline=None)
    @given(
        strategies.dictionaries(
            strategies.sampled_from(sorted(settings_rules.VALUE_RULES)),
            strategies.text(),
        )
    )
    def test_any_text_loads_or_is_found_wrong(self, flags):
        try:
            subject.load_sidecar_settings(SIDECAR_FLAGS | flags, SECRETS)
        except errors.InvalidInputError as error:
            self.assertTrue(error.findings)
