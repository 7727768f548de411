import asyncio
import unittest
from dataclasses import replace

from carobspring.adapters.admission_service import (
    LOAD_INTEREST_S,
    AdmissionService,
    Outbox,
)
from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.metrics import Metrics
from carobspring.adapters.rpc import build_server, open_channel
from carobspring.admission import AdmissionLimits
from carobspring.dispatch import Dispatcher, DispatchQuery, Placement
from carobspring.domain import BackendServer, ServiceKind
from carobspring.gateway import AdmissionClient
from carobspring.gateway.admission import AdmissionOutcome
from carobspring.programs.agent_program import start_rpc_server
from carobspring.protocol import EngineLoad
from standins.deployment import wait_until

SECRET = "inner-secret"
#: Capacity for one prompt of the queries below.
LIMITS = AdmissionLimits(engine_queue_tokens=3000, report_delay_s=0.0)
ADMITTED = AdmissionOutcome.ADMITTED
REJECTED = AdmissionOutcome.REJECTED
UNAVAILABLE = AdmissionOutcome.UNAVAILABLE


def build_engine(port):
    return BackendServer(
        server_id="s1",
        boot=1,
        service="svc",
        kind=ServiceKind.MODEL,
        zone="a",
        host="127.0.0.1",
        port=port,
        slots=64,
    )


class AdmissionTestCase(unittest.IsolatedAsyncioTestCase):
    """A host of admission controllers, and two entries that use it."""

    async def asyncSetUp(self):
        self.service = AdmissionService(
            clock=SystemClock(), metrics=Metrics(), limits=LIMITS
        )
        self.server = build_server(
            services=[self.service.build_service()], secret=SECRET
        )
        self.port = await start_rpc_server(self.server, "127.0.0.1", 0)
        self.service_task = asyncio.create_task(self.service.run())
        self.addCleanup(self.service_task.cancel)
        self.addCleanup(self.server.close)
        self.engine = build_engine(self.port + 1)
        self.entries = [self.build_entry(), self.build_entry()]
        for entry in self.entries:
            await self.wait_for_admission(entry)

    def build_entry(self):
        dispatcher = Dispatcher(zone="a", random=SystemRandom(seed=1))
        dispatcher.add_server(self.engine, draining=False)
        client = AdmissionClient(
            open_channel=lambda host, port: open_channel(
                host=host, port=port, secret=SECRET
            ),
            dispatcher=dispatcher,
            read_clock=asyncio.get_running_loop().time,
        )
        client.update_hosts([f"127.0.0.1:{self.port}"])
        self.addCleanup(client.close)
        return client

    async def wait_for_admission(self, entry):
        async def is_admitted():
            admission = await self.request_admission(entry, "probe", tokens=1)
            entry.release("s1", "probe")
            return admission.outcome is ADMITTED

        await wait_until(is_admitted, "the admission controller responds")

    def request_admission(self, entry, name, *, tokens=2500, timeout_s=60.0):
        now = asyncio.get_running_loop().time()
        query = DispatchQuery(
            request_id=name,
            service="svc",
            deadline=now + timeout_s,
            due_at=now + timeout_s / 2,
        )
        placement = Placement(server=self.engine, unread_tokens=tokens)
        return entry.request_admission(query, placement)

    async def wait_for_waiting_count(self, count):
        async def has_count():
            return self.service.waiting_count == count

        await wait_until(has_count, f"{count} requests wait")


class PermitTests(AdmissionTestCase):
    async def test_entries_share_one_limit(self):
        """All entries together get the permits that the limit allows."""
        loop = asyncio.get_running_loop()
        placement = Placement(server=self.engine, may_wait=True)
        granted = []

        async def ask(number):
            now = loop.time()
            query = DispatchQuery(
                request_id=f"p{number}",
                service="svc",
                deadline=now + 1.6,
                due_at=now + 1.6,
            )
            entry = self.entries[number % 2]
            result = await entry.request_permit(query, placement, 4.0)
            if result.outcome is ADMITTED:
                granted.append(loop.time())
            return result.outcome

        outcomes = await asyncio.gather(*map(ask, range(20)))
        self.assertEqual(set(outcomes), {ADMITTED, REJECTED})
        self.assertTrue(3 <= len(granted) <= 6)


class HostTests(AdmissionTestCase):
    async def test_host_in_the_zone_of_the_engine(self):
        """An engine's requests go to a host in its zone while there is one."""
        near, far = f"127.0.0.1:{self.port}", f"127.0.0.1:{self.port + 7}"
        entry = self.entries[0]
        entry.update_hosts([near, far], {near: "a", far: "b"})
        for name in (near, far):
            entry._hosts[name].stream.connected = True
        for number in range(20):
            engine = replace(self.engine, server_id=f"s{number}")
            with self.subTest(engine.server_id):
                self.assertIs(entry._find_host(engine), entry._hosts[near])
        entry._hosts[near].stream.connected = False
        self.assertIs(entry._find_host(self.engine), entry._hosts[far])

    async def test_loads_of_engines_asked_for(self):
        """An entry is sent the loads of the engines that it asked for."""
        loads = {"s1": EngineLoad(reading_tokens=50_000, tokens_per_s=50_000.0)}
        asked, other = Outbox(), Outbox()
        asked.record_request("s1", 1.0)
        cases = {
            "asked": (asked, 2.0, loads),
            "another engine": (other, 2.0, {}),
            "long ago": (asked, 1.0 + LOAD_INTEREST_S + 0.1, {}),
        }
        for name, (outbox, now, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(outbox.find_changed_loads(loads, now), expected)

    async def test_small_changes_of_load(self):
        """A load is sent again when it changed by a tenth of a second."""
        outbox = Outbox()
        outbox.record_request("s1", 1.0)
        outbox.sent_tokens["s1"] = 20_000
        for tokens, is_sent in ((20_000, False), (24_900, False), (25_100, True)):
            load = EngineLoad(reading_tokens=tokens, tokens_per_s=50_000.0)
            with self.subTest(tokens):
                changed = outbox.find_changed_loads({"s1": load}, 1.5)
                self.assertEqual(changed, {"s1": load} if is_sent else {})


class AdmissionTests(AdmissionTestCase):
    async def test_capacity_is_reused(self):
        """A request waits until the engine has read the prompt before it."""
        first, second = self.entries
        self.assertIs((await self.request_admission(first, "a")).outcome, ADMITTED)
        waiting = asyncio.create_task(self.request_admission(second, "b"))
        await self.wait_for_waiting_count(1)
        self.assertIs(waiting.done(), False)
        first.release("s1", "a")
        self.assertIs((await waiting).outcome, ADMITTED)

    async def test_rejected(self):
        """A request that can't start in time is rejected with its wait."""
        entry = self.entries[0]
        await self.request_admission(entry, "a")
        result = await self.request_admission(entry, "b", tokens=100_000, timeout_s=0.5)
        self.assertIs(result.outcome, REJECTED)
        self.assertGreater(result.expected_wait_s, 0.25)

    async def test_caller_leaves(self):
        """A request whose caller disconnected no longer waits."""
        entry = self.entries[0]
        await self.request_admission(entry, "a")
        waiting = asyncio.create_task(self.request_admission(entry, "b"))
        await self.wait_for_waiting_count(1)
        waiting.cancel()
        await self.wait_for_waiting_count(0)

    async def test_entry_disconnects(self):
        """The capacity of a disconnected entry goes to other entries."""
        first, second = self.entries
        await self.request_admission(first, "a")
        waiting = asyncio.create_task(self.request_admission(second, "b"))
        await self.wait_for_waiting_count(1)
        first.close()
        self.assertIs((await waiting).outcome, ADMITTED)

    async def test_host_disconnects(self):
        """New and waiting requests proceed when their host disconnects."""
        entry = self.entries[0]
        await self.request_admission(entry, "a")
        waiting = asyncio.create_task(self.request_admission(entry, "b"))
        await self.wait_for_waiting_count(1)
        self.server.close()
        self.assertIs((await waiting).outcome, UNAVAILABLE)
        self.assertIs((await self.request_admission(entry, "c")).outcome, UNAVAILABLE)

    async def test_silent_host(self):
        """A host without updates delays no request for long and is skipped."""
        entry = self.entries[0]
        await self.request_admission(entry, "a")
        self.service_task.cancel()
        waiting = asyncio.create_task(self.request_admission(entry, "b"))
        await self.wait_for_waiting_count(1)
        self.assertIs((await waiting).outcome, UNAVAILABLE)
        await self.wait_for_waiting_count(0)
        self.assertIs((await self.request_admission(entry, "c")).outcome, UNAVAILABLE)

    async def test_host_is_removed(self):
        """Requests that wait at a removed host proceed without admission."""
        entry = self.entries[0]
        await self.request_admission(entry, "a")
        waiting = asyncio.create_task(self.request_admission(entry, "b"))
        await self.wait_for_waiting_count(1)
        entry.update_hosts([])
        self.assertIs((await waiting).outcome, UNAVAILABLE)
