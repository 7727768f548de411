"""Client of the admission controllers of model engines.

The RPC service and the log fields call a controller a gate.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Final

from carobspring.adapters.admission_stream import AdmissionStream
from carobspring.adapters.rpc import ChannelOpener
from carobspring.dispatch import Dispatcher, DispatchQuery, Placement
from carobspring.domain import Address, BackendServer, parse_address
from carobspring.protocol import (
    AdmissionDecision,
    AdmissionRelease,
    AdmissionRequest,
    AdmissionUpdate,
)
from carobspring.routing import score_server

#: Seconds without an update after which a request stops waiting for a host. A
#: host sends an update every quarter second while a request waits.
HOST_SILENCE_S: Final = 0.8

logger = logging.getLogger(__name__)


class AdmissionOutcome(str, Enum):
    """What an admission controller decided about a request."""

    #: The request may be sent now.
    ADMITTED = "admitted"
    #: The engine can't start the request in time.
    REJECTED = "turned_away"
    #: No controller responds for the engine; the request may be sent.
    UNAVAILABLE = "unguarded"


@dataclass(frozen=True, kw_only=True)
class AdmissionResult:
    """The result of a request for admission."""

    outcome: AdmissionOutcome
    #: Expected wait if the request was rejected, seconds.
    expected_wait_s: float = 0.0


UNAVAILABLE: Final = AdmissionResult(outcome=AdmissionOutcome.UNAVAILABLE)


@dataclass(kw_only=True)
class _AdmissionHost:
    """A control replica with admission controllers, and its open requests."""

    stream: AdmissionStream
    last_update_at: float = float("-inf")
    #: Set when the host sends no update while a request waits, and cleared by
    #: its next update. Other hosts serve its engines while it is set.
    is_silent: bool = False
    #: Requests that wait for a decision, by identifier.
    waiting: dict[str, asyncio.Future[AdmissionResult]] = field(default_factory=dict)
    #: Engine of each admitted request whose prompt may still be unread.
    unread_requests: dict[str, str] = field(default_factory=dict)


class AdmissionClient:
    """Requests admission to engines before long prompts are sent.

    One of the control replicas hosts the admission controller of an engine,
    one in the engine's availability zone if there is any. Rendezvous hashing
    lets all entries choose the same host as long as they reach the same
    replicas. Admission is advisory: if no host responds, a request is sent
    without it, and the engine itself reports whether it has run the request.
    """

    def __init__(
        self,
        *,
        open_channel: ChannelOpener,
        dispatcher: Dispatcher,
        read_clock: Callable[[], float],
    ) -> None:
        self._open_channel = open_channel
        self._dispatcher = dispatcher
        self._read_clock = read_clock
        self._hosts: dict[str, _AdmissionHost] = {}
        self._zones: Mapping[str, str] = {}

    def update_hosts(
        self, names: Iterable[str], zones: Mapping[str, str] | None = None
    ) -> None:
        """Connect to these control replicas (``host:port``) and no others.

        ``zones`` gives their availability zones, as far as they are known.
        """
        names = set(names)
        self._zones = zones or {}
        for name in sorted(set(self._hosts) - names):
            self._remove_host(name)
        for name in sorted(names - set(self._hosts)):
            self._add_host(name)

    def close(self) -> None:
        """Close all streams."""
        self.update_hosts(())

    async def request_admission(
        self, query: DispatchQuery, placement: Placement
    ) -> AdmissionResult:
        """Wait for the decision whether a request may be sent to an engine."""
        server_id, request_id = placement.server.server_id, query.request_id
        host = self._find_host(placement.server)
        if host is None or request_id in host.waiting:
            return UNAVAILABLE
        tokens = round(placement.unread_tokens)
        self._dispatcher.record_admission_request(server_id, request_id, tokens)
        request = replace(
            self._build_request(query, placement.server), unread_tokens=tokens
        )
        try:
            admission = await self._ask(host, request)
        finally:
            self._dispatcher.record_admission_end(server_id, request_id)
        if admission.outcome is AdmissionOutcome.ADMITTED:
            host.unread_requests[request_id] = server_id
        return admission

    async def request_permit(
        self, query: DispatchQuery, placement: Placement, rate_limit: float
    ) -> AdmissionResult:
        """Wait for a permit for a server that limits its requests."""
        host = self._find_host(placement.server)
        if host is None or query.request_id in host.waiting:
            return UNAVAILABLE
        request = replace(
            self._build_request(query, placement.server),
            rate_limit=rate_limit,
            may_wait=placement.may_wait,
        )
        return await self._ask(host, request)

    def release(self, server_id: str, request_id: str) -> None:
        """End an admission: the prompt is read, or the request has ended."""
        for host in self._hosts.values():
            if host.unread_requests.get(request_id) == server_id:
                del host.unread_requests[request_id]
                self._send_release(host, server_id, request_id)

    def _add_host(self, name: str) -> None:
        address: Address = parse_address("replica", name)

        def handle_update(update: AdmissionUpdate | None) -> None:
            self._handle_update(name, update)

        stream = AdmissionStream(
            address=address, open_channel=self._open_channel, on_update=handle_update
        )
        self._hosts[name] = _AdmissionHost(stream=stream)
        stream.start()

    def _remove_host(self, name: str) -> None:
        host = self._hosts.pop(name)
        host.stream.close()
        self._resolve_unavailable(host)

    def _build_request(
        self, query: DispatchQuery, server: BackendServer
    ) -> AdmissionRequest:
        now = self._read_clock()
        target_at = min(query.due_at, query.deadline)
        return AdmissionRequest(
            request_id=query.request_id,
            server_id=server.server_id,
            rank=query.priority,
            target_left_ms=round((target_at - now) * 1000),
            deadline_left_ms=round((query.deadline - now) * 1000),
        )

    async def _ask(
        self, host: _AdmissionHost, request: AdmissionRequest
    ) -> AdmissionResult:
        """Send a host a request and wait for its decision."""
        request_id = request.request_id
        host.stream.send_request(request)
        future: asyncio.Future[AdmissionResult] = asyncio.Future()
        host.waiting[request_id] = future
        result = UNAVAILABLE
        try:
            result = await self._wait_for_decision(host, future, self._read_clock())
            return result
        finally:
            host.waiting.pop(request_id, None)
            if result.outcome is AdmissionOutcome.UNAVAILABLE:
                # The caller left, or the host does not respond.
                self._send_release(host, request.server_id, request_id)

    def _find_host(self, server: BackendServer) -> _AdmissionHost | None:
        available = [
            name
            for name, host in self._hosts.items()
            if host.stream.connected and not host.is_silent
        ]
        if not available:
            return None
        near = [name for name in available if self._zones.get(name) == server.zone]
        return self._hosts[
            max(
                near or available,
                key=lambda name: score_server(0, name + server.server_id),
            )
        ]

    async def _wait_for_decision(
        self,
        host: _AdmissionHost,
        future: asyncio.Future[AdmissionResult],
        started_at: float,
    ) -> AdmissionResult:
        while not future.done():
            now = self._read_clock()
            silence_s = now - max(host.last_update_at, started_at)
            if silence_s >= HOST_SILENCE_S:
                host.is_silent = True
                extra = {"gate_host": str(host.stream.address), "silent_s": silence_s}
                logger.warning("admission host does not respond", extra=extra)
                return UNAVAILABLE
            await asyncio.wait({future}, timeout=HOST_SILENCE_S - silence_s)
        return future.result()

    def _handle_update(self, name: str, update: AdmissionUpdate | None) -> None:
        host = self._hosts.get(name)
        if host is None:
            return
        if update is None:
            self._resolve_unavailable(host)
            return
        now = host.last_update_at = self._read_clock()
        host.is_silent = False
        for decision in update.decisions:
            self._resolve(host, decision)
        for server_id, load in (update.loads or {}).items():
            self._dispatcher.record_engine_load(server_id, load, now)

    def _resolve(self, host: _AdmissionHost, decision: AdmissionDecision) -> None:
        # A request that no longer waits was already released at the host.
        future = host.waiting.pop(decision.request_id, None)
        if future is None or future.done():
            return
        outcome = AdmissionOutcome.REJECTED
        if decision.admitted:
            outcome = AdmissionOutcome.ADMITTED
        admission = AdmissionResult(
            outcome=outcome, expected_wait_s=decision.wait_ms / 1000
        )
        future.set_result(admission)

    def _resolve_unavailable(self, host: _AdmissionHost) -> None:
        """End the waits of all requests at a host that won't answer them."""
        for future in host.waiting.values():
            if not future.done():
                future.set_result(UNAVAILABLE)
        host.waiting.clear()
        host.unread_requests.clear()

    def _send_release(
        self, host: _AdmissionHost, server_id: str, request_id: str
    ) -> None:
        release = AdmissionRelease(request_id=request_id, server_id=server_id)
        host.stream.send_release(release)
