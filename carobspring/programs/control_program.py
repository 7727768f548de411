"""``carob-control``: settings, membership, unique calls and admin API."""

import asyncio
import functools
import logging
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from grpclib.server import Server
from msgspec import Meta

from carobspring.adapters.byte_budget import ByteBudget
from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.disk import DiskStorage
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.memory_plan import DEFAULT_MEMORY_MB, plan_memory
from carobspring.adapters.metrics import Metrics
from carobspring.adapters.rpc import RpcService, build_server
from carobspring.adapters.tasks import start_service_task
from carobspring.control import (
    AdminApi,
    AdminRoutes,
    ClaimExpiry,
    ClaimService,
    CommandProposer,
    ControlMetrics,
    ControlState,
    GossipExchange,
    LocalLog,
    ReplicaRoutes,
    RpcPeer,
    WatchService,
    parse_operator_tokens,
    parse_peers,
)
from carobspring.control.reports import ReplicaStatus
from carobspring.domain import DomainError
from carobspring.ports import HttpLimits, ReplicatedLog
from carobspring.programs.options import OptionError
from carobspring.programs.replica import Replica
from carobspring.programs.runner import Program, run_command_line
from carobspring.programs.stopping import StopStep, cancel_tasks

TICK_INTERVAL_S = 0.1
DRAIN_TIMEOUT_S = 5.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class ControlOptions:
    """Run one replica of the control plane.

    Each flag also has a variable: CAROB_RPC_PORT for --rpc-port.

    Args:
        replica_id: Name of this replica, the same after a restart.
        zone: Availability zone that this replica runs in.
        host: IP address to listen on.
        rpc_port: Port for entries, agents and other replicas; 0 selects a
            free port.
        admin_port: Port of the admin API; 0 selects a free port.
        data_dir: Directory of the log and snapshots; if empty, all state is
            kept in memory, for trials with one replica.
        peers: All replicas, this one included, as ID=HOST:PORT separated by
            commas; empty for one replica.
        secret: Shared secret of the system's processes.
        operator_token: Token of the sole operator, at least 16 characters.
        operators: NAME=HASH pairs as printed by `carobctl operator new NAME`.
        memory_mb: Memory in MB that the process may use; it bounds what
            operators hold in it, and their connections.
        log_format: text or json.
        log_level: DEBUG, INFO, WARNING or ERROR.
    """

    secret: Annotated[str, Meta(min_length=8)]
    replica_id: Annotated[str, Meta(min_length=1, max_length=63)] = "control-1"
    zone: Annotated[str, Meta(min_length=1, max_length=63)] = "a"
    host: str = "127.0.0.1"
    rpc_port: Annotated[int, Meta(ge=0, le=65535)] = 7100
    admin_port: Annotated[int, Meta(ge=0, le=65535)] = 7101
    data_dir: str = ""
    peers: str = ""
    operator_token: str = ""
    operators: str = ""
    memory_mb: Annotated[int, Meta(ge=64, le=1024 * 1024)] = DEFAULT_MEMORY_MB
    log_format: Annotated[str, Meta(pattern="^(text|json)$")] = "text"
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class ControlProgram(Program):
    """One replica of the control plane."""

    def __init__(self, options: ControlOptions) -> None:
        self._options = options
        self._clock = SystemClock()
        self.state = ControlState(replica_id=options.replica_id, clock=self._clock)
        self._peers: dict[str, RpcPeer] = {}
        self._replica: Replica | None = None
        self._storage: DiskStorage | None = None
        try:
            self._operator_tokens = parse_operator_tokens(
                operators=options.operators, operator_token=options.operator_token
            )
            self.log = self._build_log()
        except DomainError as error:
            field = getattr(error, "field", "options")
            raise OptionError(
                name=field, source=f"--{field}", reason=str(error)
            ) from error
        self.proposer = CommandProposer(
            log=self.log, peers=dict(self._peers), clock=self._clock
        )
        metrics = Metrics(labels={"replica": options.replica_id, "zone": options.zone})
        self._metrics = ControlMetrics(metrics=metrics, state=self.state, log=self.log)
        self._claim_expiry = ClaimExpiry(
            state=self.state, proposer=self.proposer, is_leader=self.log.is_leader
        )
        self._gossip: GossipExchange | None = None
        if self._replica is not None:
            self._gossip = GossipExchange(state=self.state, transport=self._replica)
        self._rpc_server: Server | None = None
        self._admin_server: CircuitsHttpServer | None = None
        self._tick_task: asyncio.Task[None] | None = None

    async def start(self) -> dict[str, int]:
        """Listen for entries, agents, other replicas and operators."""
        options = self._options
        watch_service = WatchService(state=self.state, proposer=self.proposer)
        claim_service = ClaimService(state=self.state, proposer=self.proposer)
        services: list[Any] = [
            watch_service.build_service(),
            claim_service.build_service(),
        ]
        if self._replica is not None:
            services.append(RpcService(self._replica.list_methods()))
        self._rpc_server = build_server(services=services, secret=options.secret)
        await self._rpc_server.start(options.host, options.rpc_port)
        if self._replica is not None:
            await self._replica.start()
        self._admin_server = CircuitsHttpServer(
            host=options.host,
            port=options.admin_port,
            handler=self._build_admin_api().handle,
            limits=HttpLimits(),
            budget=ByteBudget(plan=plan_memory(memory_mb=options.memory_mb)),
        )
        await self._admin_server.start()
        self._tick_task = start_service_task(self._tick_periodically, name="tick")
        return {
            "rpc": get_bound_port(self._rpc_server),
            "admin": self._admin_server.port,
        }

    def list_stop_steps(self) -> Sequence[StopStep]:
        """Transfer leadership, complete open requests, and close."""
        steps = []
        if self._replica is not None:
            steps.append(StopStep(name="leadership", run=self._transfer_leadership))
        steps.append(StopStep(name="streams", run=self._redirect_streams))
        if self._admin_server is not None:
            drain = functools.partial(self._admin_server.drain, DRAIN_TIMEOUT_S)
            steps.append(StopStep(name="drain", run=drain))
            steps.append(StopStep(name="server", run=self._admin_server.close))
        if self._tick_task is not None:
            tick = functools.partial(cancel_tasks, (self._tick_task,))
            steps.append(StopStep(name="tick", run=tick))
        if self._replica is not None:
            steps.append(StopStep(name="replica", run=self._replica.stop))
        if self._rpc_server is not None:
            steps.append(StopStep(name="rpc server", run=self._rpc_server.close))
            wait = self._rpc_server.wait_closed
            steps.append(StopStep(name="rpc streams", run=wait))
        for peer in self._peers.values():
            steps.append(StopStep(name="peer", run=peer.close))
        if self._storage is not None:
            steps.append(StopStep(name="storage", run=self._storage.close))
        return steps

    async def _transfer_leadership(self) -> None:
        replica = self._replica
        if replica is not None and replica.is_leader() and self._peers:
            is_transferred = await replica.transfer_leadership()
            logger.info("leadership transferred: %s", is_transferred)

    def _redirect_streams(self) -> None:
        self.state.draining = True
        self.state.notify_all_streams()

    def _build_log(self) -> ReplicatedLog:
        options = self._options
        addresses = parse_peers(options.peers)
        if not options.data_dir:
            if addresses:
                raise OptionError(
                    name="data_dir",
                    source="--data_dir",
                    reason="is needed when --peers is given",
                )
            return LocalLog(replica_id=options.replica_id, machine=self.state.machine)
        if addresses and options.replica_id not in addresses:
            raise OptionError(
                name="peers",
                source="--peers",
                reason=f"does not name this replica, {options.replica_id}",
            )
        self._storage = DiskStorage(Path(options.data_dir))
        self._replica = Replica(
            name=options.replica_id,
            peers=addresses,
            bootstrap=True,
            storage=self._storage,
            clock=self._clock,
            random=SystemRandom(),
            machine=self.state.machine,
            secret=options.secret,
        )
        self._peers = {
            name: RpcPeer(address=address, secret=options.secret)
            for name, address in addresses.items()
            if name != options.replica_id
        }
        return self._replica

    def _build_admin_api(self) -> AdminApi:
        routes = AdminRoutes(
            state=self.state,
            proposer=self.proposer,
            log=self.log,
            list_replicas=self._list_replicas,
        )
        all_routes = routes.list_routes()
        if self._replica is not None:
            all_routes |= ReplicaRoutes(replica=self._replica).list_routes()
        return AdminApi(
            tokens=self._operator_tokens,
            routes=all_routes,
            is_ready=lambda: bool(self.log.find_leader()) and not self.state.draining,
            render_metrics=self._metrics.render_text,
        )

    def _list_replicas(self) -> tuple[ReplicaStatus, ...]:
        if self._replica is None:
            return ()
        members = self._replica.node.configuration.members
        return tuple(
            ReplicaStatus(name=each.name, identity=each.identity, votes=each.voter)
            for each in sorted(members, key=lambda each: each.name)
        )

    async def _tick_periodically(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock.read_monotonic()
            self.state.expire_leases(now)
            if self._gossip is not None:
                self._gossip.tick(now)
            self._claim_expiry.tick(now)


def get_bound_port(server: Server) -> int:
    """Return the port on which a gRPC server listens."""
    grpc_server: Any = server._server
    return int(grpc_server.sockets[0].getsockname()[1])


def main() -> None:
    """Run ``carob-control``."""
    run_command_line("carob-control", ControlProgram, ControlOptions)
