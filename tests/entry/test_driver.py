import asyncio
import json

import aiohttp

from carobspring.domain import LoadReport, RunStatus, ServiceKind
from carobspring.entry import StreamLimits
from carobspring.protocol import (
    CallEnd,
    CallEvent,
    ResponseHead,
    SettingsReply,
    Strike,
    ViewUpdate,
)
from tests.entry.deployment import CHAT, EntryTestCase, wait_until
from tests.entry.fakes import KEY_B, FakeAgent, build_settings

STREAM = {**CHAT, "stream": True}
PATH = "/v1/chat/completions"
SSE = (("Content-Type", "text/event-stream"),)
FAILED = CallEnd(run_status=RunStatus.UNKNOWN, reason="backend_failed")
START = [
    CallEvent(head=ResponseHead(status=200, headers=SSE)),
    CallEvent(data=b"data: 1\n\n", offset=0),
]


class CallDriverTest(EntryTestCase):
    async def send_call(self, body=CHAT, **headers):
        """Send one completion call; return the status and text or error."""
        request_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        async with self.client.post(
            PATH, json=body, headers=request_headers
        ) as response:
            text = await response.text()
            if response.status == 200:
                return 200, text
            return response.status, json.loads(text)["error"]

    def script_all(self, events):
        """Make every model agent send the same events."""
        for agent in self.agents:
            agent.script = events

    def count_runs(self):
        """Return the number of runs requested from the model agents."""
        return sum(len(agent.runs) for agent in self.agents)

    async def test_broken_stream_is_never_complete(self):
        """A stream that breaks ends with an error event and an abort."""
        self.script_all([*START, CallEvent(end=FAILED, offset=9)])
        got = b""
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with self.client.post(PATH, json=STREAM) as response:
                async for chunk in response.content.iter_any():
                    got += chunk
        self.assertEqual(got[:9], b"data: 1\n\n")
        event = got[9:].strip().split(b"\n", 1)
        self.assertEqual(event[0], b"event: error")
        error = json.loads(event[1].removeprefix(b"data: "))["error"]
        self.assertEqual((error["code"], error["ran"]), ("backend_lost", "unknown"))
        self.assertNotIn(b"[DONE]", got)
        self.assertEqual(self.count_runs(), 1)

    async def test_stream_that_is_denied_is_never_joined_by_another(self):
        """No end of a call that has sent data lets another run follow."""
        key = {"Idempotency-Key": "k1"}
        cases = {
            "not run": ({}, CallEnd(run_status=RunStatus.NOT_RUN, reason="past")),
            "moved": ({}, CallEnd(run_status=RunStatus.NOT_RUN, reason="moved")),
            "an earlier run": (
                key,
                CallEnd(run_status=RunStatus.UNKNOWN, reason="past"),
            ),
        }
        for name, (headers, end) in cases.items():
            with self.subTest(name):
                self.script_all([*START, CallEvent(end=end, offset=9)])
                before = self.count_runs()
                got = b""
                with self.assertRaises(aiohttp.ClientPayloadError):
                    async with self.client.post(
                        PATH, json=STREAM, headers=headers
                    ) as response:
                        async for chunk in response.content.iter_any():
                            got += chunk
                self.assertEqual(got.count(b"data: 1\n\n"), 1)
                self.assertIn(b"event: error", got)
                self.assertEqual(self.count_runs() - before, 1)

    async def test_broken_buffered_response_runs_again(self):
        """A model call with nothing sent to the caller runs elsewhere."""
        self.agents[0].script = [*START, CallEvent(end=FAILED, offset=9)]
        for _ in range(8):
            self.assertEqual(await self.send_call(), (200, '{"id": "x"}'))

    async def test_failure_of_every_server(self):
        """If every attempt fails, the error says the call may have run."""
        lost = CallEnd(run_status=RunStatus.UNKNOWN, reason="stopped")
        self.script_all([CallEvent(end=lost)])
        status, error = await self.send_call()
        got = (status, error["code"], error["ran"], self.count_runs())
        self.assertEqual(got, (502, "backend_lost", "unknown", 2))

    async def test_plain_post_is_not_repeated(self):
        """A plain POST that may have run is not repeated by the entry."""
        second = await FakeAgent("d2", kind=ServiceKind.PLAIN).start()
        self.addCleanup(second.stop)
        self.control.push(ViewUpdate(servers=(second.describe(),)))
        await wait_until(lambda: self.entry._router.find_server("d2") is not None)
        self.plain_agent.script = second.script = [CallEvent(end=FAILED)]
        async with self.client.post("/services/desk/x", data=b"1") as response:
            error = (await response.json())["error"]
        got = (response.status, error["code"], error["ran"])
        self.assertEqual(got, (502, "backend_lost", "unknown"))
        self.assertEqual(len(self.plain_agent.runs) + len(second.runs), 1)

    async def test_disconnect_cancels_call_at_the_agent(self):
        """The call of a caller that disconnects is cancelled."""

        async def hold(request, send):
            await send(CallEvent())
            await asyncio.Event().wait()

        for agent in self.agents:
            agent.on_run = hold
        call = asyncio.ensure_future(self.send_call())
        await wait_until(lambda: self.count_runs() == 1)
        call.cancel()
        await wait_until(lambda: any(agent.cancels for agent in self.agents))
        runs = [run.call_id for agent in self.agents for run in agent.runs]
        cancels = [name for agent in self.agents for name in agent.cancels]
        self.assertEqual(cancels, runs)

    async def test_disconnect_while_connection_is_silent(self):
        """A cancel lost on a silent connection is sent on another one."""
        self.entry._dependencies.stream_reader._limits = StreamLimits(
            silence_timeout_s=60
        )

        async def hold(request, send):
            await send(CallEvent())
            await asyncio.Event().wait()

        for agent in self.agents:
            agent.on_run = hold
            agent.unanswered_cancels = 1
        call = asyncio.ensure_future(self.send_call())
        await wait_until(lambda: self.count_runs() == 1)
        call.cancel()
        await wait_until(lambda: any(agent.cancels for agent in self.agents))

    async def test_retries_stay_within_the_budget(self):
        """If all agents reject all calls, retries are a share of calls."""
        for agent in self.agents:
            agent.on_run = agent.refuse
        calls = 120
        for _ in range(calls):
            self.assertEqual((await self.send_call())[0], 503)
        self.assertLessEqual(self.count_runs(), calls * 1.2 + 10)

    async def test_call_preempts_lower_priority_work(self):
        """Without retry budget, servers with lower-priority work are tried."""
        self.agents[0].on_run = self.agents[0].refuse
        busy = LoadReport(sequence=5, running=4, limit=4, running_by_priority={10: 4})
        self.control.push(ViewUpdate(loads={"r2": busy}))
        await wait_until(lambda: self.entry._router._records["r2"].load_received_at > 0)
        self.entry._router.budget.tokens = -1000.0
        for _ in range(8):
            self.assertEqual((await self.send_call())[0], 200)
        self.assertEqual(len(self.agents[1].runs), 8)
        before = self.count_runs()
        statuses = [(await self.send_call(X_Carob_Class="batch"))[0] for _ in range(12)]
        served = len(self.agents[1].runs) - 8
        self.assertEqual(sorted(statuses), [200] * served + [503] * (12 - served))
        self.assertEqual(self.count_runs() - before, 12)

    async def test_request_that_crashes_servers(self):
        """A request runs alone after one crash and is rejected after two."""
        self.script_all([CallEvent(end=FAILED)])
        status, error = await self.send_call()
        runs = [run for agent in self.agents for run in agent.runs]
        self.assertEqual(sorted(run.alone for run in runs), [False, True])
        self.assertEqual((status, error["ran"]), (502, "unknown"))
        resent = await self.send_call()
        got = (resent[0], resent[1]["code"], resent[1]["ran"])
        self.assertEqual(got, (422, "request_quarantined", "not_run"))
        self.assertEqual(self.count_runs(), 2)

    async def test_strikes_reported_by_control(self):
        """Crashes at other entries count until the request is released."""
        await self.send_call()
        run = [run for agent in self.agents for run in agent.runs][0]
        strikes = tuple(
            Strike(
                workspace="shop-a",
                request_hash=run.request_hash,
                server_id=name,
                boot=1,
                at_ms=1,
            )
            for name in ("r1", "r2")
        )
        for update, expected in (
            (ViewUpdate(strikes=strikes[:1]), (200, True)),
            (ViewUpdate(strikes=strikes), (422, True)),
            (ViewUpdate(released=strikes[:1]), (200, False)),
        ):
            settings = build_settings(revision=self.entry._state.settings.revision + 1)
            self.control.push(update)
            self.control.push(ViewUpdate(settings=settings))
            revision = settings.revision
            await wait_until(
                lambda r=revision: self.entry._state.settings.revision == r
            )
            status, _ = await self.send_call()
            runs = [r for agent in self.agents for r in agent.runs]
            alone = any(r.alone for r in runs if r.revision == revision)
            other, _ = await self.send_call(Authorization=f"Bearer {KEY_B}")
            self.assertEqual((status, other), (expected[0], 200))
            if status == 200:
                self.assertIs(alone, expected[1])

    async def test_resend_with_a_key_attaches(self):
        """Resends with one key use the same call identifier and agent."""
        for _ in range(3):
            await self.send_call(Idempotency_Key="k1")
        runs = [(a.name, r.call_id) for a in self.agents for r in a.runs]
        self.assertEqual((len(runs), len(set(runs))), (3, 1))
        await self.send_call(Idempotency_Key="k1", Authorization=f"Bearer {KEY_B}")
        await self.send_call(Idempotency_Key="k2")
        runs = {r.call_id for a in self.agents for r in a.runs}
        self.assertEqual(len(runs), 3)

    async def test_resend_after_a_cancel_starts_a_new_run(self):
        """A cancelled earlier run uses no retry and excludes no server."""
        self.control.push(ViewUpdate(removed=("r2",)))
        await wait_until(lambda: self.entry._router.find_server("r2") is None)
        self.entry._router.budget.tokens = 0.0
        agent = self.agents[0]

        async def end_earlier_run(request, send):
            if len(agent.runs) == 1:
                end = CallEnd(run_status=RunStatus.UNKNOWN, reason="cancelled")
                await send(CallEvent(end=end))
                return
            await agent.send_script(request, send)

        agent.on_run = end_earlier_run
        got = await self.send_call(Idempotency_Key="k1")
        self.assertEqual(got, (200, '{"id": "x"}'))
        self.assertNotEqual(agent.runs[0].call_id, agent.runs[1].call_id)

    async def test_end_of_an_earlier_crash_counts_once(self):
        """A resend that attaches to a crashed run adds no second strike."""
        strikes = self.entry._state.strikes
        crash = {"workspace": "w", "request_hash": "h", "server_id": "r1", "boot": 1}
        reported = Strike(**crash, at_ms=1_000)
        strikes.record_reported(reported)
        for at_ms, may_be_earlier_run, expected in (
            (1_500, False, 1),
            (90_000, True, 1),
            (90_000, False, 2),
        ):
            strikes.record_observed(
                **crash, at_ms=at_ms, may_be_earlier_run=may_be_earlier_run
            )
            self.assertEqual(strikes.count("w", "h", 90_001), expected)
        self.assertEqual(strikes.count("w", "h", 200_000), 1)

    async def test_workspace_limit(self):
        """Calls above the workspace's limit get an error with a delay."""
        settings = build_settings(revision=2, limit=1)
        self.control.push(ViewUpdate(settings=settings))
        await wait_until(lambda: self.entry._state.settings.revision == 2)
        proceed = asyncio.Event()

        async def hold(request, send):
            await proceed.wait()
            await self.agents[0].send_script(request, send)

        for agent in self.agents:
            agent.on_run = hold
        first = asyncio.ensure_future(self.send_call())
        await wait_until(lambda: self.count_runs() == 1)
        status, error = await self.send_call()
        self.assertEqual((status, error["code"]), (429, "workspace_limit"))
        self.assertGreater(error["retry_after_ms"], 0)
        proceed.set()
        self.assertEqual((await first)[0], 200)
        self.assertEqual((await self.send_call())[0], 200)

    async def test_outdated_settings_serve_no_calls(self):
        """Calls wait for a newer named revision and fail without it."""
        event = CallEvent(revision=2)
        self.script_all([event, *self.agents[0].script])
        self.assertEqual((await self.send_call())[0], 200)
        status, error = await self.send_call()
        got = (status, error["code"], error["ran"], self.count_runs())
        self.assertEqual(got, (503, "settings_behind", "not_run", 1))
        self.control.push(ViewUpdate(settings=build_settings(revision=2)))
        await wait_until(lambda: self.entry._state.settings.revision == 2)
        self.assertEqual((await self.send_call(X_Carob_Revision="2"))[0], 200)
        self.assertEqual((await self.send_call(X_Carob_Revision="3"))[0], 503)
        self.assertEqual((await self.send_call())[0], 200)

    async def test_settings_come_from_an_agent(self):
        """Without updates from control, settings come from an agent."""
        newer = build_settings(revision=2)
        self.agents[1].settings_reply = SettingsReply(settings=newer, revision=2)
        self.assertEqual((await self.send_call(X_Carob_Revision="2"))[0], 200)
        self.assertEqual(self.entry._state.settings.revision, 2)

    async def test_calls_are_served_without_control(self):
        """Calls are served while no control replica is reachable."""
        self.control.stop()
        await wait_until(lambda: not self.entry._control_stream.connected)
        for _ in range(4):
            self.assertEqual((await self.send_call())[0], 200)
        async with self.client.get("/readyz") as response:
            self.assertEqual(response.status, 200)

    async def test_stop_drains_calls_in_flight(self):
        """A planned stop turns readiness off and waits for open calls."""
        proceed = asyncio.Event()

        async def hold(request, send):
            await send(CallEvent())
            await proceed.wait()
            await self.agents[0].send_script(request, send)

        for agent in self.agents:
            agent.on_run = hold
        call = asyncio.ensure_future(self.send_call())
        await wait_until(lambda: self.count_runs() == 1)
        stop = asyncio.ensure_future(self.entry.stop())
        await wait_until(lambda: not self.entry._state.is_ready)
        await asyncio.sleep(0.2)
        self.assertIs(stop.done(), False)
        proceed.set()
        self.assertEqual(await call, (200, '{"id": "x"}'))
        await stop
