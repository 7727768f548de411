import json

from carobspring.domain import RunStatus
from carobspring.protocol import CallEnd, CallEvent, ResponseHead, ViewUpdate
from tests.entry.deployment import CHAT, EntryTestCase, wait_until
from tests.entry.fakes import KEY_B, build_settings


class EntryProgramTest(EntryTestCase):
    async def test_buffered_response(self):
        """A call that isn't streamed gets the complete response."""
        async with self.client.post("/v1/chat/completions", json=CHAT) as response:
            received = (
                response.status,
                response.headers["Content-Type"],
                await response.read(),
            )
            revision = response.headers["X-Carob-Revision"]
        self.assertEqual(received, (200, "application/json", b'{"id": "x"}'))
        self.assertEqual(revision, "1")

    async def test_streamed_response(self):
        """A streamed call gets every byte in order."""
        body = b"data: 1\n\ndata: [DONE]\n\n"
        headers = (("Content-Type", "text/event-stream"),)
        for agent in self.agents:
            agent.script = [
                CallEvent(head=ResponseHead(status=200, headers=headers)),
                CallEvent(data=body[:9], offset=0),
                CallEvent(data=body[9:], offset=9),
                CallEvent(end=CallEnd(run_status=RunStatus.RAN), offset=len(body)),
            ]
        request = {**CHAT, "stream": True}
        async with self.client.post("/v1/chat/completions", json=request) as response:
            received = (
                response.status,
                response.headers["Content-Type"],
                await response.read(),
            )
        self.assertEqual(received, (200, "text/event-stream", body))

    async def test_errors(self):
        """Invalid requests get their specific error and reach no agent."""
        book = "/services/desk/book"
        cases = [
            ("no key", "POST", "/v1/chat/completions", {"Authorization": ""}, 401),
            ("bad key", "POST", "/v1/completions", {"Authorization": "Bearer x"}, 401),
            ("class", "POST", "/v1/completions", {"X-Carob-Class": "gold"}, 400),
            ("path", "GET", "/v2/nothing", {}, 404),
            ("service", "GET", "/services/none/x", {}, 404),
            ("method", "GET", "/v1/chat/completions", {}, 405),
            ("needs idempotency key", "POST", book, {}, 400),
            ("bad JSON", "POST", "/v1/chat/completions", {}, 400),
        ]
        for name, method, path, headers, status in cases:
            with self.subTest(name):
                data = b'{"model": 7' if name == "bad JSON" else json.dumps(CHAT)
                async with self.client.request(
                    method, path, headers=headers, data=data
                ) as response:
                    error = (await response.json())["error"]
                self.assertEqual((response.status, error["ran"]), (status, "not_run"))
        self.assertEqual(
            [a.runs for a in (*self.agents, self.plain_agent)], [[], [], []]
        )

    async def test_class_and_workspace_reach_the_agent(self):
        """The agent gets the workspace of the key and the service class."""
        cases = [
            ({}, ("shop-a", "chat")),
            ({"X-Carob-Class": "batch"}, ("shop-a", "batch")),
        ]
        cases.append(({"Authorization": f"Bearer {KEY_B}"}, ("shop-b", "batch")))
        for headers, expected in cases:
            with self.subTest(headers):
                async with self.client.get(
                    "/services/desk/x?y=1", headers=headers
                ) as a:
                    self.assertEqual(a.status, 200)
                run = self.plain_agent.runs[-1]
                received = (run.workspace, run.service_class)
                self.assertEqual((received, run.path), (expected, "/x?y=1"))

    async def test_refused_call_goes_to_another_agent(self):
        """A call that one agent refuses is run by the other."""
        self.agents[0].on_run = self.agents[0].refuse
        for _ in range(8):
            async with self.client.post("/v1/completions", json=CHAT) as response:
                self.assertEqual(response.status, 200)

    async def test_refusal_by_all_agents(self):
        """If every agent refuses, the caller gets an error and Retry-After."""
        for agent in self.agents:
            agent.on_run = agent.refuse
        async with self.client.post("/v1/completions", json=CHAT) as response:
            error = (await response.json())["error"]
            wait_s = int(response.headers["Retry-After"])
        self.assertEqual(
            (response.status, error["code"], error["ran"]),
            (503, "overloaded", "not_run"),
        )
        self.assertIn(wait_s, (2, 3))

    async def test_new_settings_come_into_force(self):
        """The entry reports a new revision once it is in force."""
        self.control.push(ViewUpdate(settings=build_settings(revision=2)))
        await wait_until(lambda: self.control.reports[-1].revision == 2)
        self.assertEqual(self.entry._state.settings.revision, 2)

    async def test_removed_server_gets_no_new_work(self):
        """A server that is removed from the view gets no more calls."""
        self.control.push(ViewUpdate(removed=("r1",)))
        await wait_until(lambda: self.entry._router.find_server("r1") is None)
        for _ in range(8):
            async with self.client.post("/v1/completions", json=CHAT) as response:
                self.assertEqual(response.status, 200)
        self.assertEqual(self.agents[0].runs, [])

    async def test_local_paths(self):
        """The entry itself serves health, readiness, models and metrics."""
        cases = [
            ("/healthz", '"alive"'),
            ("/readyz", '"ready":true'),
            ("/v1/models", '"id":"m1"'),
            ("/metrics", "carob_entry_settings_revision"),
        ]
        for path, text in cases:
            with self.subTest(path):
                async with self.client.get(path) as response:
                    self.assertIn(text, await response.text())
                    self.assertEqual(response.status, 200)
