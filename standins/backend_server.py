"""A simulated backend server that injects faults on request."""

import asyncio
import secrets
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from standins.deployment import wait_until
from standins.events import StreamEvent, format_event
from standins.odd_continuations import (
    OWN_ANSWERS,
    OddContinuation,
    build_odd_continuations,
)

SERVER_PORT = 8080
#: Largest body that a server takes.
MAX_REQUEST_BYTES = 16 * 1024 * 1024
#: Faults in which a request gets no answer that the server's announcements
#: are part of.
SILENT_FAULTS = ("hang", "cut", "stray", "endless")
#: Part of a path before the seconds that a request is to last.
LASTING_MARK = "/lasting/"
CHECK_IN_INTERVAL_S = 0.4
RESPONSE_TIMEOUT_S = 1.0
#: A refusal of some request, without its identifier.
EARLIER_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nCarobspring-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
ENDLESS_HEAD = (
    b"HTTP/1.1 200 OK\r\nCarobspring-Attempt-Id: other\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
ENDLESS_CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a backend server, run there or not."""

    at: float
    attempt_id: str
    body: bytes
    #: Parts of the prompt, without their sizes.
    parts: tuple[str, ...] = ()
    #: The stream that the caller resumes, and the event after which.
    resumes: str = ""
    last_event_id: str = ""
    #: What the response announced.
    announced: Mapping[str, str]
    #: Start of the server that the request reached, and whether that turned
    #: it away. Requests for another start are not counted there.
    started_at_ms: int = 0
    is_rejected: bool = False
    is_misdirected: bool = False
    #: Whether it got no answer of its own, so that nobody heard what was
    #: announced.
    is_unanswered: bool = False


@dataclass(kw_only=True)
class ServerRun:
    """A request that a backend server worked on."""

    attempt_id: str
    started_at: float
    #: The workspace that the entry named, or empty.
    workspace: str = ""
    #: Time at which the work was done or given up; None during it.
    ended_at: float | None = None
    #: Whether the server did all that it should until then.
    is_sound: bool = True
    #: Whether it continued a stream that had all of its events already.
    adds_nothing: bool = False


class StandInServer:
    """A backend server in this process that checks in and serves requests.

    It counts its runs by attempt identifier. ``fault`` selects the injected
    fault: ``shed`` rejects requests unexecuted, ``error`` responds with 500,
    ``cut`` aborts the connection, ``hang`` delays the response by a minute,
    ``stray`` responds with the identifier of another attempt, and ``endless``
    does so with a body without end. A request whose body is
    ``crashing_body``, or whose prompt has one of ``crashing_parts``, crashes
    the server, which returns with a new identifier after
    ``restart_delay_s``. ``error_share`` of the runs get a 500 response
    instead, that of a crashing request too. All responses to callers carry
    the headers in ``announcements``. A request whose path ends with
    ``/lasting/`` and a number takes so many seconds. ``odd_continuation``
    names the response to requests that go on with a stream; what is no fault
    towards a caller goes to entries only. Servers share the identifiers of
    requests that began streams in ``begun_streams``, to tell them apart.
    """

    def __init__(
        self,
        *,
        service: str,
        ip: str,
        controls: list[str],
        zone: str = "a",
        is_engine: bool = False,
        version: str = "v1",
        begun_streams: set[str] | None = None,
    ) -> None:
        self._begun_streams = set() if begun_streams is None else begun_streams
        self.server_id = f"i-{secrets.token_hex(4)}"
        #: Version of the software, which each event names.
        self.version = version
        self.service = service
        self.run_counts: Counter[str] = Counter()
        self.runs: list[ServerRun] = []
        self.arrivals: list[Arrival] = []
        #: Monotonic times of crashes, and the body or the part of a prompt
        #: that caused them; empty if the server crashed by itself.
        self.crashes: list[tuple[float, bytes]] = []
        self.crashing_body = b""
        self.crashing_parts: frozenset[str] = frozenset()
        #: Seconds until such a request crashes the server, as it begins to
        #: write an answer.
        self.crash_delay_s = 0.0
        self.restart_delay_s = 2.0
        #: Share of the runs, evenly spread, that end with a 500 response.
        self.error_share = 0.0
        self.announcements: dict[str, str] = {}
        self.fault = ""
        #: Seconds until a response that is no stream.
        self.response_delay_s = 0.0
        #: Bytes of the body of a response that is no stream; zero for a short
        #: text.
        self.response_bytes = 0
        self.event_interval_s = 0.02
        self.event_count = 5
        #: Events after which a new stream is broken off; zero is off.
        self.cut_after_events = 0
        #: A name of ``ODD_CONTINUATIONS``; empty is off.
        self.odd_continuation = ""
        #: Identifiers of requests, and the odd responses to them.
        self.odd_responses: list[tuple[str, str]] = []
        self.state = "ready"
        #: Monotonic time at which a control daemon first confirmed the drain.
        self.drain_confirmed_at: float | None = None
        self._ip = ip
        self._is_engine = is_engine
        self._zone = zone
        self._controls = controls
        self._started_at_ms = int(time.time() * 1000)
        self._sequence = 0
        self._runner: web.AppRunner | None = None
        self._check_in_task: asyncio.Task[None] | None = None
        self._restart_task: asyncio.Task[None] | None = None
        #: Whether the server is down, or going down.
        self._is_down = False

    @property
    def address(self) -> str:
        """The address that stays the same over restarts."""
        return f"{self._ip}:{SERVER_PORT}"

    @property
    def arrival_times(self) -> list[float]:
        """Monotonic times at which requests arrived."""
        return [arrival.at for arrival in self.arrivals]

    async def start(self, *, is_restart: bool = False) -> None:
        """Listen and check in.

        With ``is_restart``, the server keeps its identifier and checks in with
        a new start time.
        """
        if is_restart:
            self._started_at_ms = int(time.time() * 1000)
            self._sequence = 0
        self._is_down = False
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self._ip, SERVER_PORT).start()
        self._check_in_task = asyncio.create_task(self._check_in_periodically())

    async def close(self) -> None:
        """Stop for good."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        await self.crash()

    async def crash(self) -> None:
        """Stop serving and checking in, without a drain."""
        self._is_down = True
        if self._check_in_task is not None:
            self._check_in_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def break_down(self, cause: bytes = b"") -> None:
        """End like a crashed process, and return after a while."""
        if self._runner is None or self._runner.server is None:
            # It has not returned from its last crash.
            return
        self._is_down = True
        self.crashes.append((time.monotonic(), cause))
        for site in tuple(self._runner.sites):
            # Closes the listening socket at once, unlike stopping the site.
            site._server.close()  # type: ignore[attr-defined]
        for connection in tuple(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self._restart_task = asyncio.create_task(self._return())

    async def _return(self) -> None:
        await self.crash()
        await asyncio.sleep(self.restart_delay_s)
        self.server_id = f"i-{secrets.token_hex(4)}"
        await self.start(is_restart=True)

    async def drain(self) -> None:
        """Report a drain in the check-ins and wait for its confirmation."""
        self.state = "draining"

        async def is_confirmed() -> bool:
            return self.drain_confirmed_at is not None

        await wait_until(is_confirmed, "the drain is confirmed")

    async def _check_in_periodically(self) -> None:
        timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
        index = 0
        async with aiohttp.ClientSession(timeout=timeout) as client:
            while True:
                control = self._controls[index % len(self._controls)]
                if not await self._check_in(client, control):
                    index += 1
                await asyncio.sleep(CHECK_IN_INTERVAL_S)

    async def _check_in(self, client: aiohttp.ClientSession, control: str) -> bool:
        self._sequence += 1
        state = self.state
        body = {
            "service": self.service,
            "address": f"{self._ip}:{SERVER_PORT}",
            "zone": self._zone,
            "version": self.version,
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._sequence,
            "born": self._started_at_ms,
        }
        if self._is_engine:
            body |= {"phase": "unified", "models": [{"name": "m", "version": 1}]}
        try:
            url = f"{control}/v1/instances/{self.server_id}"
            async with client.put(url, json=body) as response:
                confirmed = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        if confirmed and state == "draining" and self.drain_confirmed_at is None:
            self.drain_confirmed_at = time.monotonic()
        return confirmed

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        headers = request.headers
        body = await request.read()
        attempt_id = headers.get("Carobspring-Attempt-Id", "")
        if not attempt_id:
            return web.Response(status=400, headers={"Carobspring-Not-Executed": "1"})
        prefix = headers.get("Carobspring-Prefix-Hash", "")
        parts = tuple(item.partition(":")[0] for item in prefix.split(",") if item)
        expected_id = headers.get("Carobspring-Expected-Instance")
        is_misdirected = expected_id != self.server_id
        self.arrivals.append(
            Arrival(
                at=time.monotonic(),
                attempt_id=attempt_id,
                body=body,
                parts=parts,
                resumes=headers.get("Resumes", ""),
                last_event_id=headers.get("Last-Event-Id", ""),
                announced=self.announcements,
                started_at_ms=self._started_at_ms,
                is_rejected=self.fault == "shed",
                is_misdirected=is_misdirected,
                is_unanswered=self.fault in SILENT_FAULTS,
            )
        )
        if is_misdirected:
            return web.Response(status=421)
        if self.fault == "shed":
            return web.Response(
                status=503,
                headers={"Carobspring-Not-Executed": "1", **self.announcements},
            )
        self.run_counts[attempt_id] += 1
        run = ServerRun(
            attempt_id=attempt_id,
            started_at=time.monotonic(),
            workspace=headers.get("Carobspring-Tenant", ""),
            is_sound=not self.fault,
        )
        self.runs.append(run)
        try:
            return await self._run(request, run, body, parts)
        finally:
            run.ended_at = time.monotonic()
            run.is_sound = run.is_sound and not self._is_down

    async def _run(
        self, request: web.Request, run: ServerRun, body: bytes, parts: Sequence[str]
    ) -> web.StreamResponse:
        attempt_id = run.attempt_id
        if self.fault == "repeated refusal":
            assert isinstance(request.transport, asyncio.Transport)
            request.transport.write(EARLIER_REFUSAL)
        response_headers = {
            "Carobspring-Attempt-Id": attempt_id,
            "Carobspring-Upstream-Signature": f"{self.server_id}.{attempt_id}",
            **self.announcements,
        }
        if self._should_fail():
            return web.Response(status=500, headers=response_headers, text="failed")
        cause = body if body == self.crashing_body else b""
        for part in sorted(self.crashing_parts.intersection(parts)):
            cause = part.encode()
        if cause:
            await asyncio.sleep(self.crash_delay_s)
            self.break_down(cause)
            return web.Response()
        if self.fault == "stray":
            return web.Response(
                headers=response_headers | {"Carobspring-Attempt-Id": "other"}
            )
        if self.fault == "endless":
            await self._send_endless_body(request)
        if self.fault == "hang":
            await asyncio.sleep(60)
        if self.fault == "cut":
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        if self.fault == "error":
            return web.Response(status=500, headers=response_headers, text="failed")
        _, _, seconds = request.path.partition(LASTING_MARK)
        lasting_s = float(seconds or 0.0)
        if request.path.startswith(("/stream/", "/model/")):
            return await self._send_stream(request, run, response_headers, lasting_s)
        await asyncio.sleep(lasting_s or self.response_delay_s)
        if self.response_bytes:
            return web.Response(
                headers=response_headers, body=bytes(self.response_bytes)
            )
        return web.Response(
            headers=response_headers, text=f"{request.method} {attempt_id}"
        )

    def _should_fail(self) -> bool:
        run_count = self.run_counts.total()
        return int(run_count * self.error_share) > int(
            (run_count - 1) * self.error_share
        )

    async def _send_endless_body(self, request: web.Request) -> None:
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        transport.write(ENDLESS_HEAD)
        while not transport.is_closing():
            if transport.get_write_buffer_size() < len(ENDLESS_CHUNK):
                transport.write(ENDLESS_CHUNK)
            await asyncio.sleep(0.001)

    async def _send_stream(
        self,
        request: web.Request,
        run: ServerRun,
        response_headers: dict[str, str],
        lasting_s: float,
    ) -> web.StreamResponse:
        last_number = int(request.headers.get("Last-Event-Id", "0"))
        if not last_number:
            self._begun_streams.add(run.attempt_id)
        odd = self._choose_odd_continuation(run.attempt_id, last_number)
        if odd is not None:
            self.odd_responses.append((run.attempt_id, self.odd_continuation))
            run.is_sound = False
            return await self._send_odd_continuation(request, response_headers, odd)
        run.adds_nothing = last_number >= self.event_count
        cut_after = 0 if last_number else self.cut_after_events
        interval_s = lasting_s / self.event_count or self.event_interval_s
        response = web.StreamResponse(headers=response_headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(last_number + 1, self.event_count + 1):
            event = StreamEvent(number=number, version=self.version)
            await response.write(format_event(event))
            await asyncio.sleep(interval_s)
            if number == cut_after:
                run.is_sound = False
                assert request.transport is not None
                request.transport.abort()
                return response
        await response.write_eof()
        return response

    def _choose_odd_continuation(
        self, attempt_id: str, last_number: int
    ) -> OddContinuation | None:
        name = self.odd_continuation
        if not name or not last_number:
            return None
        if name in OWN_ANSWERS and attempt_id not in self._begun_streams:
            return None
        odd = build_odd_continuations(last_number, self.version)
        return odd[name]

    async def _send_odd_continuation(
        self,
        request: web.Request,
        response_headers: dict[str, str],
        odd: OddContinuation,
    ) -> web.StreamResponse:
        headers = dict(response_headers)
        if not odd.is_signed:
            del headers["Carobspring-Upstream-Signature"]
        response = web.StreamResponse(status=odd.status, headers=headers)
        response.content_type = odd.content_type
        await response.prepare(request)
        await response.write(odd.body)
        while odd.is_endless:
            await response.write(odd.body)
            await asyncio.sleep(0.001)
        await response.write_eof()
        return response
