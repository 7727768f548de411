import asyncio
import dataclasses
import unittest
import unittest.mock

from carobspring.domain.routes import (
    KeyOwner,
    Repeatability,
    RoutedService,
    WeightedService,
)
from carobspring.ports import BackendUnreachableError
from carobspring.resumption import (
    SeveralVersionsError,
    StreamOrigin,
    build_stream_key,
)
from tests.gateway.fakes import (
    REQUEST_ID,
    STREAM_HEADERS,
    FakeClient,
    GatewayHarness,
    build_event,
    build_incomplete_error,
)

RESUMABLE = Repeatability.RESUMABLE_STREAM
BROKEN = (200, STREAM_HEADERS, [build_event(1), build_incomplete_error()])
BROKEN_BEFORE = (200, STREAM_HEADERS, [build_incomplete_error()])
REST = (200, STREAM_HEADERS, [build_event(1), build_event(2)])
SHED = (503, (("Carobspring-Not-Executed", "1"),), [])
LIMITED_SHED = (503, (("Carobspring-Not-Executed", "1"), ("Server-Limit", "2")), [])
UNREACHABLE = BackendUnreachableError(reason="refused")


class VersionTests(unittest.IsolatedAsyncioTestCase):
    async def test_way_on_inside_an_answer(self):
        """A stream goes on only at the version of its first event."""
        cases = {
            # name: (scripts, versions, sends, how the answer ends)
            "the next server has another version": (
                ([BROKEN], [REST], [REST]),
                ("v1", "v2", "v1"),
                (1, 0, 1),
                "complete",
            ),
            "no other server has the version": (
                ([BROKEN], [REST]),
                ("v1", "v2"),
                (1, 0),
                "aborted",
            ),
            "the others of the version turn it away": (
                ([BROKEN], [REST], [SHED], [UNREACHABLE]),
                ("v1", "v2", "v1", "v1"),
                (1, 0, 1, 1),
                "aborted",
            ),
            "no event has come": (
                ([BROKEN_BEFORE], [REST]),
                ("v1", "v2"),
                (1, 1),
                "complete",
            ),
            "the version is that of the first event": (
                ([BROKEN_BEFORE], [BROKEN], [REST], [REST]),
                ("v1", "v2", "v1", "v2"),
                (1, 1, 0, 1),
                "complete",
            ),
            "servers that name no version": (
                ([BROKEN], [REST], [REST]),
                ("", "v2", ""),
                (1, 0, 1),
                "complete",
            ),
        }
        for name, (scripts, versions, sends, ended) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness(
                    *scripts, versions=versions, repeatability=RESUMABLE, attempts=3
                )
                response = await gateway.call()
                self.assertEqual(response.ended, ended)
                self.assertEqual(tuple(gateway.count_requests().values()), sends)

    async def test_silent_server_is_kept_without_another_of_its_version(self):
        """A stream isn't taken from a silent server for another version."""
        for versions, sends in ((("v1", "v2"), (1, 0)), (("v1", "v1"), (1, 1))):
            with self.subTest(versions=versions):
                resumed = asyncio.Event()
                silent = (200, STREAM_HEADERS, [build_event(1), resumed])
                gateway = GatewayHarness(
                    [silent],
                    [REST],
                    versions=versions,
                    repeatability=RESUMABLE,
                    timeout_ms=10_000,
                )
                calling = asyncio.create_task(gateway.call())
                await asyncio.sleep(1.6)
                self.assertEqual(tuple(gateway.count_requests().values()), sends)
                resumed.set()
                await calling

    async def test_wait_for_a_permit(self):
        """A stream that needs a permit gets it for a server of its version."""
        gateway = GatewayHarness(
            [BROKEN],
            [REST],
            [LIMITED_SHED, REST],
            versions=("v1", "v2", "v1"),
            repeatability=RESUMABLE,
            attempts=3,
        )
        gateway.admission_client.permit_waits = {"s3": 0.0}
        await gateway.call()
        response = await gateway.call()
        self.assertEqual(response.ended, "complete")
        self.assertEqual(gateway.admission_client.permit_requests, [("s3", False)])
        self.assertEqual(gateway.count_requests()["s2"], 0)


class ResumedRequestTests(unittest.IsolatedAsyncioTestCase):
    """Requests that take a stream up, at an entry without other entries."""

    OWNERS = (
        KeyOwner(name="acme", keys=("k1",), priority=None),
        KeyOwner(name="other", keys=("k2",), priority=None),
    )

    def build(self, **options):
        options = {"versions": ("v1", "v2"), "owners": self.OWNERS, **options}
        gateway = GatewayHarness([REST], [REST], repeatability=RESUMABLE, **options)
        for server in gateway.servers.values():
            gateway.origins.handle_listed(server)
        return gateway

    def record(self, gateway, version="v2", *, workspace="acme", service="svc"):
        stream = build_stream_key(workspace, "began")
        gateway.origins.record_first_event(stream, service, version, 12.0)

    async def resume(self, gateway, *headers, key="k1"):
        headers = (("Authorization", f"Bearer {key}"), *headers)
        return await gateway.call(headers=headers)

    async def test_forms(self):
        """What names no known stream is refused, and may come again."""
        resumes, after = ("Resumes", "began"), ("Last-Event-Id", "1")
        cases = {
            # name: (headers, sends by server, whether it is refused)
            "a known stream": ((resumes, after), (0, 1), False),
            "a known stream without an event": ((resumes,), (0, 1), False),
            "in other case": ((("RESUMES", " began "), after), (0, 1), False),
            "the same twice": ((resumes, resumes, after), (0, 1), False),
            "no stream": ((after,), (0, 0), True),
            "an empty one": ((("Resumes", ""), after), (0, 0), True),
            "an unknown one": ((("Resumes", "x"), after), (0, 0), True),
            "its own": ((("Resumes", REQUEST_ID), after), (0, 0), True),
            "two": ((resumes, ("Resumes", "x"), after), (0, 0), True),
            "two, a known one last": ((("Resumes", "x"), resumes, after), (0, 0), True),
            "two in one": ((("Resumes", "began, x"), after), (0, 0), True),
            "a new stream": ((), (1, 0), False),
            "empty headers": ((("Resumes", ""), ("Last-Event-Id", "")), (1, 0), False),
        }
        for name, (headers, sends, is_refused) in cases.items():
            with self.subTest(name):
                gateway = self.build()
                self.record(gateway)
                response = await self.resume(gateway, *headers)
                self.assertEqual(tuple(gateway.count_requests().values()), sends)
                self.assertEqual(response.status, 503 if is_refused else 200)
                if is_refused:
                    self.assertEqual(response.body, b'{"error":"unknown_stream"}')
                    self.assertLess(0.0, float(response.retry_after))

    async def test_stream_of_another_workspace(self):
        """A caller can't take up the streams of another workspace."""
        gateway = self.build()
        self.record(gateway)
        headers = (("Resumes", "began"), ("Last-Event-Id", "1"))
        response = await self.resume(gateway, *headers, key="k2")
        self.assertEqual(response.status, 503)

    async def test_no_server_of_the_version(self):
        """Then it is refused as not run, for a short time."""
        gateway = self.build()
        self.record(gateway, "v3")
        headers = (("Resumes", "began"), ("Last-Event-Id", "1"))
        response = await self.resume(gateway, *headers)
        self.assertEqual(
            (response.status, response.body),
            (503, b'{"error":"no_server_of_version"}'),
        )
        self.assertLess(0.0, float(response.retry_after))
        self.assertEqual(gateway.count_requests(), {"s1": 0, "s2": 0})

    async def test_continued_stream_is_recorded_again(self):
        """Whoever goes on with a stream knows it under its first name."""
        gateway = self.build()
        self.record(gateway)
        headers = (("Resumes", "began"), ("Last-Event-Id", "1"))
        with unittest.mock.patch.object(
            gateway.origins, "record_first_event"
        ) as record_first_event:
            await self.resume(gateway, *headers)
        record_first_event.assert_called_once_with(
            build_stream_key("acme", "began"), "svc", "v2", 5.0
        )

    async def test_new_stream_is_recorded(self):
        """A stream is known by the request that brought its first event."""
        gateway = self.build()
        await self.resume(gateway)
        key = build_stream_key("acme", REQUEST_ID)
        origin = await gateway.origins.find(key, ["svc"])
        self.assertEqual(origin, StreamOrigin(service="svc", versions={"svc": "v1"}))

    async def test_stream_without_event_is_not_recorded(self):
        """An answer that brought no event binds nobody."""
        gateway = GatewayHarness(
            [BROKEN_BEFORE], versions=("v1",), repeatability=RESUMABLE
        )
        await gateway.call()
        with self.assertRaises(SeveralVersionsError):
            await gateway.origins.find(build_stream_key("", REQUEST_ID), ["svc"])

    async def test_split_route(self):
        """A stream goes on at the service that began it."""
        gateway = self.build()
        route = dataclasses.replace(
            gateway.table.routes[0],
            weighted_services=(
                WeightedService(service="svc", weight=99),
                WeightedService(service="other", weight=1),
            ),
        )
        services = {**gateway.table.services, "other": RoutedService(name="other")}
        table = dataclasses.replace(
            gateway.table, version=4, routes=(route,), services=services
        )
        gateway.state.apply_table(table, 0.0)
        server = dataclasses.replace(
            gateway.servers["s1"], server_id="o1", service="other"
        )
        gateway.dispatcher.add_server(server, draining=False)
        gateway.clients["o1"] = FakeClient([REST])
        self.record(gateway, "v1", service="other")
        headers = (("Resumes", "began"), ("Last-Event-Id", "1"))
        await self.resume(gateway, *headers)
        self.assertEqual(gateway.count_requests(), {"s1": 0, "s2": 0, "o1": 1})

    async def test_route_that_has_moved(self):
        """A stream whose route has moved goes on at the new service."""
        gateway = self.build()
        self.record(gateway, "v9", service="former")
        headers = (("Resumes", "began"), ("Last-Event-Id", "1"))
        response = await self.resume(gateway, *headers)
        self.assertEqual(response.status, 200)
        origin = await gateway.origins.find(build_stream_key("acme", "began"), ["svc"])
        self.assertEqual(origin.service, "svc")

    async def test_streams_that_run_once(self):
        """A stream that can't be resumed is nobody's to know."""
        gateway = GatewayHarness(
            [REST], versions=("v1",), repeatability=Repeatability.STREAM_ONCE
        )
        response = await gateway.call(headers=(("Last-Event-Id", "1"),))
        self.assertEqual(response.status, 200)
