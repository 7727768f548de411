"""A call manager with a backend server that is scripted by the test."""

import asyncio
from dataclasses import replace

from carobspring.agent import (
    AgentState,
    CallManager,
    CallTable,
    CallTimings,
    TableLimits,
)
from carobspring.domain import LatencyTarget, ServiceClass, ServiceKind, Settings
from carobspring.ports import Backend, BackendResponse, Clock, IncompleteResponseError
from carobspring.protocol import CallEnd, RunCall
from carobspring.scheduling import Scheduler, SchedulerLimits
from tests.scheduling.support import FixedRandom

TEST_TIMEOUT_S = 30.0
EVENT_STREAM = (("Content-Type", "text/event-stream"),)
DONE = b"data: [DONE]\n\n"


class ManualClock(Clock):
    def __init__(self):
        self.now = 100.0

    def read_monotonic(self):
        return self.now

    def read_wall_ms(self):
        return int(self.now * 1000)


class ScriptedResponse(BackendResponse):
    def __init__(self, request, status=200, headers=()):
        self.request = request
        self.status = status
        self.headers = headers
        self.closed = asyncio.Event()
        self.chunks = asyncio.Queue()

    def feed(self, *chunks):
        for chunk in chunks:
            self.chunks.put_nowait(chunk)

    async def read(self):
        chunk = await self.chunks.get()
        if isinstance(chunk, Exception):
            raise chunk
        return chunk

    def close(self):
        self.closed.set()


class ScriptedBackend(Backend):
    """Responds with ``headers``; the test feeds the chunks of the body."""

    def __init__(self):
        self.responses = []
        self.headers = ()
        self.error = None
        self.listening = True
        self.healthy = True
        self.sent = asyncio.Condition()
        #: Clear to delay heads, as engines do for responses without streaming.
        self.heads_released = asyncio.Event()
        self.heads_released.set()
        self.request_count = 0

    async def send(self, request):
        if self.error is not None:
            raise self.error
        self.request_count += 1
        await self.heads_released.wait()
        response = ScriptedResponse(request, headers=self.headers)
        self.responses.append(response)
        async with self.sent:
            self.sent.notify_all()
        return response

    async def wait_for_response(self, index):
        async with asyncio.timeout(TEST_TIMEOUT_S), self.sent:
            await self.sent.wait_for(lambda: len(self.responses) > index)
        return self.responses[index]

    def crash(self):
        self.listening = self.healthy = False
        for response in self.responses:
            response.feed(IncompleteResponseError(reason="reset"))

    async def probe(self, timeout_s):
        return self.healthy

    async def is_listening(self):
        return self.listening

    async def close(self):
        pass


class FakeLedger:
    """Records outcomes; confirms none while ``reachable`` is False."""

    def __init__(self):
        self.outcomes = []
        self.reachable = True
        self.allowed = asyncio.Event()
        self.allowed.set()

    async def commit(self, report, give_up_s):
        await self.allowed.wait()
        self.outcomes.append(report)
        return self.reachable


class ManagerHarness:
    def __init__(self, *, slots=1, kind=ServiceKind.PLAIN, table=None):
        self.clock = ManualClock()
        self.backend = ScriptedBackend()
        self.ledger = FakeLedger()
        self.agent_state = AgentState(
            server_id="r1", boot=7, kind=kind, request_report=lambda: None
        )
        self.manager = CallManager(
            agent_state=self.agent_state,
            backend=self.backend,
            scheduler=Scheduler(
                limits=SchedulerLimits(slots=slots), random=FixedRandom()
            ),
            clock=self.clock,
            table=CallTable(limits=table or TableLimits()),
            timings=CallTimings(
                check_interval_s=3600, settings_wait_s=0.01, late_commit_timeout_s=0
            ),
            commit_outcome=self.ledger.commit,
        )

    async def submit(self, call_id, **fields):
        call = RunCall(
            call_id=call_id,
            boot=7,
            workspace="w",
            service_class="chat",
            method="POST",
            path="/x",
        )
        return await self.manager.submit(replace(call, **fields))

    async def read_end(self, record):
        """Return the complete output and the end, as a reader sees them."""
        if isinstance(record, CallEnd):
            return b"", record
        reader = record.attach(0, self.clock.now)
        output = b""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while (event := await reader.read()) is not None:
                output += event.data
                end = event.end
        record.detach(reader, self.clock.now)
        return output, end

    def advance(self, seconds):
        self.clock.now += seconds
        self.manager.check_calls()


def build_settings(revision, priority=50):
    chat = ServiceClass(
        name="chat", priority=priority, target=LatencyTarget(total_ms=1000)
    )
    return Settings(revision=revision, classes={"chat": chat})
