"""Tests of sessions with servers of several software versions."""

from unittest import mock

from samphirevale import errors
from samphirevale.adapters import web_client
from samphirevale.availability import start_marks
from samphirevale.origins import records
from standins import servers
from tests.platform import sessions

SERVERS = (*sessions.SERVERS, "model3")
MODELS = {"model1": "v1", "model2": "v2", "model3": "v1"}

ALIKE = dict.fromkeys(MODELS, "v1")

# The number of prompts, which are spread over the servers.
PROMPTS = 24


# How long the callers wait that begin streams, which others take up later.
BEGIN_DEADLINE_MS = "20000"


def list_versions(body):
    """Returns the versions that wrote the events of a stream."""
    lines = [line for line in body.split(b"\n") if line.startswith(b"data:")]
    return {line.split(b" ")[-1].decode() for line in lines}


class VersionSessionTestCase(sessions.SessionTestCase):
    """Sessions in which callers begin streams and take them up."""

    def build_headers(self, number, **headers):
        """Returns the headers of a request whose prompt has that number."""
        return {
            "Samphirevale-Attempt-Id": f"a{number}",
            "Samphirevale-Prefix-Hash": f"p{number}:10,q:5",
            **headers,
        }

    async def begin(self, number):
        """Disconnects after the first event; returns its version."""
        for name in MODELS.keys() & self.servers.keys():
            self.servers[name].silence_seconds = 0.1
            self.servers[name].faults = ["stall"]
        headers = {
            "Samphirevale-Deadline-Ms": BEGIN_DEADLINE_MS,
            "Samphirevale-Key": "k1",
            **self.build_headers(number),
        }
        async with web_client.connect("127.0.0.1", self.port) as connection:
            answer = await connection.request(
                "POST", "/write/x", b"", tuple(headers.items()), "h.example"
            )
            parts = answer.read_parts()
            first = await anext(parts)
            await parts.aclose()
        for name in MODELS.keys() & self.servers.keys():
            self.servers[name].faults = []
        (version,) = list_versions(first)
        return version

    async def take_up(self, number):
        """Takes a stream up after its second event, as its caller does."""
        headers = {
            "Samphirevale-Attempt-Id": f"b{number}",
            "Last-Event-Id": "2",
            "Resumes": f"a{number}",
        }
        return await self.write(**self.build_headers(number, **headers))

    def count_recorded(self):
        """Returns the number of streams in the records of all entries."""
        return sum(
            len(
                records.decode_record(
                    self.store.read(records.KIND, name)
                ).streams
            )
            for name in self.store.list_names(records.KIND)
        )

    async def wait_until_recorded(self, number):
        await self.wait_until(lambda: self.count_recorded() == number)


class VersionTest(VersionSessionTestCase):
    """Streams go on only at the software version that began them."""

    async def test_a_broken_stream_resumes_only_at_its_version(self):
        async with self.run_all(SERVERS, MODELS):
            broken = 0
            for number in range(PROMPTS):
                self.servers["model1"].faults = ["cut"]
                _, _, body = await self.write(**self.build_headers(number))
                self.assertEqual(servers.EVENTS, body.count(b"data:"))
                self.assertEqual(1, len(list_versions(body)), body)
                broken += not self.servers["model1"].faults
            self.assertGreater(broken, 0)

    async def test_a_broken_stream_ends_if_no_server_has_its_version(self):
        async with self.run_all(versions=MODELS):
            faults = self.servers["model1"].faults = ["cut"]
            with self.assertRaises(errors.AnswerLostError):
                for number in range(PROMPTS):
                    await self.write(**self.build_headers(number))
            self.assertEqual([], faults)

    def restart_before_registering(self, name, version):
        """Starts a server again under its id; its registration is to come."""
        self.servers[name].version = version
        self.servers[name].born += 1

    async def test_no_stream_is_joined_that_began_before_a_registration(self):
        """An endpoint's registration may be older than its present start."""
        async with self.run_all(SERVERS, ALIKE):
            self.restart_before_registering("model1", "v2")
            begun = [await self.begin(number) for number in range(PROMPTS)]
            asked = [call.path for call in self.servers["model1"].arrivals]
            self.assertIn("/report", asked)
            self.change_server("model1", born=self.servers["model1"].born)
            self.change_server("model1", state="draining")
            await self.wait_until_accepting("model2", "model3")
            for number, version in enumerate(begun):
                status, _, body = await self.take_up(number)
                self.assertEqual(200, status)
                self.assertEqual({version}, list_versions(body))

    def count_reports(self, name):
        """Returns how often a server was asked for its start."""
        paths = [call.path for call in self.servers[name].arrivals]
        return paths.count("/report")

    def never_ask_again(self):
        """Remembers a start as over until the list names another one."""
        self.enterContext(mock.patch.object(start_marks, "MARK_SECONDS", 60.0))

    async def test_server_whose_start_is_not_listed_is_asked_once(self):
        """Streams go elsewhere at once until the list names the new start."""
        self.never_ask_again()
        async with self.run_all(SERVERS, ALIKE):
            self.restart_before_registering("model1", "v1")
            for number in range(PROMPTS):
                status, *_ = await self.write(**self.build_headers(number))
                self.assertEqual(200, status)
            self.assertEqual(1, self.count_reports("model1"))
            self.assertIn("endpoint_not_listed", self.log.list_events())
            self.change_server("model1", born=self.servers["model1"].born)
            cluster = self.gateway.cluster_state
            await self.wait_until(
                lambda: cluster.catalogue.find("model1").started == 2
            )
            for number in range(PROMPTS):
                await self.write(**self.build_headers(number))
            self.assertGreater(self.count_reports("model1"), 1)
            await self.wait_until(lambda: not cluster.ended_starts)

    async def test_streams_begin_while_no_start_is_listed(self):
        """They were refused; now only their take-up is, until it is known."""
        self.never_ask_again()
        async with self.run_all(SERVERS, ALIKE):
            for name in ALIKE:
                self.restart_before_registering(name, "v2")
            for number in range(PROMPTS):
                self.assertEqual("v2", await self.begin(number))
            for number in range(PROMPTS):
                status, *_ = await self.take_up(number)
                self.assertEqual(503, status)
            for name in ALIKE:
                self.change_server(name, born=self.servers[name].born)
            await self.wait_until(
                lambda: (
                    self.log.list_events().count("stream_version_known")
                    == PROMPTS
                )
            )
            # The entry uses the new version once the store knows it.
            cluster = self.gateway.cluster_state
            await self.wait_until(
                lambda: cluster.is_recorded(cluster.catalogue.find("model1"))
            )
            for number in range(PROMPTS):
                status, _, body = await self.take_up(number)
                self.assertEqual(200, status)
                self.assertEqual({"v2"}, list_versions(body))

    async def test_start_that_a_server_does_not_name_any_more_is_not_known(
        self,
    ):
        """A new start may give other reports in its first moments."""
        for fault in ("absent", "no start"):
            async with self.run_all(SERVERS, ALIKE):
                for number in range(PROMPTS):
                    await self.write(**self.build_headers(number))
                self.restart_before_registering("model1", "v2")
                for name in MODELS:
                    self.servers[name].report_fault = fault
                begun = [await self.begin(number) for number in range(PROMPTS)]
                self.assertEqual({"v1", "v2"}, {*begun})
                for number in range(PROMPTS):
                    status, *_ = await self.take_up(number)
                    self.assertEqual(503, status)

    async def test_broken_stream_is_not_joined_before_a_registration(self):
        """The entry itself goes on with it at another endpoint."""
        async with self.run_all(SERVERS, ALIKE):
            self.restart_before_registering("model1", "v2")
            for number in range(PROMPTS):
                self.servers["model1"].faults = ["cut"]
                _, _, body = await self.write(**self.build_headers(number))
                self.assertEqual(servers.EVENTS, body.count(b"data:"))
                self.assertEqual(1, len(list_versions(body)), body)

    async def test_a_caller_resumes_only_at_the_version_that_began(self):
        async with self.run_all(SERVERS, MODELS):
            versions = [await self.begin(number) for number in range(PROMPTS)]
            self.change_server("model1", state="draining")
            await self.wait_until_accepting("model2", "model3")
            for number, version in enumerate(versions):
                status, _, body = await self.take_up(number)
                self.assertEqual(200, status)
                self.assertEqual({version}, list_versions(body))

    async def test_a_caller_is_refused_if_no_server_has_its_version(self):
        async with self.run_all(versions=MODELS):
            self.change_server("model2", state="draining")
            await self.wait_until_accepting("model1")
            await self.begin(0)
            self.change_server("model2")
            self.change_server("model1", state="draining")
            await self.wait_until_accepting("model2")
            status, _, _ = await self.take_up(0)
            self.assertEqual(503, status)
            self.assertEqual([], self.servers["model2"].arrivals)

    async def test_an_unknown_stream_is_refused_after_a_change_of_version(self):
        async with self.run_all(versions=MODELS):
            self.store.remove("servers", "model2")
            await self.wait_until_accepting("model1")
            status, _, _ = await self.take_up(0)
            self.assertEqual(503, status)
            self.assertEqual([], self.servers["model1"].arrivals)
