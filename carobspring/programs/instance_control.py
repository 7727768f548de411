"""``carob-control`` on the users' machines: finds its peers by itself."""

import asyncio
import contextlib
import logging
from pathlib import Path
from typing import Any, Final

from grpclib.server import Server

from carobspring.adapters.admission_service import AdmissionService
from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.discovery import DiscoveryExchange
from carobspring.adapters.disk import DiskStorage
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.metrics import Metrics, serve_metrics
from carobspring.adapters.rpc import RpcService, build_server
from carobspring.consensus import IDENTITY_FILE
from carobspring.control import (
    ClaimService,
    CommandProposer,
    ControlMetrics,
    ControlState,
    GossipExchange,
    Peer,
    RpcPeer,
    WatchService,
)
from carobspring.control.discovery import DaemonDirectory, DaemonInfo
from carobspring.control.instance_api import InstanceApi, RedirectFinder
from carobspring.control.last_known_state import LastKnownStateFile
from carobspring.platform import InstanceSettings, read_node_file
from carobspring.ports import HttpLimits
from carobspring.programs.instance_options import InstanceOptions
from carobspring.programs.options import OptionError
from carobspring.programs.replica_supervisor import (
    ReplicaSupervisor,
    parse_peer_address,
)
from carobspring.programs.runner import Program, run_command_line
from carobspring.programs.settings_file import (
    SettingsFileWatcher,
    read_instance_settings,
)
from carobspring.programs.stalls import StallDetector

TICK_INTERVAL_S: Final = 0.1
#: Check-ins that may be missed before a backend server counts as gone.
LEASE_CHECK_INS: Final = 5
#: Seconds that calls under way may take at a stop.
DRAIN_TIMEOUT_S: Final = 2.0
MAX_CONFIGURATION_BYTES: Final = 16 * 1024 * 1024

logger = logging.getLogger(__name__)


class InstanceControlProgram(Program, RedirectFinder):
    """A control daemon: holds the log where it has a disk, or points there."""

    def __init__(self, options: InstanceOptions) -> None:
        self._options = options
        settings = self._settings = read_instance_settings()
        if settings.control_address is None:
            raise OptionError(
                name="listen", source="settings file", reason="has no control address"
            )
        self._control_port = settings.control_address.port
        self._rpc_port = settings.internal_ports[0]
        self._name = f"{settings.ip}:{self._rpc_port}"
        self._clock = SystemClock()
        self._random = SystemRandom()
        now = self._clock.read_monotonic()
        lease_s = settings.check_in_interval_s * LEASE_CHECK_INS
        self.state = ControlState(
            replica_id=self._name, clock=self._clock, lease_s=lease_s
        )
        self._host: ReplicaSupervisor | None = None
        self._last_known_state: LastKnownStateFile | None = None
        is_empty = True
        if settings.data_directory:
            storage = DiskStorage(Path(settings.data_directory))
            is_empty = IDENTITY_FILE not in storage.list_names()
            self._last_known_state = LastKnownStateFile(
                storage=storage, state=self.state
            )
            self._last_known_state.load(lease_s=lease_s)
            self._host = ReplicaSupervisor(
                name=self._name,
                storage=storage,
                clock=self._clock,
                random=self._random,
                machine=self.state.machine,
                secret=options.secret,
            )
        self._has_log = not is_empty
        self.directory = DaemonDirectory(
            own_info=DaemonInfo(
                name=self._name,
                zone=settings.availability_zone,
                durable=self._host is not None,
                founding=settings.is_first_start and is_empty,
            ),
            seeds=self._name_seeds(settings),
            now=now,
        )
        self._greeter = DiscoveryExchange(
            directory=self.directory,
            secret=options.secret,
            clock=self._clock,
            on_round_end=self._note_daemons,
        )
        self._peers: dict[str, Peer] = {}
        self._rpc_peers: dict[str, RpcPeer] = {}
        self._metrics = Metrics(labels={"zone": settings.availability_zone})
        self._admissions = AdmissionService(clock=self._clock, metrics=self._metrics)
        self._tasks: list[asyncio.Task[None]] = []
        self._starting: asyncio.Task[None] | None = None
        self._rpc: Server | None = None
        self._http: CircuitsHttpServer | None = None
        self._metrics_server: CircuitsHttpServer | None = None
        self._file = SettingsFileWatcher(read=read_node_file, apply=self._take_settings)

    async def start(self) -> dict[str, int]:
        """Listen, look for the other daemons, and open the log."""
        settings = self._settings
        services: list[Any] = [RpcService(self._greeter.list_methods())]
        self._gossip: GossipExchange | None = None
        if self._host is not None:
            proposer = CommandProposer(
                log=self._host, peers=self._peers, clock=self._clock
            )
            watch = WatchService(
                state=self.state,
                proposer=proposer,
                is_confirmed=self._host.has_leader_contact,
            )
            services.append(watch.build_service())
            services.append(RpcService(self._host.list_methods()))
            claims = ClaimService(state=self.state, proposer=proposer)
            services.append(claims.build_service())
            services.append(self._admissions.build_service())
            self._gossip = GossipExchange(state=self.state, transport=self._host)
            api = InstanceApi(
                state=self.state,
                proposer=proposer,
                finder=self,
                started_at=self._clock.read_monotonic(),
                learning_period_s=settings.check_in_interval_s * 2,
                on_member_change=self._tell_peers,
            )
            handle = api.handle
            self._measures = ControlMetrics(
                metrics=self._metrics, state=self.state, log=self._host
            )
        else:
            handle = RedirectApi(finder=self).handle
        self._rpc = build_server(services=services, secret=self._options.secret)
        await self._rpc.start(settings.ip, self._rpc_port)
        if self._has_log and self._host is not None:
            await self._host.start(peers=(self._name,), bootstrap=False)
        self._http = CircuitsHttpServer(
            host=settings.ip,
            port=self._control_port,
            handler=handle,
            limits=HttpLimits(max_body_bytes=MAX_CONFIGURATION_BYTES),
        )
        await self._http.start()
        if self._options.metrics_port:
            self._metrics_server = await serve_metrics(
                host=settings.ip,
                port=self._options.metrics_port,
                render=self._render_metrics,
            )
        self._tasks = [
            asyncio.create_task(self._greeter.run()),
            asyncio.create_task(self._run_ticks()),
            asyncio.create_task(self._admissions.run()),
            asyncio.create_task(self._file.run()),
            asyncio.create_task(StallDetector().run()),
        ]
        logger.info(
            "started",
            extra={
                "daemon": self._name,
                "durable": self._host is not None,
                "has_log": self._has_log,
                "first_start": settings.is_first_start,
                "seeds": [str(seed) for seed in settings.seeds],
            },
        )
        return {"control": self._control_port, "rpc": self._rpc_port}

    async def stop(self) -> None:
        """Hand leadership over, answer what was begun, and close."""
        logger.info("stopping", extra={"daemon": self._name})
        self.state.draining = True
        self.state.notify_all_streams()
        if self._host is not None:
            await self._host.stop()
        if self._http is not None:
            await self._http.drain(DRAIN_TIMEOUT_S)
            await self._http.close()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        if self._rpc is not None:
            self._rpc.close()
        self._greeter.close()
        for peer in self._rpc_peers.values():
            peer.close()
        logger.info("stopped", extra={"daemon": self._name})

    def reload(self) -> None:
        """Read the settings file again, at SIGHUP."""
        self._file.check(log_unchanged=True)

    def find_redirect(self) -> str | None:
        """Return the base URL of a replica to ask, if this is none."""
        if self._host is not None and self._host.is_started:
            return None
        others = [n for n in self.directory.list_replicas() if n != self._name]
        if not others:
            return None
        host = parse_peer_address(others[self._random.draw_index(len(others))]).host
        return f"http://{host}:{self._control_port}"

    def _name_seeds(self, settings: InstanceSettings) -> tuple[str, ...]:
        return tuple(f"{seed.host}:{self._rpc_port}" for seed in settings.seeds)

    def _take_settings(self, settings: InstanceSettings) -> None:
        self.directory.update_seeds(self._name_seeds(settings))

    def _note_daemons(self) -> None:
        """Start the replica, or tell it of peers, after news of daemons."""
        directory = self.directory
        replicas = directory.list_replicas()
        host = self._host
        if host is not None:
            if host.is_started:
                directory.update_members(host.list_members())
                replicas = directory.list_replicas()
                host.add_peers((*replicas, *directory.list_spare_daemons()))
            elif replicas and self._starting is None:
                is_founder = self._name in directory.initial_members
                bootstrap = directory.own_info.founding and is_founder
                if bootstrap or directory.members:
                    start = host.start(
                        peers={*replicas, self._name}, bootstrap=bootstrap
                    )
                    self._starting = asyncio.create_task(start)
        for name in replicas:
            if name != self._name and name not in self._rpc_peers:
                address = parse_peer_address(name)
                peer = RpcPeer(address=address, secret=self._options.secret)
                self._peers[name] = self._rpc_peers[name] = peer
        if replicas != self.state.replicas:
            self.state.replicas = replicas
            self.state.notify_all_streams()
            logger.info("control replicas known", extra={"replicas": replicas})

    def _tell_peers(self) -> None:
        if self._gossip is not None:
            self._gossip.tick(self._clock.read_monotonic())

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock.read_monotonic()
            self.state.expire_leases(now)
            if self._gossip is not None:
                self._gossip.tick(now)
            if self._last_known_state is not None:
                self._last_known_state.write_if_due()

    def _render_metrics(self) -> bytes:
        if self._host is not None:
            return self._measures.render_text()
        return self._metrics.render_text()


class RedirectApi:
    """Answers on a daemon without a disk: points to one that has the log."""

    def __init__(self, *, finder: RedirectFinder) -> None:
        self._finder = finder

    async def handle(self, request: Any, responder: Any) -> None:
        """Answer one call."""
        redirect = self._finder.find_redirect()
        if redirect is None:
            await responder.send(503, (), b"")
        else:
            location = redirect + request.path
            await responder.send(307, (("Location", location),), b"")


def main() -> None:
    """Run the control daemon."""
    run_command_line("carob-control", InstanceControlProgram, InstanceOptions)


if __name__ == "__main__":
    main()
