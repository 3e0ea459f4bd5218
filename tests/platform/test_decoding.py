"""Tests of decoding the platform's data formats."""

import socket
import struct

import hypothesis
from hypothesis import strategies

from samphirevale import errors, proxy_requests, routes
from samphirevale.adapters import web
from samphirevale.platform import (
    callers,
    endpoint_objects,
    manifest,
    node_file,
    notices,
)
from samphirevale.ports import objects
from tests import base, odd_values
from tests.platform import sessions

# The field of an endpoint's cold time.
COLD = "cold_remaining_ms"

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "version": "v1.2",
    "born": 7,
}

SETTINGS = """
node_name = "n"
ip = "10.0.0.1"
zone = "a"
port_range = [7000, 7015]
[limits]
file_descriptors = 4100
memory_mb = 300
[listen]
frontend = "10.0.0.1:80"
readiness = "10.0.0.1:81"
[bounds]
revoke_ms = 5000
contact_ms = 3000
drain_ms = 2000
grace_s = 8
retry_ratio = 0.2
retry_allowance = 56
retry_window_s = 10
[platform]
address = "10.0.0.2:90"
"""


class EndpointObjectTest(base.TestCase):
    """The objects of registered servers."""

    def decode(self, value):
        return endpoint_objects.decode_endpoint(
            objects.StoredObject("servers", "i-1", 3, value)
        )

    def test_valid_objects(self):
        endpoint = self.decode(ENTRY)
        self.assertEqual(
            ("i-1", "10.0.0.1", 80, 7),
            (endpoint.name, endpoint.host, endpoint.port, endpoint.started),
        )
        self.assertTrue(endpoint.accepting)
        self.assertEqual("v1.2", endpoint.version)
        self.assertFalse(self.decode(ENTRY | {"state": "draining"}).accepting)

    def test_invalid_objects_are_ignored(self):
        for change in (
            {"state": "odd"},
            {"state": ["ready"]},
            {"service": 7},
            {"address": "nowhere"},
            {"address": None},
            {"zone": 1},
            {"slots": True},
            {"born": "x"},
            {"version": None},
            {"address": "10.0.0.1:8\u00b2"},
            {"address": "10.0.0.1:" + "9" * 5000},
            {"address": "10.0.0.1:65536"},
            {"address": "10.0.0.1:0"},
            {"address": "a b:80"},
            {"zone": "\ud800"},
            {"version": "v" * 1000},
            {"slots": 10**400},
            {"born": -1},
        ):
            self.assertIsNone(self.decode(ENTRY | change), change)
        self.assertIsNone(self.decode("text"))
        odd = objects.StoredObject("servers", "i\r\n1", 3, ENTRY)
        self.assertIsNone(endpoint_objects.decode_endpoint(odd))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    @hypothesis.given(
        strategies.fixed_dictionaries(
            {}, optional=dict.fromkeys([*ENTRY, COLD], odd_values.VALUES)
        ),
        odd_values.TEXTS,
    )
    def test_what_is_decoded_can_be_used_by_all_readers(self, change, name):
        stored = objects.StoredObject("servers", name, 3, ENTRY | change)
        seconds = endpoint_objects.decode_cold_seconds(stored)
        self.assertLessEqual(0.0, seconds)
        self.assertLessEqual(seconds, notices.COLD_SECONDS_LIMIT)
        endpoint = endpoint_objects.decode_endpoint(stored)
        if endpoint is None:
            return
        socket.inet_pton(socket.AF_INET, endpoint.host)
        struct.pack("!H", endpoint.port)
        struct.pack("!qq", endpoint.slots, endpoint.started)
        endpoint.name.encode("ascii")
        for text in (endpoint.service, endpoint.data_centre, endpoint.version):
            text.encode()


class ColdSecondsTest(base.TestCase):
    """What the objects of registered servers tell of their cold time."""

    def decode(self, value):
        stored = objects.StoredObject("servers", "i-1", 3, value)
        return endpoint_objects.decode_cold_seconds(stored)

    def test_rest_of_the_cold_time(self):
        self.assertEqual(1.5, self.decode({"cold_remaining_ms": 1500}))
        self.assertEqual(0.0, self.decode(ENTRY))

    def test_absurd_values_are_ignored_or_capped(self):
        for value in (-5, "9", True, None, [], float("nan")):
            self.assertEqual(0.0, self.decode({"cold_remaining_ms": value}))
        self.assertEqual(0.0, self.decode(None))
        self.assertEqual(
            notices.COLD_SECONDS_LIMIT,
            self.decode({"cold_remaining_ms": 1e300}),
        )
        for value in (10**400, float("inf")):
            self.assertEqual(
                notices.COLD_SECONDS_LIMIT,
                self.decode({"cold_remaining_ms": value}),
            )


class NodeFileTest(base.TestCase):
    """The platform's settings file."""

    def test_a_valid_file(self):
        found = node_file.read_node_file(SETTINGS)
        self.assertEqual(("10.0.0.1", 80), found.gateway[2:4])
        self.assertEqual(7000, found.gateway.peer_port)
        self.assertEqual("http://10.0.0.2:90", found.store_url)

    def test_all_findings_at_once(self):
        text = SETTINGS.replace("grace_s = 8", "grace_s = true")
        text = text.replace('zone = "a"', "").replace(":81", "")
        with self.assertRaises(errors.InvalidInputError) as caught:
            node_file.read_node_file(text)
        self.assertEqual(
            ["listen.readiness", "zone", "bounds.grace_s"],
            [finding.place for finding in caught.exception.findings],
        )

    def test_bounds_that_not_all_deployments_have(self):
        gateway = node_file.read_node_file(SETTINGS).gateway
        self.assertEqual(0.0, gateway.cordon_seconds)
        self.assertIsNone(gateway.cold_bound)
        self.assertEqual({}, gateway.regions)
        bounds = "[bounds]\nevacuation_ms = 5000\ncold_overshoot = 1.5"
        limits = '[zones]\na = "north"\n[limits]\ncpu_share = 0.5\ncores = 3'
        text = SETTINGS.replace("[bounds]", bounds + "\ncold_allowance = 5")
        text = text.replace("[limits]", limits)
        gateway = node_file.read_node_file(text).gateway
        self.assertEqual(5.0, gateway.cordon_seconds)
        self.assertEqual((1.5, 5.0), gateway.cold_bound)
        self.assertEqual({"a": "north"}, gateway.regions)
        self.assertEqual(1.5, gateway.processor)

    def test_values_that_nothing_can_use_are_findings(self):
        """A process that reads the file again while it runs must go on."""
        for name, value in (
            ("frontend", '"10.0.0.1:8\u00b2"'),
            ("frontend", '"10.0.0.1:65536"'),
            ("file_descriptors", "inf"),
            ("memory_mb", "nan"),
            ("grace_s", "-1"),
            ("port_range", "[]"),
            ("port_range", '["x"]'),
            ("address", '"10.0.0.2"'),
            ("grace_s", "9" * 5000),
            ("zone", "[" * 3000 + "]" * 3000),
        ):
            lines = [
                f"{name} = {value}" if line.startswith(f"{name} = ") else line
                for line in SETTINGS.splitlines()
            ]
            with self.subTest(f"{name} = {value[:20]}"):
                with self.assertRaises(errors.InvalidInputError) as caught:
                    node_file.read_node_file("\n".join(lines))
                self.assertEqual(1, len(caught.exception.findings))
        with self.assertRaises(errors.InvalidInputError):
            node_file.read_node_file("bounds = true")

    def test_a_file_that_is_not_toml(self):
        with self.assertRaises(errors.InvalidInputError):
            node_file.read_node_file("=")


class CallersTest(base.TestCase):
    """The headers of callers' requests."""

    def decode(self, **headers):
        request_headers = {
            name.replace("_", "-"): v for name, v in headers.items()
        }
        request = web.Request(
            "POST", "/", {}, request_headers, b"", "/p/a%20b?q=1"
        )
        return callers.decode_request(request, 100.0)

    def test_header_values(self):
        found = self.decode(
            samphirevale_attempt_id="a",
            samphirevale_deadline_ms="2500",
            samphirevale_prefix_hash="aa:10, bb:5,odd,cc:x",
            samphirevale_chunk_count="3,0,1",
            last_event_id="12",
        )
        self.assertEqual(2.5, found.wait_seconds)
        self.assertEqual(
            (
                proxy_requests.PromptPart("aa", 10),
                proxy_requests.PromptPart("bb", 5),
            ),
            found.prompt,
        )
        self.assertEqual((3, 0, 1), found.item_counts)
        self.assertEqual(12, found.last_event)
        self.assertEqual("/p/a%20b", found.path)

    def test_a_request_without_an_attempt_id_is_rejected(self):
        self.assertIsNone(self.decode())


class RefusalTest(base.TestCase):
    """The answer to a refused caller."""

    def test_callers_are_not_told_to_return_too_early(self):
        for seconds, text in ((2.0, "2.00"), (1.5001, "1.51"), (0.5, "0.50")):
            refusal = proxy_requests.Refusal(503, "endpoints_paused", seconds)
            response = callers.build_refusal(refusal, ("Attempt", "a1"))
            self.assertIn(("Retry-After", text), response.headers)


class ManifestTest(base.TestCase):
    """The operator's manifest."""

    def test_routes_and_limits(self):
        table = manifest.decode_manifest(
            {
                "version": 3,
                "routes": [
                    {
                        "name": "r",
                        "host": "H.example",
                        "path_prefix": "/p/",
                        "kind": "streaming",
                        "timeout_ms": 8000,
                        "weighted_split": [{"service": "s", "weight": 90}],
                        "phases": [{"service": "b", "after": [], "length": 5}],
                    }
                ],
                "services": [],
                "limits": {"max_body_bytes": 7},
            }
        )
        route = table.find_route("h.example", "/p/x")
        self.assertEqual(8.0, route.timeout_seconds)
        self.assertEqual(8.0, route.target_seconds)
        self.assertEqual(5, route.stages[0].result_bytes)
        self.assertEqual(7, table.limits.body_bytes)
        self.assertIsNone(table.accounts)

    def test_manifest_that_no_decision_can_be_made_by_is_refused(self):
        """A stage after a later one ended the process when it was adopted."""
        stage = ("routes", 2, "phases", 1)
        batch = ("services", 2, "segments")
        for place, odd in (
            ((*stage, "after"), [1]),
            ((*stage, "after"), [-1]),
            ((*stage, "after"), 5),
            (("routes", 0, "timeout_ms"), float("nan")),
            (("routes", 0, "timeout_ms"), 10**400),
            (("routes", 0, "allowed_regions"), "north"),
            (("routes", 0, "service"), [[]]),
            ((*batch, "batch"), 0),
            ((*batch, "headroom_mb"), 0),
            (("tenants", 0, "api_keys"), "k1"),
            (("tenants", 0, "api_keys"), [""]),
            (("tenants", 0, "priority"), "x"),
            (("version",), 2**63),
        ):
            value = sessions.build_manifest()
            inner = value
            for key in place[:-1]:
                inner = inner[key]
            inner[place[-1]] = odd
            with self.assertRaises(errors.MalformedValueError, msg=place):
                manifest.decode_manifest(value)

    def test_whole_numbers_may_be_written_with_a_point(self):
        value = sessions.build_manifest(version=5.0)
        value["routes"][1] |= {"priority": 3.0, "max_attempts": None}
        value["tenants"][0]["priority"] = -2.0
        table = manifest.decode_manifest(value)
        once = table.find_route("h.example", "/once/")
        numbers = (
            table.version,
            once.priority,
            once.attempts_limit,
            table.accounts["k1"].priority,
        )
        self.assertEqual("(5, 3, 1, -2)", repr(numbers))
        value["routes"][1]["priority"] = 1e13
        with self.assertRaises(errors.MalformedValueError):
            manifest.decode_manifest(value)

    def test_parts_belong_to_their_route(self):
        """Splits and stages of all routes are checked together."""
        value = sessions.build_manifest()
        read, once, write = value["routes"]
        split = [
            {"service": "plain", "weight": 3},
            {"service": "model", "weight": 0.5},
        ]
        once |= {"weighted_split": split, "service": 5}
        read["phases"] = [{"service": "first", "after": []}]
        table = manifest.decode_manifest(value)
        stages = {
            route.name: [
                (stage.after, stage.result_bytes) for stage in route.stages
            ]
            for route in table.list_routes()
        }
        self.assertEqual(
            {
                "/read/": [((), 0)],
                "/once/": [],
                "/write/": [((), 1000), ((0,), 1000)],
            },
            stages,
        )
        splits = {route.name: route.splits for route in table.list_routes()}
        self.assertEqual(
            {
                "/read/": (("plain", 1.0),),
                "/once/": (("plain", 3.0), ("model", 0.5)),
                "/write/": (("model", 1.0),),
            },
            splits,
        )
        read["phases"][0]["after"] = [0]
        with self.assertRaises(errors.MalformedValueError):
            manifest.decode_manifest(value)
        read["phases"] = []
        del write["service"]
        with self.assertRaises(errors.MalformedValueError):
            manifest.decode_manifest(value)

    def test_cold_limits_and_homes(self):
        value = sessions.build_manifest()
        value["services"][0] |= {"cold_start_s": 3.0, "cold_per_s": 8.0}
        value["services"][1] |= {"cold_start_s": 3.0, "cold_per_s": 0.0}
        value["routes"][0]["allowed_regions"] = ["north", "south"]
        value["routes"][1]["allowed_regions"] = []
        value["tenants"][0]["allowed_regions"] = ["south"]
        table = manifest.decode_manifest(value)
        self.assertEqual((3.0, 8.0), table.services["plain"].cold)
        self.assertIsNone(table.services["model"].cold)
        account = table.accounts["k1"]
        read = table.find_route("h.example", "/read/x")
        once = table.find_route("h.example", "/once/x")
        self.assertEqual({"south"}, routes.find_regions(read, account))
        self.assertEqual({"south"}, routes.find_regions(once, account))
        self.assertEqual({"north", "south"}, routes.find_regions(read, None))
        self.assertIsNone(routes.find_regions(once, None))

    def test_target_between_events(self):
        value = sessions.build_manifest()
        value["routes"][2]["itl_target_ms"] = 40
        table = manifest.decode_manifest(value)
        route = table.find_route("h.example", "/write/")
        self.assertEqual(0.04, route.event_target_seconds)
        route = table.find_route("h.example", "/read/")
        self.assertEqual(0.0, route.event_target_seconds)
