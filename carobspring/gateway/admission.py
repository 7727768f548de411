"""Asks the gates of engines for room before long prompts are sent."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from carobspring.adapters.gate_link import GateLink
from carobspring.adapters.rpc import ChannelOpener
from carobspring.dispatch import Dispatcher, DispatchQuery, Placement
from carobspring.domain import Address, parse_address
from carobspring.protocol import (
    AdmissionAsk,
    AdmissionDecision,
    AdmissionLeft,
    AdmissionUpdate,
)
from carobspring.routing import score_server

#: Seconds without a word of a host after which a request doesn't wait for it:
#: a host says something every quarter second while one waits.
HOST_SILENCE_S: Final = 0.8

logger = logging.getLogger(__name__)


class AdmissionOutcome(str, Enum):
    """What a gate said."""

    #: The request may be sent now.
    ADMITTED = "admitted"
    #: The engine can't begin it in time.
    REJECTED = "turned_away"
    #: No gate answers for the engine: the request may be sent.
    UNAVAILABLE = "unguarded"


@dataclass(frozen=True, kw_only=True)
class AdmissionResult:
    """A gate's answer."""

    outcome: AdmissionOutcome
    #: Expected wait of a request that was turned away, seconds.
    expected_wait_s: float = 0.0


UNAVAILABLE: Final = AdmissionResult(outcome=AdmissionOutcome.UNAVAILABLE)


@dataclass(kw_only=True)
class _GateHost:
    """A control replica that keeps gates, and what was asked there."""

    link: GateLink
    heard_at: float = float("-inf")
    #: True from a request that it kept waiting without a word until it is
    #: heard again; its gates are then found elsewhere.
    silent: bool = False
    #: Requests that wait for a decision.
    waiting: dict[str, asyncio.Future[AdmissionResult]] = field(default_factory=dict)
    #: Requests admitted whose prompt is not known to be read, to the engine.
    unread: dict[str, str] = field(default_factory=dict)


class AdmissionClient:
    """The gates of all engines, as one entry finds them.

    The gate of an engine is kept by one of the control replicas; by
    rendezvous hashing all entries find the same one while they reach the
    same replicas. A gate only advises: where none answers, requests go
    without it, and the engine itself says whether it has run them.
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
        self._hosts: dict[str, _GateHost] = {}

    def update_hosts(self, names: Iterable[str]) -> None:
        """Follow these control replicas, by ``host:port``, and no others."""
        names = set(names)
        for name in sorted(set(self._hosts) - names):
            self._remove(name)
        for name in sorted(names - set(self._hosts)):
            self._add(name)

    def close(self) -> None:
        """End all streams."""
        self.update_hosts(())

    async def request_admission(
        self, query: DispatchQuery, placed: Placement
    ) -> AdmissionResult:
        """Return whether a request may go to an engine, once that is known."""
        server_id, request_id = placed.server.server_id, query.request_id
        now = self._read_clock()
        host = self._find_host(server_id)
        if host is None or request_id in host.waiting:
            return UNAVAILABLE
        tokens = round(placed.unread_tokens)
        due_at = min(query.due_at, query.deadline)
        host.link.ask(
            AdmissionAsk(
                request_id=request_id,
                server_id=server_id,
                rank=query.priority,
                unread_tokens=tokens,
                target_left_ms=round((due_at - now) * 1000),
                deadline_left_ms=round((query.deadline - now) * 1000),
            )
        )
        answer: asyncio.Future[AdmissionResult] = asyncio.Future()
        host.waiting[request_id] = answer
        self._dispatcher.note_admission_asked(server_id, request_id, tokens)
        admission = UNAVAILABLE
        try:
            admission = await self._wait(host, answer, now)
            return admission
        finally:
            self._dispatcher.note_admission_answered(server_id, request_id)
            host.waiting.pop(request_id, None)
            if admission.outcome is AdmissionOutcome.ADMITTED:
                host.unread[request_id] = server_id
            elif admission.outcome is AdmissionOutcome.UNAVAILABLE:
                # The caller left, or the host is silent.
                self._tell_left(host, server_id, request_id)

    def release(self, server_id: str, request_id: str) -> None:
        """Note that a prompt is read, or that its request has ended."""
        for host in self._hosts.values():
            if host.unread.get(request_id) == server_id:
                del host.unread[request_id]
                self._tell_left(host, server_id, request_id)

    def _add(self, name: str) -> None:
        address: Address = parse_address("replica", name)

        def take(update: AdmissionUpdate | None) -> None:
            self._take(name, update)

        link = GateLink(address=address, open_channel=self._open_channel, take=take)
        self._hosts[name] = _GateHost(link=link)
        link.start()

    def _remove(self, name: str) -> None:
        host = self._hosts.pop(name)
        host.link.close()
        self._resolve_unavailable(host)

    def _find_host(self, server_id: str) -> _GateHost | None:
        found = [
            name
            for name, host in self._hosts.items()
            if host.link.connected and not host.silent
        ]
        if not found:
            return None
        return self._hosts[max(found, key=lambda n: score_server(0, n + server_id))]

    async def _wait(
        self, host: _GateHost, answer: asyncio.Future[AdmissionResult], began: float
    ) -> AdmissionResult:
        while not answer.done():
            now = self._read_clock()
            silent_s = now - max(host.heard_at, began)
            if silent_s >= HOST_SILENCE_S:
                host.silent = True
                extra = {"gate_host": str(host.link.address), "silent_s": silent_s}
                logger.warning("gate host is silent", extra=extra)
                return UNAVAILABLE
            await asyncio.wait({answer}, timeout=HOST_SILENCE_S - silent_s)
        return answer.result()

    def _take(self, name: str, update: AdmissionUpdate | None) -> None:
        host = self._hosts.get(name)
        if host is None:
            return
        if update is None:
            self._resolve_unavailable(host)
            return
        now = host.heard_at = self._read_clock()
        host.silent = False
        for decision in update.decisions:
            self._decide(host, decision)
        for server_id, load in (update.loads or {}).items():
            self._dispatcher.note_backlog(server_id, load, now)

    def _decide(self, host: _GateHost, decision: AdmissionDecision) -> None:
        # One that nobody waits for any more has been told as left.
        answer = host.waiting.pop(decision.request_id, None)
        if answer is None or answer.done():
            return
        outcome = AdmissionOutcome.REJECTED
        if decision.admitted:
            outcome = AdmissionOutcome.ADMITTED
        admission = AdmissionResult(
            outcome=outcome, expected_wait_s=decision.wait_ms / 1000
        )
        answer.set_result(admission)

    def _resolve_unavailable(self, host: _GateHost) -> None:
        """Let requests go that no gate will answer."""
        for answer in host.waiting.values():
            if not answer.done():
                answer.set_result(UNAVAILABLE)
        host.waiting.clear()
        host.unread.clear()

    def _tell_left(self, host: _GateHost, server_id: str, request_id: str) -> None:
        left = AdmissionLeft(request_id=request_id, server_id=server_id)
        host.link.tell_left(left)
