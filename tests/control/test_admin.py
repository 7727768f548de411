import asyncio
import http.client
import json
import unittest

from carobspring.control.reports import StatusReport
from carobspring.domain import LatencyTarget, ServiceClass, Settings
from carobspring.operator import (
    AdminClient,
    ApiError,
    NotInForceError,
    SettingsEditor,
    wait_until_in_force,
)
from carobspring.protocol import ClassAttainment, EntryReport, Strike
from carobspring.settings import Change
from tests.control.harness import (
    TOKEN,
    make_report,
    open_agent,
    open_entry,
    run_control,
)

CHAT = ServiceClass(name="chat", priority=90, target=LatencyTarget())
SET_CHAT = (Change(set_class=CHAT),)
BODY = {"change_id": "c1", "base_revision": 0, "changes": [{"remove_class": "x"}]}


def request(
    port: int, method: str, path: str, body: object = None, token: str = TOKEN
) -> tuple[int, object]:
    """Return the status and the JSON body of one admin API response."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {token}"}
    try:
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    finally:
        connection.close()


class AdminTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        context = run_control()
        self.program, self.ports = await context.__aenter__()
        self.addAsyncCleanup(context.__aexit__, None, None, None)
        address = f"127.0.0.1:{self.ports['admin']}"
        self.client = AdminClient(addresses=("127.0.0.1:1", address), token=TOKEN)

    async def send(self, changes=SET_CHAT, **options):
        """Send changes through an editor, as carobctl does."""
        editor = SettingsEditor(client=self.client, **options)
        return await asyncio.to_thread(editor.send, lambda _: changes)

    async def test_errors(self):
        """Each error has its status, a stable kind and a message."""
        stale = BODY | {"base_revision": 5, "change_id": "c2"}
        cases = {
            "no token": ("GET", "/v1/status", None, "", 401, "unauthorized"),
            "wrong token": ("GET", "/v1/status", None, "x", 401, "unauthorized"),
            "no such route": ("GET", "/v1/x", None, TOKEN, 404, "no_such_route"),
            "wrong method": ("PUT", "/v1/status", None, TOKEN, 404, "no_such_route"),
            "not JSON": ("POST", "/v1/changes", b"{", TOKEN, 400, "invalid"),
            "too deep": (
                "POST",
                "/v1/changes",
                b"[" * 100_000,
                TOKEN,
                400,
                "invalid",
            ),
            "no changes": (
                "POST",
                "/v1/changes",
                BODY | {"changes": []},
                TOKEN,
                400,
                "invalid",
            ),
            "bad name": (
                "POST",
                "/v1/changes",
                BODY
                | {"changes": [{"set_workspace": {"name": "/", "default_class": "x"}}]},
                TOKEN,
                400,
                "invalid",
            ),
            "invalid change": ("POST", "/v1/changes", BODY, TOKEN, 400, "invalid"),
            "conflict": ("POST", "/v1/changes", stale, TOKEN, 409, "conflict"),
            "conflict, dry": (
                "POST",
                "/v1/changes",
                stale | {"dry_run": True},
                TOKEN,
                409,
                "conflict",
            ),
            "invalid change, dry": (
                "POST",
                "/v1/changes",
                BODY | {"dry_run": True},
                TOKEN,
                400,
                "invalid",
            ),
            "no such call": ("GET", "/v1/calls?number=1", None, TOKEN, 404, None),
            "bad number": ("GET", "/v1/calls?number=x", None, TOKEN, 400, "invalid"),
            "bad limit": ("GET", "/v1/audit?limit=-1", None, TOKEN, 400, "invalid"),
            "no such server": (
                "POST",
                "/v1/drain",
                {"server_id": "m9"},
                TOKEN,
                404,
                "no_such_server",
            ),
        }
        for name, (method, path, body, token, status, kind) in cases.items():
            with self.subTest(name):
                found_status, response = await asyncio.to_thread(
                    request, self.ports["admin"], method, path, body, token
                )
                self.assertEqual(found_status, status)
                self.assertIn("message", response["error"])
                self.assertEqual(response["error"]["kind"], kind or "no_such_call")

    async def test_change(self):
        """A change through the client is in force and in the audit trail."""
        report = await self.send(change_id="c7")
        self.assertEqual((report.revision, report.change_id), (1, "c7"))
        self.assertEqual([s.subject for s in report.subjects], ["class chat"])
        editor = SettingsEditor(client=self.client)
        settings = await asyncio.to_thread(editor.read_settings)
        self.assertEqual(settings, Settings(revision=1, classes={"chat": CHAT}))
        for query, count in (
            ("", 1),
            ("?operator=operator&subject=class", 1),
            ("?operator=anna", 0),
            ("?change_id=c7", 1),
            ("?change_id=c8", 0),
            ("?subject=workspace", 0),
            ("?since_ms=9007199254740992", 0),
            ("?limit=0", 0),
        ):
            with self.subTest(query):
                _, entries = await asyncio.to_thread(
                    request, self.ports["admin"], "GET", f"/v1/audit{query}"
                )
                self.assertEqual(len(entries), count)

    async def test_dry_run(self):
        """A dry run shows the difference and changes nothing."""
        report = await self.send(dry_run=True)
        self.assertIs(report.dry_run, True)
        self.assertEqual([s.subject for s in report.subjects], ["class chat"])
        self.assertEqual(self.program.state.machine.settings.settings, Settings())

    async def test_conflict(self):
        """A change on an outdated revision gets the current one in reply."""
        await self.send()
        with self.assertRaisesRegex(ApiError, "revision 1 stands") as caught:
            await self.send(base_revision=0)
        self.assertEqual(caught.exception.report.revision, 1)

    async def test_in_force(self):
        """A wait ends when the revision is in force in every zone."""
        await self.send()

        def wait(timeout_s: float) -> StatusReport:
            return wait_until_in_force(
                self.client, revision=1, timeout_s=timeout_s, show=lines.append
            )

        lines: list[str] = []
        async with open_entry(self.ports["rpc"]) as entry:
            await entry.send(EntryReport(entry_id="e1", zone="a", revision=1))
            await entry.send(EntryReport(entry_id="e2", zone="b", revision=0))
            async with asyncio.timeout(20):
                while len(self.program.state.entries.entries) < 2:
                    await asyncio.sleep(0.01)
            with self.assertRaisesRegex(NotInForceError, "not in force yet in: b"):
                await asyncio.to_thread(wait, 0.0)
            await entry.send(EntryReport(entry_id="e2", zone="b", revision=1))
            status = await asyncio.to_thread(wait, 20.0)
        self.assertEqual([z.in_force for z in status.zones], [True, True])
        self.assertEqual(lines[-1], "revision 1 in force in 2 of 2 zones")

    async def test_drain(self):
        """A drain is sent to the agent, and entries see it as draining."""
        port = self.ports["rpc"]
        async with open_agent(port) as agent, open_entry(port) as entry:
            await agent.send(make_report())
            await entry.wait_for(lambda update: update.servers)
            body = {"server_id": "m1"}
            for expected in (1, 0):
                _, response = await asyncio.to_thread(
                    request, self.ports["admin"], "POST", "/v1/drain", body
                )
                self.assertEqual(response, {"count": expected})
            await agent.wait_for(lambda update: update.drain)
            await entry.wait_for(
                lambda update: update.loads and update.loads["m1"].draining
            )

    async def test_quarantine(self):
        """Entries are sent strikes and their release, which is permanent."""
        strike = Strike(
            workspace="w", request_hash="h", server_id="m1", boot=7, at_ms=1
        )
        report = make_report()
        port = self.ports["rpc"]
        async with open_agent(port) as agent, open_entry(port) as entry:
            for sequence in (1, 2):
                report_with_strike = make_report(sequence)
                report_with_strike = type(report)(
                    server=report_with_strike.server,
                    load=report_with_strike.load,
                    strikes=(strike,),
                )
                await agent.send(report_with_strike)
            await entry.wait_for(lambda update: update.strikes == (strike,))
            body = {"workspace": "w", "request_hash": "h"}
            _, response = await asyncio.to_thread(
                request, self.ports["admin"], "POST", "/v1/quarantine/release", body
            )
            self.assertEqual(response, {"count": 1})
            await entry.wait_for(lambda update: update.released == (strike,))
            await agent.send(report_with_strike)
            await agent.send(make_report(3, running=1))
            await entry.wait_for(
                lambda update: update.loads and update.loads["m1"].running == 1
            )
            _, strikes = await asyncio.to_thread(
                request, self.ports["admin"], "GET", "/v1/quarantine"
            )
            self.assertEqual(strikes, [])

    async def test_attainment(self):
        """Counts of a service class are summed over the entries."""
        counts = ClassAttainment(ended=10, met=9, shed=1)
        async with open_entry(self.ports["rpc"]) as entry:
            for name in ("e1", "e2"):
                attainment = {"chat": counts}
                report = EntryReport(entry_id=name, zone="a", attainment=attainment)
                await entry.send(report)
                # Later reports omit counts that did not change.
                await entry.send(EntryReport(entry_id=name, zone="a", revision=1))
            async with asyncio.timeout(20):
                while self.program.state.entries.find_zone_revisions() != {"a": 1}:
                    await asyncio.sleep(0.01)
                while len(self.program.state.entries.entries) < 2:
                    await asyncio.sleep(0.01)
            _, response = await asyncio.to_thread(
                request, self.ports["admin"], "GET", "/v1/attainment"
            )
        expected = {"chat": {"ended": 20, "met": 18, "shed": 2}}
        self.assertEqual(response, {"entries": 2, "classes": expected})
