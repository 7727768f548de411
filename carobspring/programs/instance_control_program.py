"""``carob-control`` on an instance of a platform: discovers its peers."""

import asyncio
import functools
import logging
import zlib
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

from grpclib.server import Server

from carobspring import platform
from carobspring.adapters.admission_service import AdmissionService
from carobspring.adapters.client_metrics import ClientMetrics
from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.discovery import DiscoveryExchange
from carobspring.adapters.disk import DiskStorage
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.metrics import Metrics, serve_metrics
from carobspring.adapters.provider_http import ProviderClient
from carobspring.adapters.rpc import RpcService, build_server
from carobspring.adapters.tasks import start_service_task, start_task
from carobspring.consensus import IDENTITY_FILE, Timing
from carobspring.control import (
    ClaimService,
    CommandProposer,
    ControlMetrics,
    ControlState,
    GossipExchange,
    Peer,
    ReplicaLocatorService,
    ReplicationMetrics,
    RpcPeer,
    WatchService,
)
from carobspring.control.discovery import DaemonDirectory, DaemonInfo
from carobspring.control.instance_api import (
    InstanceApi,
    RedirectFinder,
    find_max_body,
)
from carobspring.control.last_known_state import LastKnownStateFile
from carobspring.control.metering import CALL_TIMEOUT_S, MeteringService
from carobspring.control.state import DEFAULT_USAGE_WINDOW_S
from carobspring.platform import InstanceSettings, read_node_file
from carobspring.ports import HttpLimits
from carobspring.programs.instance_options import InstanceOptions
from carobspring.programs.node_file import (
    NodeFileWatcher,
    build_budget,
    read_instance_settings,
)
from carobspring.programs.options import OptionError
from carobspring.programs.replica_supervisor import (
    ReplicaSupervisor,
    parse_peer_address,
)
from carobspring.programs.runner import Program, run_command_line
from carobspring.programs.stalls import StallDetector, read_boot_time
from carobspring.programs.stopping import StopStep, cancel_tasks
from carobspring.protocol import RoutingConfiguration

TICK_INTERVAL_S: Final = 0.1
#: Check-in intervals that a backend server's lease lasts. A server that misses
#: this many check-ins counts as gone.
LEASE_CHECK_INS: Final = 5
#: Seconds of a stop that are left to the replica behind the drain.
REPLICA_STOP_S: Final = 2.5
#: Share of the time for catching up after which a silent voter is replaced.
REPLACEMENT_SHARE: Final = 0.5
#: Far over any configuration so far, and small enough to be held twice in the
#: memory of the smallest instance.
MAX_CONFIGURATION_BYTES: Final = 8 * 1024 * 1024

logger = logging.getLogger(__name__)


def build_timing(settings: InstanceSettings) -> Timing:
    """Return the timing of the log.

    A successor has to be caught up within the given time of its start, and
    takes part of it to start and to find the others.
    """
    default = Timing()
    replace_after_s = settings.catch_up_deadline_s * REPLACEMENT_SHARE
    return replace(
        default, replace_after_s=max(replace_after_s, default.election_timeout_s)
    )


def find_services(routing: RoutingConfiguration) -> frozenset[str] | None:
    """Return the services that a committed configuration names.

    It is None if there is no configuration, or none that can be read.
    """
    if not routing.version:
        return None
    try:
        table = platform.decode_routing_table(zlib.decompress(routing.body))
    except (platform.ConfigurationError, zlib.error) as error:
        # Unexpected: routes are validated before they are committed.
        extra = {"version": routing.version, "reason": str(error)}
        logger.error("committed routes cannot be decoded", extra=extra)
        return None
    return frozenset(table.services)


class InstanceControlProgram(Program, RedirectFinder):
    """A control daemon.

    It has a replica of the log if it has a data directory. Otherwise it
    redirects requests to a daemon that has one.
    """

    def __init__(self, options: InstanceOptions) -> None:
        self._options = options
        settings = self._settings = read_instance_settings()
        if settings.control_address is None:
            raise OptionError(
                name="listen", source="node file", reason="has no control address"
            )
        self._control_port = settings.control_address.port
        self._rpc_port = settings.internal_ports[0]
        self._name = f"{settings.ip}:{self._rpc_port}"
        self._clock = SystemClock()
        self._random = SystemRandom()
        now = self._clock.read_monotonic()
        lease_s = settings.check_in_interval_s * LEASE_CHECK_INS
        self.state = ControlState(
            replica_id=self._name,
            clock=self._clock,
            lease_s=lease_s,
            find_services=find_services,
            usage_window_s=(
                settings.provider.usage_window_s
                if settings.provider
                else DEFAULT_USAGE_WINDOW_S
            ),
        )
        self._supervisor: ReplicaSupervisor | None = None
        self._last_known_state: LastKnownStateFile | None = None
        is_empty = True
        if settings.data_directory:
            storage = DiskStorage(Path(settings.data_directory))
            is_empty = IDENTITY_FILE not in storage.list_names()
            self._last_known_state = LastKnownStateFile(
                storage=storage, state=self.state
            )
            self._last_known_state.load(lease_s=lease_s)
            self._supervisor = ReplicaSupervisor(
                name=self._name,
                storage=storage,
                clock=self._clock,
                random=self._random,
                machine=self.state.machine,
                secret=options.secret,
                timing=build_timing(settings),
            )
        self._has_log = not is_empty
        is_founding = settings.is_first_start and is_empty
        if is_founding:
            # No stream began before the first start of the whole system.
            self.state.members.versions.known_since = float("-inf")
        self.directory = DaemonDirectory(
            own_info=DaemonInfo(
                name=self._name,
                zone=settings.availability_zone,
                durable=self._supervisor is not None,
                founding=is_founding,
            ),
            seeds=self._build_seed_names(settings),
            now=now,
        )
        self._discovery = DiscoveryExchange(
            directory=self.directory,
            secret=options.secret,
            clock=self._clock,
            random=self._random,
            update_replicas=self._update_replicas,
        )
        self._peers: dict[str, Peer] = {}
        self._rpc_peers: dict[str, RpcPeer] = {}
        self._metrics = Metrics(labels={"zone": settings.availability_zone})
        self._replication_metrics = ReplicationMetrics(metrics=self._metrics)
        self._is_confirmed = False
        self._admission_service = AdmissionService(
            clock=self._clock, metrics=self._metrics
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._start_task: asyncio.Task[None] | None = None
        self._metering: MeteringService | None = None
        self._rpc_server: Server | None = None
        self._http_server: CircuitsHttpServer | None = None
        self._metrics_server: CircuitsHttpServer | None = None
        self._node_file_watcher = NodeFileWatcher(
            read=read_node_file, apply=self._apply_settings
        )

    async def start(self) -> dict[str, int]:
        """Listen, discover the other daemons, and open the log."""
        settings = self._settings
        services: list[Any] = [RpcService(self._discovery.list_methods())]
        self._gossip: GossipExchange | None = None
        if self._supervisor is not None:
            proposer = CommandProposer(
                log=self._supervisor, peers=self._peers, clock=self._clock
            )
            watch_service = WatchService(
                state=self.state,
                proposer=proposer,
                is_confirmed=self._supervisor.is_current,
                is_in_step=self._is_in_step,
            )
            services.append(watch_service.build_service())
            services.append(RpcService(self._supervisor.list_methods()))
            claim_service = ClaimService(state=self.state, proposer=proposer)
            services.append(claim_service.build_service())
            services.append(self._admission_service.build_service())
            self._gossip = GossipExchange(state=self.state, transport=self._supervisor)
            instance_api = InstanceApi(
                state=self.state,
                proposer=proposer,
                finder=self,
                started_at=self._clock.read_monotonic(),
                learning_period_s=settings.check_in_interval_s * 2,
                gossip=self._gossip,
            )
            handle = instance_api.handle
            self._metering = self._build_metering(proposer, self._supervisor)
            self._control_metrics = ControlMetrics(
                metrics=self._metrics, state=self.state, log=self._supervisor
            )
        else:
            services.append(ReplicaLocatorService(state=self.state).build_service())
            handle = RedirectApi(finder=self).handle
        self._rpc_server = build_server(services=services, secret=self._options.secret)
        await self._rpc_server.start(settings.ip, self._rpc_port)
        if self._has_log and self._supervisor is not None:
            await self._supervisor.start(peers=(self._name,), bootstrap=False)
        budget = build_budget(settings)
        self._http_server = CircuitsHttpServer(
            host=settings.ip,
            port=self._control_port,
            handler=handle,
            limits=HttpLimits(max_body_bytes=MAX_CONFIGURATION_BYTES),
            budget=budget,
            find_max_body=find_max_body,
        )
        await self._http_server.start()
        client_metrics = ClientMetrics(metrics=self._metrics, budget=budget)
        client_metrics.add_server("control", self._http_server)
        if self._options.metrics_port:
            self._metrics_server = await serve_metrics(
                host=settings.ip,
                port=self._options.metrics_port,
                render=client_metrics.wrap(self._render_metrics),
            )
            client_metrics.add_server("metrics", self._metrics_server)
        self._tasks = [
            start_service_task(self._discovery.run, name="discovery"),
            start_service_task(self._tick_periodically, name="tick"),
            start_service_task(self._admission_service.run, name="admission"),
            start_service_task(self._node_file_watcher.run, name="node file"),
            start_service_task(
                StallDetector(metrics=self._metrics).run, name="stall detector"
            ),
        ]
        if self._metering is not None:
            task = start_service_task(self._metering.run, name="metering")
            self._tasks.append(task)
        logger.info(
            "started",
            extra={
                "daemon": self._name,
                "durable": self._supervisor is not None,
                "has_log": self._has_log,
                "first_start": settings.is_first_start,
                "seeds": [str(seed) for seed in settings.seeds],
            },
        )
        return {"control": self._control_port, "rpc": self._rpc_port}

    def _build_metering(
        self, proposer: CommandProposer, supervisor: ReplicaSupervisor
    ) -> MeteringService | None:
        """Return the reporting of usage if the platform asks for it."""
        provider = self._settings.provider
        if provider is None or not provider.reports_usage:
            return None
        return MeteringService(
            settings=provider,
            holder=self._settings.instance,
            leader_lease_s=build_timing(self._settings).lease_s,
            state=self.state,
            proposer=proposer,
            leadership=supervisor,
            transport=supervisor,
            client=ProviderClient(address=provider.address, timeout_s=CALL_TIMEOUT_S),
            read_boot_time=read_boot_time,
            random=self._random,
            metrics=self._metrics,
        )

    def list_stop_steps(self) -> Sequence[StopStep]:
        """Complete open requests, transfer leadership, and close."""
        steps = [StopStep(name="begin", run=self._begin_stop)]
        if self._http_server is not None:
            # Open requests need the replica.
            drain_s = max(0.0, self._settings.stop_grace_s - REPLICA_STOP_S)
            drain = functools.partial(self._http_server.drain, drain_s)
            steps.append(StopStep(name="drain", run=drain))
            steps.append(StopStep(name="server", run=self._http_server.close))
        if self._supervisor is not None:
            steps.append(StopStep(name="replica", run=self._supervisor.stop))
        if self._metrics_server is not None:
            steps.append(StopStep(name="metrics", run=self._metrics_server.close))
        steps.append(StopStep(name="tasks", run=lambda: cancel_tasks(self._tasks)))
        if self._rpc_server is not None:
            steps.append(StopStep(name="rpc server", run=self._rpc_server.close))
        steps.append(StopStep(name="discovery", run=self._discovery.close))
        for peer in self._rpc_peers.values():
            steps.append(StopStep(name="peer", run=peer.close))
        steps.append(StopStep(name="last line", run=lambda: logger.info("stopped")))
        return steps

    def _begin_stop(self) -> None:
        logger.info("stopping", extra={"daemon": self._name})
        self.state.draining = True
        self.state.notify_all_streams()

    def reload(self) -> None:
        """Read the node file again; called at SIGHUP."""
        self._node_file_watcher.check(log_unchanged=True)

    def find_redirect(self, *, to_member: bool = False) -> str | None:
        """Return the base URL of a replica if this daemon has none.

        Its replica may be a spare, which can't commit or read anything.
        """
        has_replica = self._supervisor is not None and self._supervisor.is_started
        is_member = self._name in self.directory.list_replicas()
        if has_replica and (is_member or not to_member):
            return None
        others = [name for name in self.directory.list_replicas() if name != self._name]
        if not others:
            return None
        host = parse_peer_address(others[self._random.draw_index(len(others))]).host
        return f"http://{host}:{self._control_port}"

    def _build_seed_names(self, settings: InstanceSettings) -> tuple[str, ...]:
        return tuple(f"{seed.host}:{self._rpc_port}" for seed in settings.seeds)

    def _apply_settings(self, settings: InstanceSettings) -> None:
        self.directory.update_seeds(self._build_seed_names(settings))

    def _update_replicas(self) -> None:
        """Start the replica or update its peers, after a discovery round."""
        directory = self.directory
        replicas = directory.list_replicas()
        supervisor = self._supervisor
        if supervisor is not None:
            if supervisor.is_started:
                directory.update_members(
                    supervisor.list_members(), supervisor.applied_index
                )
                replicas = directory.list_replicas()
                supervisor.add_peers((*replicas, *directory.list_spare_daemons()))
            elif replicas and (self._start_task is None or self._start_task.done()):
                is_initial_member = self._name in directory.initial_members
                bootstrap = directory.own_info.founding and is_initial_member
                if bootstrap or directory.members:
                    start = supervisor.start(
                        peers={*replicas, self._name}, bootstrap=bootstrap
                    )
                    self._start_task = start_task(start, name="start replica")
        for name in replicas:
            if name != self._name and name not in self._rpc_peers:
                address = parse_peer_address(name)
                peer = RpcPeer(address=address, secret=self._options.secret)
                self._peers[name] = self._rpc_peers[name] = peer
        zones = directory.find_zones(replicas)
        if (replicas, zones) != (self.state.replicas, self.state.replica_zones):
            self.state.replicas, self.state.replica_zones = replicas, zones
            self.state.notify_all_streams()
            logger.info("control replicas changed", extra={"replicas": replicas})

    async def _tick_periodically(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock.read_monotonic()
            self.state.expire_leases(now)
            if self._gossip is not None:
                self._gossip.tick(now)
            if self._last_known_state is not None:
                self._last_known_state.write_if_due()
            if self._supervisor is not None:
                self._track_confirmation(self._supervisor)

    def _track_confirmation(self, supervisor: ReplicaSupervisor) -> None:
        """Tell entries at once when the quorum starts or stops confirming."""
        is_confirmed = supervisor.is_current()
        if is_confirmed is self._is_confirmed:
            return
        self._is_confirmed = is_confirmed
        self.state.entry_notifier.notify_all()
        logger.info(
            "confirmation by the quorum changed",
            extra={
                "confirmed": is_confirmed,
                "leader": supervisor.find_leader(),
                "applied": supervisor.applied_index,
                "version": self.state.find_routing().version,
            },
        )

    def _is_in_step(self) -> bool:
        """Return whether this replica has what most replicas list."""
        supervisor, gossip = self._supervisor, self._gossip
        return (
            supervisor is not None
            and gossip is not None
            and gossip.is_in_step(
                supervisor.list_members(), supervisor.list_heard_peers()
            )
        )

    def _render_metrics(self) -> bytes:
        supervisor = self._supervisor
        if supervisor is None:
            return self._metrics.render_text()
        node = supervisor.replica.node if supervisor.replica is not None else None
        now = self._clock.read_monotonic()
        self._replication_metrics.update(
            is_confirmed=self._is_confirmed,
            silent_voters=len(node.list_silent_voters(now)) if node else 0,
            spares=len(node.list_spares(now)) if node else 0,
        )
        return self._control_metrics.render_text()


class RedirectApi:
    """Redirects requests to a daemon that has a replica of the log."""

    def __init__(self, *, finder: RedirectFinder) -> None:
        self._finder = finder

    async def handle(self, request: Any, responder: Any) -> None:
        """Handle one request."""
        redirect = self._finder.find_redirect(to_member=True)
        if redirect is None:
            await responder.send(503, (), b"")
        else:
            location = redirect + request.path
            await responder.send(307, (("Location", location),), b"")


def main() -> None:
    """Run ``carob-control``."""
    run_command_line("carob-control", InstanceControlProgram, InstanceOptions)
