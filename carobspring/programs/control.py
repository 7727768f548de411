"""``carob-control``: settings, membership, unique calls, the admin API."""

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Annotated

from grpclib.server import Server
from msgspec import Meta

from carobspring.adapters.clock import SystemClock
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.metrics import Metrics
from carobspring.adapters.rpc import build_server
from carobspring.control import (
    AdminApi,
    ClaimService,
    CommandProposer,
    ControlState,
    LocalLog,
    WatchService,
)
from carobspring.control.admin_routes import AdminRoutes
from carobspring.control.operators import read_operator_tokens
from carobspring.ports import HttpLimits, ReplicatedLog
from carobspring.programs.runner import Program, run_command_line

TICK_INTERVAL_S = 0.1
DRAIN_TIMEOUT_S = 5.0


@dataclass(frozen=True, kw_only=True)
class ControlOptions:
    """Runs one replica of the control plane.

    replica_id: name of this replica, the same after a restart.
    zone: availability zone that this replica is in.
    host: IP number to listen on.
    rpc_port: port for entries, agents and other replicas; 0 takes a free one.
    admin_port: port of the admin API; 0 takes a free one.
    data_dir: folder of the log and snapshots; empty keeps all in memory.
    peers: every replica as ID=HOST:PORT with commas between; empty for one.
    secret: shared by all programs; must be the same everywhere.
    operator_token: token of the sole operator, at least 16 characters.
    operators: NAME=HASH pairs as `carobctl operator new NAME` prints them.
    log_format: text or json.
    log_level: DEBUG, INFO, WARNING or ERROR.
    """

    replica_id: Annotated[str, Meta(min_length=1)] = "control-1"
    zone: Annotated[str, Meta(min_length=1)] = "a"
    host: str = "127.0.0.1"
    rpc_port: Annotated[int, Meta(ge=0, le=65535)] = 7100
    admin_port: Annotated[int, Meta(ge=0, le=65535)] = 7101
    data_dir: str = ""
    peers: str = ""
    secret: Annotated[str, Meta(min_length=8)] = "carob-loopback"
    operator_token: str = ""
    operators: str = ""
    log_format: str = "text"
    log_level: str = "INFO"


class ControlProgram(Program):
    """One replica of the control plane, composed from its parts."""

    def __init__(self, options: ControlOptions) -> None:
        self._options = options
        self._tokens = read_operator_tokens(
            operators=options.operators, operator_token=options.operator_token
        )
        clock = SystemClock()
        self._metrics = Metrics()
        self._state = ControlState(replica_id=options.replica_id, clock=clock)
        self._log: ReplicatedLog = LocalLog(
            replica_id=options.replica_id, machine=self._state.machine
        )
        self.proposer = CommandProposer(log=self._log, peers={}, clock=clock)
        self._rpc: Server | None = None
        self._admin: CircuitsHttpServer | None = None
        self._ticker: asyncio.Task[None] | None = None

    async def start(self) -> dict[str, int]:
        """Listen for entries, agents and operators."""
        options = self._options
        watch = WatchService(state=self._state, proposer=self.proposer)
        claims = ClaimService(state=self._state, proposer=self.proposer)
        services = [watch.build_service(), claims.build_service()]
        self._rpc = build_server(services=services, secret=options.secret)
        await self._rpc.start(options.host, options.rpc_port)
        routes = AdminRoutes(state=self._state, proposer=self.proposer, log=self._log)
        api = AdminApi(
            tokens=self._tokens,
            routes=routes.list_routes(),
            is_ready=lambda: bool(self._log.find_leader()),
            render_metrics=self._metrics.render_text,
        )
        self._admin = CircuitsHttpServer(
            host=options.host,
            port=options.admin_port,
            handler=api.handle,
            limits=HttpLimits(),
        )
        await self._admin.start()
        self._ticker = asyncio.ensure_future(self._run_ticks())
        return {"rpc": find_port(self._rpc), "admin": self._admin.port}

    async def stop(self) -> None:
        """End the streams, answer what was begun, and close."""
        self._state.draining = True
        self._state.wakeups.wake_all()
        if self._admin is not None:
            await self._admin.drain(DRAIN_TIMEOUT_S)
            await self._admin.close()
        if self._ticker is not None:
            self._ticker.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._ticker
        if self._rpc is not None:
            self._rpc.close()
            await self._rpc.wait_closed()

    async def _run_ticks(self) -> None:
        state = self._state
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = state.clock.read_monotonic()
            view = state.members.view
            state.members.expire(now)
            state.entries.expire(now)
            if state.members.view != view:
                state.wakeups.wake_all()


def find_port(server: Server) -> int:
    """Return the port that a gRPC server listens on."""
    sockets = server._server.sockets  # type: ignore[union-attr]
    return int(sockets[0].getsockname()[1])


def main() -> None:
    """Run ``carob-control``."""
    run_command_line("carob-control", ControlProgram, ControlOptions)


if __name__ == "__main__":
    main()
