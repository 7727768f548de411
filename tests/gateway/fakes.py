"""Fake backend servers, admission client and responder for gateway tests."""

import asyncio

from carobspring.adapters.clock import SystemRandom
from carobspring.adapters.metrics import Metrics
from carobspring.dispatch import Dispatcher
from carobspring.domain import BackendServer, ServiceKind
from carobspring.domain.routes import (
    Repeatability,
    Route,
    RoutedService,
    RoutingTable,
    WeightedService,
)
from carobspring.gateway import GatewayApi, GatewayState
from carobspring.gateway.admission import AdmissionOutcome, AdmissionResult
from carobspring.gateway.announcements import AnnouncementRecorder
from carobspring.gateway.budget import RetryBudget
from carobspring.gateway.crashes import CrashDetector
from carobspring.gateway.directory import ListedServer
from carobspring.gateway.entry_count import EntryCount
from carobspring.gateway.exchange import ExchangeContext
from carobspring.gateway.metrics import CrashMetrics, GatewayMetrics, StreamMetrics
from carobspring.gateway.origins import StreamOrigins
from carobspring.ports import (
    BackendResponse,
    HttpRequest,
    HttpResponder,
    IncompleteResponseError,
)
from carobspring.resumption import PeerDirectory, RouteSteps

REQUEST_ID = "9c41"
RESPONSE_HEADERS = (
    ("Carobspring-Attempt-Id", REQUEST_ID),
    ("Carobspring-Upstream-Signature", "s"),
)
STREAM_HEADERS = (*RESPONSE_HEADERS, ("Content-Type", "text/event-stream"))


class FakeResponse(BackendResponse):
    """Returns chunks in order; raises errors and awaits events among them.

    ``follow_ups`` are the responses, or an error, that come behind this one.
    """

    def __init__(self, status, headers, chunks, follow_ups=()):
        self.status = status
        self.headers = headers
        self._chunks = list(chunks)
        self._follow_ups = list(follow_ups)
        self.closed = False

    async def read_follow_up(self):
        if not self._follow_ups:
            return False
        follow_up = self._follow_ups.pop(0)
        if isinstance(follow_up, Exception):
            raise follow_up
        self.status, self.headers, chunks = follow_up
        self._chunks = list(chunks)
        return True

    async def read(self):
        if not self._chunks:
            return b""
        chunk = self._chunks.pop(0)
        if isinstance(chunk, Exception):
            raise chunk
        if isinstance(chunk, asyncio.Event):
            await chunk.wait()
            return await self.read()
        return chunk

    def close(self):
        self.closed = True


class FakeClient:
    """Responds to the requests to one server, with one script for each.

    The last script is used for all further requests.
    """

    def __init__(self, scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.responses = []
        #: Whether new connections are refused.
        self.is_down = False

    async def is_refusing(self, timeout_s):
        return self.is_down

    async def send(self, request):
        self.requests.append(request)
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        if isinstance(script, Exception):
            raise script
        if isinstance(script, asyncio.Event):
            await script.wait()
        response = FakeResponse(*script)
        self.responses.append(response)
        return response


class FakeResponder(HttpResponder):
    """Records the response that a caller would get."""

    def __init__(self):
        self.disconnected = asyncio.Event()
        self.status = 0
        self.headers = ()
        self.body = b""
        self.ended = ""

    async def send(self, status, headers, body):
        await self.start(status, headers)
        self.body = body
        self.ended = "complete"

    async def start(self, status, headers):
        assert not self.status, "responded twice"
        self.status, self.headers = status, headers

    async def write(self, data):
        # A large body is not copied with each chunk.
        if not isinstance(self.body, bytearray):
            self.body = bytearray(self.body)
        self.body += data

    async def finish(self):
        self.ended = "complete"

    def abort(self):
        self.ended = "aborted"

    @property
    def retry_after(self):
        return dict(self.headers).get("Retry-After")


def build_event(number):
    return b"id: %d\ndata: x\n\n" % number


def build_incomplete_error(reason="reset"):
    return IncompleteResponseError(reason=reason)


class FakeAdmissionClient:
    """Decides on admission by engine, and records the requests.

    A wait of 0 admits a request, and a longer one rejects it. No controller
    is available for an engine that has no wait.
    """

    def __init__(self, expected_waits):
        self.expected_waits = expected_waits
        self.permit_waits = {}
        #: Delays the grant of every permit if it is set.
        self.permit_event = None
        self.asked_servers = []
        self.permit_requests = []
        self.released = []

    async def request_admission(self, query, placement):
        name = placement.server.server_id
        self.asked_servers.append(name)
        wait_s = self.expected_waits.get(name)
        if wait_s is None:
            return AdmissionResult(outcome=AdmissionOutcome.UNAVAILABLE)
        if wait_s == 0:
            return AdmissionResult(outcome=AdmissionOutcome.ADMITTED)
        return AdmissionResult(
            outcome=AdmissionOutcome.REJECTED, expected_wait_s=wait_s
        )

    async def request_permit(self, query, placement, rate_limit):
        self.permit_requests.append((placement.server.server_id, placement.may_wait))
        if self.permit_event is not None:
            await self.permit_event.wait()
        wait_s = self.permit_waits.get(placement.server.server_id)
        if wait_s is None:
            return AdmissionResult(outcome=AdmissionOutcome.UNAVAILABLE)
        if wait_s == 0:
            return AdmissionResult(outcome=AdmissionOutcome.ADMITTED)
        return AdmissionResult(
            outcome=AdmissionOutcome.REJECTED, expected_wait_s=wait_s
        )

    def release(self, server_id, request_id):
        self.released.append((server_id, request_id))


class FakeConnections:
    """Finds the clients of servers by name."""

    def __init__(self, clients):
        self.clients = clients

    def find(self, server_id):
        return self.clients.get(server_id)


class GatewayHarness:
    """A gateway with scripted servers ``s1``, ``s2``, ... tried in order."""

    def __init__(
        self,
        *scripts,
        repeatability=Repeatability.IDEMPOTENT,
        attempts=2,
        timeout_ms=2000,
        retry_slack=100.0,
        owners=(),
        public=False,
        kind=ServiceKind.PLAIN,
        admission_waits=None,
        uptime_s=60.0,
        confirmed=True,
        engine=None,
        versions=(),
        target_ms=0.0,
    ):
        loop = asyncio.get_running_loop()
        self.clients = {
            f"s{number}": FakeClient(script)
            for number, script in enumerate(scripts, start=1)
        }
        dispatcher = self.dispatcher = Dispatcher(zone="a", random=SystemRandom(seed=1))
        self._kind = kind
        self.servers = {
            # Servers of other zones are tried later: the order is fixed.
            name: self.build_server(
                name,
                zone="b" if index else "a",
                port=1000 + index,
                version=versions[index] if versions else "",
            )
            for index, name in enumerate(self.clients)
        }
        for server in self.servers.values():
            dispatcher.add_server(server, draining=False)
        self.listings = {
            name: ListedServer(server=server, draining=False)
            for name, server in self.servers.items()
        }
        route = Route(
            name="r",
            host="h",
            path_prefix="/a/",
            repeatability=repeatability,
            weighted_services=(WeightedService(service="svc", weight=1),),
            timeout_ms=timeout_ms,
            latency_target_ms=target_ms,
            max_attempts=attempts,
            public=public,
        )
        self.state = GatewayState()
        self.table = RoutingTable(
            version=3,
            routes=(route,),
            services={"svc": RoutedService(name="svc", engine=engine)},
            owners=owners,
        )
        self.state.apply_table(self.table, 0.0)
        if confirmed:
            self.state.confirm_table(loop.time())
        entry_count = EntryCount(window_s=10.0)
        entry_count.record(1, float("inf"))
        budget = RetryBudget(
            share=0.0,
            slack=retry_slack,
            window_s=10.0,
            entry_count=entry_count,
            started_at=float("-inf"),
        )
        self.admission_client = FakeAdmissionClient(admission_waits or {})
        connections = FakeConnections(self.clients)
        self.report_requests = 0
        #: Workspaces of the requests that were counted as run.
        self.recorded_runs = []
        self.misdirected = []
        self.contested = set()
        self.crash_detector = CrashDetector(
            connections=connections,
            find_listing=self.listings.get,
            read_clock=loop.time,
            read_wall_ms=lambda: 0,
            request_report=self.request_report,
            count_entries=lambda: 1,
            is_contested=lambda server: server.server_id in self.contested,
            handle_crash=dispatcher.record_crash,
            trial_turn=0.0,
            evidence_s=10.0,
            metrics=CrashMetrics(Metrics()),
        )
        self.peers = PeerDirectory(own_address="own")
        self.peer_messages = []
        self.origins = StreamOrigins(
            peers=self.peers,
            send=lambda peer, message: self.peer_messages.append((peer, message)),
            request_report=lambda: None,
            read_clock=loop.time,
            metrics=StreamMetrics(Metrics()),
        )
        self.api = GatewayApi(
            state=self.state,
            context=ExchangeContext(
                dispatcher=dispatcher,
                connections=connections,
                crash_detector=self.crash_detector,
                admission_client=self.admission_client,
                stream_origins=self.origins,
                route_steps=RouteSteps(),
                announcements=AnnouncementRecorder(
                    dispatcher=dispatcher,
                    crash_detector=self.crash_detector,
                    handle_misdirected=self.misdirected.append,
                    read_clock=loop.time,
                    metrics=Metrics(),
                ),
                read_clock=loop.time,
                spend_retry=lambda service: budget.try_spend(loop.time()),
                count_entries=lambda: 1,
                started_at=loop.time() - uptime_s,
                record_run=self.recorded_runs.append,
            ),
            find_budget=lambda service: budget,
            random=SystemRandom(seed=1),
            metrics=GatewayMetrics(Metrics()),
        )

    async def call(self, *, path="/a/x", headers=(), responder=None):
        """Send one request and return the responder with its response."""
        responder = responder or FakeResponder()
        request = HttpRequest(
            method="POST",
            path=path,
            query="q=1",
            headers=(
                ("Host", "h"),
                ("Carobspring-Attempt-Id", REQUEST_ID),
                ("Carobspring-Deadline-Ms", "5000"),
                *headers,
            ),
            body=b"body",
        )
        await self.api.handle(request, responder)
        return responder

    def build_server(self, name, *, zone="a", boot=1, port=1000, version=""):
        return BackendServer(
            server_id=name,
            boot=boot,
            service="svc",
            kind=self._kind,
            zone=zone,
            host="127.0.0.1",
            port=port,
            slots=6,
            software_version=version,
        )

    def request_report(self):
        self.report_requests += 1

    def count_requests(self):
        return {name: len(client.requests) for name, client in self.clients.items()}
