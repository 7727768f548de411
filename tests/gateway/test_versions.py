import asyncio
import unittest

from carobspring.domain.routes import Repeatability
from carobspring.ports import BackendUnreachableError
from tests.gateway.fakes import (
    STREAM_HEADERS,
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
