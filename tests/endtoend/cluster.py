"""A whole deployment for end-to-end tests, and load on it."""

import asyncio
import contextlib
import itertools
import unittest
from pathlib import Path

import aiohttp

from carobspring.domain import LatencyTarget, ServiceClass
from standins.caller import Caller, Prompt, Verdict
from standins.deployment import Deployment, open_client, wait_until
from standins.setup import apply_settings, wait_for_model

ZONES = ["zone-a", "zone-b", "zone-c"]
MODEL = "carob-small"
WORKSPACE = "stall-7"
BOOKINGS = "/services/desk/bookings"
TARGET = LatencyTarget(first_token_ms=5000)


class ClusterCase(unittest.IsolatedAsyncioTestCase):
    """Starts replicas, two entries, two runners and a desk for each test."""

    replicas = 1
    runner_flags = {"token_ms": 10}

    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(Deployment())
        self.client = await self.enterAsyncContext(open_client(120))
        self.journal = self.deployment.folder / "journal"
        self.identifiers = itertools.count()
        self.agents = {}
        self.backends = {}
        if self.replicas == 1:
            self.controls = [await self.deployment.start_control(zone=ZONES[0])]
        else:
            zones = ZONES[: self.replicas]
            self.controls = await self.deployment.start_controls(zones)
        self.deployment.admin = ",".join(c.address("admin") for c in self.controls)
        self.entries = await asyncio.gather(
            *(self.deployment.start_entry(f"e-{zone}", zone) for zone in ZONES[:2])
        )
        await asyncio.gather(
            self.start_runner("runner-0"),
            self.start_runner("runner-1"),
            self.start_booking_service(),
        )
        keys = await apply_settings(
            self.deployment,
            classes=[ServiceClass(name="chat", priority=90, target=TARGET)],
            workspaces={WORKSPACE: "chat"},
            plain_services={"desk": ["/bookings"]},
        )
        self.key = keys[WORKSPACE]
        self.caller = Caller(client=self.client, key=self.key)
        for entry in self.entries:
            await self.wait_serving(entry)

    async def wait_serving(self, entry):
        await wait_for_model(entry.url(), key=self.key, model=MODEL)

        async def serves():
            whole = (await self.ask(entry)).verdict is Verdict.COMPLETE
            path = "/services/desk/ping"
            plain = await self.caller.call(entry.url(), "GET", path)
            return whole and plain.verdict is Verdict.COMPLETE

        await wait_until(serves, f"{entry.name} serves")

    async def start_runner(self, name):
        runner = await self.deployment.start_runner(models=MODEL, **self.runner_flags)
        self.backends[name] = runner
        await self.start_agent(name)

    async def start_booking_service(self):
        desk = await self.deployment.start_booking_service(journal=str(self.journal))
        self.backends["desk-0"] = desk
        await self.start_agent("desk-0")

    async def start_agent(self, name):
        kind = {"service": "models", "models": MODEL}
        if name.startswith("desk"):
            kind = {"service": "desk", "kind": "plain", "models": ""}
        self.agents[name] = await self.deployment.start_agent(
            name, self.backends[name], ZONES[0], **kind
        )

    async def ask(self, entry, tokens=5, stream=True):
        number = next(self.identifiers)
        prompt = Prompt(text=f"question {number}", tokens=tokens, stream=stream)
        return await self.caller.complete(entry.url(), prompt)

    async def book(self, entry, order):
        headers = {"Idempotency-Key": f"key-{order}"}
        body = {"order": order}
        return await self.caller.call(entry.url(), "POST", BOOKINGS, body, headers)

    async def set_fault(self, name, **faults):
        url = f"{self.backends[name].url()}/standin/fault"
        with contextlib.suppress(aiohttp.ClientError):
            await self.client.post(url, json=faults)

    def read_journal(self):
        path = Path(self.journal)
        return path.read_text().split() if path.exists() else []

    async def find_leader(self):
        """Return the control replica that leads."""
        found = []

        async def look():
            for control in self.controls:
                if control.returncode is None:
                    with contextlib.suppress(Exception):
                        status = await self.deployment.run_carobctl(
                            "status", admin=control.address("admin")
                        )
                        found.append(status.split("leader ")[1].split(",")[0])
                        return found[-1] != "none"
            return False

        await wait_until(look, "a leader")
        return next(one for one in self.controls if one.name == found[-1])


class Load:
    """Calls that go on through the ready entries until stopped."""

    def __init__(self, case, *, callers=8, tokens=30):
        self.case = case
        self.answers = []
        #: The platform's balancer sends only to these.
        self.balanced = list(case.entries)
        self._tokens = tokens
        self._callers = callers
        self._stopping = False
        self._tasks = []

    def start(self):
        self._tasks = [
            asyncio.create_task(self._run(index)) for index in range(self._callers)
        ]

    async def stop(self):
        self._stopping = True
        await asyncio.gather(*self._tasks)
        return self.answers

    def count(self, *verdicts):
        return sum(answer.verdict in verdicts for answer in self.answers)

    async def _run(self, index):
        while not self._stopping:
            entry = self.balanced[index % len(self.balanced)]
            answer = await self.case.ask(entry, self._tokens, stream=index % 2 == 0)
            self.answers.append(answer)
            if answer.verdict is not Verdict.COMPLETE:
                await asyncio.sleep(0.2)

    async def wait_for_more(self, count=12):
        """Wait until some more calls have ended."""
        goal = len(self.answers) + count

        async def reached():
            return len(self.answers) >= goal

        await wait_until(reached, "more calls end")
