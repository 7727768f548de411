import asyncio
import unittest

from carobspring.adapters.admission_service import AdmissionService
from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.metrics import Metrics
from carobspring.adapters.rpc import build_server, open_channel
from carobspring.admission import AdmissionLimits
from carobspring.dispatch import Dispatcher, DispatchQuery, Placement
from carobspring.domain import BackendServer, ServiceKind
from carobspring.gateway import AdmissionClient
from carobspring.gateway.admission import AdmissionOutcome
from carobspring.programs.agent import listen_rpc
from standins.deployment import wait_until

SECRET = "inner-secret"
#: Room for one prompt of the queries below.
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


class AdmissionCase(unittest.IsolatedAsyncioTestCase):
    """A host of gates, and two entries that ask there."""

    async def asyncSetUp(self):
        self.service = AdmissionService(
            clock=SystemClock(), metrics=Metrics(), limits=LIMITS
        )
        self.server = build_server(services=[self.service.build()], secret=SECRET)
        self.port = await listen_rpc(self.server, "127.0.0.1", 0)
        self.ticks = asyncio.create_task(self.service.run())
        self.addCleanup(self.ticks.cancel)
        self.addCleanup(self.server.close)
        self.engine = build_engine(self.port + 1)
        self.entries = [self.build_entry(), self.build_entry()]
        for entry in self.entries:
            await self.wait_guarded(entry)

    def build_entry(self):
        dispatcher = Dispatcher(zone="a", random=SystemRandom(seed=1))
        dispatcher.add_server(self.engine, draining=False)
        gates = AdmissionClient(
            open_channel=lambda host, port: open_channel(
                host=host, port=port, secret=SECRET
            ),
            dispatcher=dispatcher,
            read_clock=asyncio.get_running_loop().time,
        )
        gates.update_hosts([f"127.0.0.1:{self.port}"])
        self.addCleanup(gates.close)
        return gates

    async def wait_guarded(self, entry):
        async def answers():
            admission = await self.ask(entry, "probe", tokens=1)
            entry.release("s1", "probe")
            return admission.outcome is ADMITTED

        await wait_until(answers, "the gate answers")

    def ask(self, entry, name, *, tokens=2500, patience_s=60.0):
        now = asyncio.get_running_loop().time()
        query = DispatchQuery(
            request_id=name,
            service="svc",
            deadline=now + patience_s,
            due_at=now + patience_s / 2,
        )
        placed = Placement(server=self.engine, unread_tokens=tokens)
        return entry.request_admission(query, placed)

    async def wait_waiting(self, count):
        async def are_waiting():
            return self.service.waiting_count == count

        await wait_until(are_waiting, f"{count} requests wait")


class AdmissionTests(AdmissionCase):
    async def test_room_passes_on(self):
        """A request waits until the prompt before it is read."""
        first, second = self.entries
        self.assertIs((await self.ask(first, "a")).outcome, ADMITTED)
        waiting = asyncio.create_task(self.ask(second, "b"))
        await self.wait_waiting(1)
        self.assertIs(waiting.done(), False)
        first.release("s1", "a")
        self.assertIs((await waiting).outcome, ADMITTED)

    async def test_turned_away(self):
        """A request that can't begin in time is told so, with the wait."""
        entry = self.entries[0]
        await self.ask(entry, "a")
        found = await self.ask(entry, "b", tokens=100_000, patience_s=0.5)
        self.assertIs(found.outcome, REJECTED)
        self.assertGreater(found.expected_wait_s, 0.25)

    async def test_caller_leaves(self):
        """A request whose caller left doesn't wait any more."""
        entry = self.entries[0]
        await self.ask(entry, "a")
        waiting = asyncio.create_task(self.ask(entry, "b"))
        await self.wait_waiting(1)
        waiting.cancel()
        await self.wait_waiting(0)

    async def test_entry_dies(self):
        """The room of an entry that is gone goes to the others."""
        first, second = self.entries
        await self.ask(first, "a")
        waiting = asyncio.create_task(self.ask(second, "b"))
        await self.wait_waiting(1)
        first.close()
        self.assertIs((await waiting).outcome, ADMITTED)

    async def test_gate_dies(self):
        """Requests go without a gate once it is gone, those that wait too."""
        entry = self.entries[0]
        await self.ask(entry, "a")
        waiting = asyncio.create_task(self.ask(entry, "b"))
        await self.wait_waiting(1)
        self.server.close()
        self.assertIs((await waiting).outcome, UNAVAILABLE)
        self.assertIs((await self.ask(entry, "c")).outcome, UNAVAILABLE)

    async def test_silent_gate(self):
        """A host that says nothing holds nobody up, and rests then."""
        entry = self.entries[0]
        await self.ask(entry, "a")
        self.ticks.cancel()
        waiting = asyncio.create_task(self.ask(entry, "b"))
        await self.wait_waiting(1)
        self.assertIs((await waiting).outcome, UNAVAILABLE)
        await self.wait_waiting(0)
        self.assertIs((await self.ask(entry, "c")).outcome, UNAVAILABLE)

    async def test_host_is_not_a_replica_any_more(self):
        """What waits at a host that is followed no more goes without."""
        entry = self.entries[0]
        await self.ask(entry, "a")
        waiting = asyncio.create_task(self.ask(entry, "b"))
        await self.wait_waiting(1)
        entry.update_hosts([])
        self.assertIs((await waiting).outcome, UNAVAILABLE)
