"""A whole deployment for end-to-end tests, and a load generator."""

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


class ClusterTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a deployment for each test.

    It has control replicas, two entries, two runners and a booking service.
    """

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
        self.deployment.admin = ",".join(
            control.address("admin") for control in self.controls
        )
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
            await self.wait_until_serving(entry)

    async def wait_until_serving(self, entry):
        await wait_for_model(entry.url(), key=self.key, model=MODEL)

        async def is_serving():
            is_complete = (await self.complete(entry)).verdict is Verdict.COMPLETE
            path = "/services/desk/ping"
            plain = await self.caller.call(entry.url(), "GET", path)
            return is_complete and plain.verdict is Verdict.COMPLETE

        await wait_until(is_serving, f"{entry.name} serves")

    async def start_runner(self, name):
        runner = await self.deployment.start_runner(models=MODEL, **self.runner_flags)
        self.backends[name] = runner
        await self.start_agent(name)

    async def start_booking_service(self):
        service = await self.deployment.start_booking_service(journal=str(self.journal))
        self.backends["desk-0"] = service
        await self.start_agent("desk-0")

    async def start_agent(self, name):
        flags = {"service": "models", "models": MODEL}
        if name.startswith("desk"):
            flags = {"service": "desk", "kind": "plain", "models": ""}
        self.agents[name] = await self.deployment.start_agent(
            name, self.backends[name], ZONES[0], **flags
        )

    async def complete(self, entry, tokens=5, stream=True):
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

    def read_recorded_orders(self):
        path = Path(self.journal)
        return path.read_text().split() if path.exists() else []

    async def find_leader(self):
        """Return the control replica that is the leader."""
        leaders = []

        async def is_found():
            for control in self.controls:
                if control.returncode is None:
                    with contextlib.suppress(Exception):
                        status = await self.deployment.run_carobctl(
                            "status", admin=control.address("admin")
                        )
                        leaders.append(status.split("leader ")[1].split(",")[0])
                        return leaders[-1] != "none"
            return False

        await wait_until(is_found, "a leader is elected")
        return next(control for control in self.controls if control.name == leaders[-1])


class LoadGenerator:
    """Sends calls through the ready entries until it is stopped."""

    def __init__(self, test_case, *, callers=8, tokens=30):
        self.test_case = test_case
        self.results = []
        #: Entries that the platform's load balancer would use.
        self.routed_entries = list(test_case.entries)
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
        return self.results

    def count(self, *verdicts):
        return sum(result.verdict in verdicts for result in self.results)

    async def _run(self, index):
        while not self._stopping:
            entry = self.routed_entries[index % len(self.routed_entries)]
            result = await self.test_case.complete(
                entry, self._tokens, stream=index % 2 == 0
            )
            self.results.append(result)
            if result.verdict is not Verdict.COMPLETE:
                await asyncio.sleep(0.2)

    async def wait_for_more(self, count=12):
        """Wait until ``count`` more calls have ended."""
        target = len(self.results) + count

        async def is_reached():
            return len(self.results) >= target

        await wait_until(is_reached, "more calls end")
