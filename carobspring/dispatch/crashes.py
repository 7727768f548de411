"""Attribution of crashed backend servers to the requests that ran there."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from carobspring.domain import BackendServer
from carobspring.membership import CauseKey, ServerRun

#: Broken runs and crashed servers that are remembered.
MAX_BROKEN_RUNS: Final = 1_000
MAX_CRASHED_SERVERS: Final = 1_000
#: Addresses and identifiers whose last server is remembered.
MAX_LISTED: Final = 10_000


@dataclass(frozen=True, kw_only=True, eq=False)
class OpenRun:
    """A request that was sent to a backend server and has not ended."""

    server_run: ServerRun
    #: Returns the keys of the request and of its prompt's parts, which costs
    #: a hash of its body.
    list_causes: Callable[[], tuple[CauseKey, ...]]
    #: Whether a server already crashed under this request.
    is_suspect: bool
    #: Whether it was sent to find out what it does, after a hold.
    is_trial: bool = False
    #: Stops the run, unless its answer has begun.
    stop: Callable[[], None] = lambda: None


@dataclass(frozen=True, kw_only=True)
class _BrokenRun:
    """A run that ended without a response."""

    server_run: ServerRun
    causes: tuple[CauseKey, ...]
    ended_at: float


class CrashAttribution:
    """Finds the requests that ran on a server when it crashed.

    That a connection ended is no proof: links are reset, and servers close
    connections. A crash is proved by a refused connection afterwards, or by a
    later start of the server. Until then a run that ended without a response
    is remembered for ``evidence_s``.

    Example:
        ``run = attribution.begin(server, list_causes)``, then
        ``attribution.end(run, is_broken=True, now)``, and
        ``attribution.record_crash(run.server_run, now)`` once it is proved.
    """

    def __init__(self, *, evidence_s: float) -> None:
        self._evidence_s = evidence_s
        self._open: dict[ServerRun, dict[OpenRun, None]] = {}
        self._broken: deque[_BrokenRun] = deque(maxlen=MAX_BROKEN_RUNS)
        self._crashed: OrderedDict[ServerRun, None] = OrderedDict()
        #: The last listed server at each address and of each identifier, and
        #: whether it was draining.
        self._listed: OrderedDict[str, tuple[ServerRun, bool]] = OrderedDict()
        #: Runs of servers that announced that they leave.
        self._leaving: OrderedDict[ServerRun, None] = OrderedDict()

    def begin(
        self,
        server: BackendServer,
        list_causes: Callable[[], tuple[CauseKey, ...]],
        *,
        is_suspect: bool = False,
        is_trial: bool = False,
        stop: Callable[[], None] = lambda: None,
    ) -> OpenRun:
        """Record that a request is sent to a server."""
        run = OpenRun(
            server_run=(server.server_id, server.boot),
            list_causes=list_causes,
            is_suspect=is_suspect,
            is_trial=is_trial,
            stop=stop,
        )
        self._open.setdefault(run.server_run, {})[run] = None
        return run

    def end(self, run: OpenRun, *, is_broken: bool, now: float) -> tuple[CauseKey, ...]:
        """Record the end of a run; return its causes if its server crashed."""
        runs = self._open.get(run.server_run, {})
        if run not in runs:
            # A crash of the server was already attributed to it.
            return ()
        del runs[run]
        if not runs:
            del self._open[run.server_run]
        if not is_broken:
            return ()
        causes = run.list_causes()
        if run.server_run in self._crashed:
            return causes
        broken = _BrokenRun(server_run=run.server_run, causes=causes, ended_at=now)
        self._broken.append(broken)
        return ()

    def record_crash(self, server_run: ServerRun, now: float) -> tuple[CauseKey, ...]:
        """Record a proved crash; return the causes that it may have."""
        self._crashed[server_run] = None
        self._crashed.move_to_end(server_run)
        while len(self._crashed) > MAX_CRASHED_SERVERS:
            self._crashed.popitem(last=False)
        causes = [
            cause
            for run in self._open.pop(server_run, {})
            for cause in run.list_causes()
        ]
        kept: deque[_BrokenRun] = deque(maxlen=MAX_BROKEN_RUNS)
        for run in self._broken:
            if now - run.ended_at > self._evidence_s:
                continue
            if run.server_run == server_run:
                causes.extend(run.causes)
            else:
                kept.append(run)
        self._broken = kept
        return tuple(dict.fromkeys(causes))

    def record_listed(
        self, server: BackendServer, *, draining: bool
    ) -> ServerRun | None:
        """Record a listed server; return the run that must have crashed.

        That is the one before it at its address or of its identifier, unless
        it was draining, in which case it has left as planned.
        """
        server_run = (server.server_id, server.boot)
        draining |= self.is_leaving(server)
        crashed = None
        for place in (f"{server.host}:{server.port}", server.server_id):
            previous, was_draining = self._listed.get(place, (server_run, False))
            is_later = server.boot > previous[1]
            if previous != server_run and is_later and not was_draining:
                crashed = previous
            self._listed[place] = (server_run, draining)
            self._listed.move_to_end(place)
        while len(self._listed) > MAX_LISTED:
            self._listed.popitem(last=False)
        return crashed

    def record_leaving(self, server: BackendServer) -> None:
        """Record that a server announced that it leaves, as planned."""
        self._leaving[server.server_id, server.boot] = None
        while len(self._leaving) > MAX_LISTED:
            self._leaving.popitem(last=False)
        self.record_listed(server, draining=True)

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether this start of a server announced that it leaves."""
        return (server.server_id, server.boot) in self._leaving

    def list_open(self) -> tuple[OpenRun, ...]:
        """Return the runs that have not ended."""
        return tuple(run for runs in self._open.values() for run in runs)

    def list_suspect_servers(self) -> frozenset[str]:
        """Return the servers where suspects of this entry run."""
        return frozenset(
            server_run[0]
            for server_run, runs in self._open.items()
            if any(run.is_suspect for run in runs)
        )
