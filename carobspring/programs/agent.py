"""carob-agent: the agent beside a backend server."""

import asyncio
import logging
import time
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from grpclib.server import Server
from msgspec import Meta

from carobspring.adapters.agent_control_stream import AgentControlStream
from carobspring.adapters.agent_service import AgentService
from carobspring.adapters.backend_http import HttpBackend
from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.rpc import build_server
from carobspring.agent import (
    AgentState,
    CallManager,
    CallTable,
    CallTimings,
    TableLimits,
)
from carobspring.domain import (
    BackendServer,
    InvalidValueError,
    ServiceKind,
    parse_addresses,
)
from carobspring.ports import HttpLimits
from carobspring.programs.agent_status import AgentStatusApi
from carobspring.programs.options import OptionError
from carobspring.programs.runner import Program, run_command_line
from carobspring.protocol import AgentReport, AgentUpdate
from carobspring.scheduling import Scheduler, SchedulerLimits

Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(ge=0.1, le=86400)]

LEAVING_REPORT_DELAY_S = 0.1

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class AgentOptions:
    """Run the agent beside one backend server.

    Every flag can be given as a variable too: --server-id as CAROB_SERVER_ID.

    Args:
        server_id: Name of the backend server's place, the same after a
            restart.
        service: Service that the backend server belongs to.
        backend: Base URL of the backend server, with its IP number.
        secret: Shared secret of the system's own processes.
        control: Control replicas' gRPC addresses, as host:port,host:port.
        kind: A model's runner, or any other application.
        zone: Availability zone that this agent runs in.
        host: IP number that is listened on and announced.
        rpc_port: Port for entries; 0 takes a free one.
        http_port: Port of /metrics, /healthz and /readyz; 0 takes a free one.
        models: Names of the models that the backend server has, by commas.
        slots: Calls that the backend server is said to work on at once.
        queue_limit: Calls that may wait.
        overcommit: Calls above the limit that are sent on to an engine which
            orders by ``priority`` itself.
        headroom_share: Part of the slots that is kept free, at most, for
            bursts of higher tiers.
        health_path: Path that answers 200 while the backend server is well.
        orphan_s: Seconds that a call goes on without a reader.
        hang_s: Seconds without a byte, at least, before an engine counts as
            hanging.
        drain_s: Seconds that a planned stop waits for calls in flight.
        log_format: Form of the log lines.
        log_level: DEBUG, INFO, WARNING or ERROR.
    """

    server_id: str
    service: str
    backend: str
    secret: Annotated[str, Meta(min_length=8)]
    control: str = ""
    kind: Literal["model", "plain"] = "model"
    zone: str = "a"
    host: str = "127.0.0.1"
    rpc_port: Port = 0
    http_port: Port = 0
    models: str = ""
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 8
    queue_limit: Annotated[int, Meta(ge=1, le=1_000_000)] = 256
    overcommit: Annotated[int, Meta(ge=0, le=100_000)] = 0
    #: Part of the limit, at most, that is kept free for bursts of tiers above.
    headroom_share: Annotated[float, Meta(ge=0, le=0.9)] = 0.25
    health_path: str = "/health"
    orphan_s: Seconds = 30.0
    hang_s: Seconds = 10.0
    drain_s: Seconds = 600.0
    log_format: Literal["text", "json"] = "text"
    log_level: str = "INFO"


class AgentProgram(Program):
    """The agent: its call manager, its gRPC server, its stream to control."""

    def __init__(self, options: AgentOptions) -> None:
        self._options = options
        try:
            self._control = parse_addresses("control", options.control)
        except InvalidValueError as error:
            raise OptionError(
                name="control", source="--control", reason=str(error)
            ) from error
        self._clock = SystemClock()
        self._rpc_port = 0

    async def start(self) -> dict[str, int]:
        """Build the parts, listen, and announce the backend server."""
        options = self._options
        self._link = AgentControlStream(
            addresses=self._control,
            secret=options.secret,
            build_report=self._build_report,
            on_update=self._take_order,
        )
        self._agent_state = AgentState(
            server_id=options.server_id,
            boot=time.time_ns() // 1_000_000,
            kind=ServiceKind(options.kind),
            request_report=self._link.request_report,
        )
        self._backend = HttpBackend(
            url=options.backend, health_path=options.health_path
        )
        self._manager = CallManager(
            agent_state=self._agent_state,
            backend=self._backend,
            scheduler=Scheduler(
                limits=SchedulerLimits(
                    slots=options.slots,
                    queue_calls=options.queue_limit,
                    overcommit=options.overcommit,
                    headroom_share=options.headroom_share,
                ),
                random=SystemRandom(),
            ),
            clock=self._clock,
            table=CallTable(limits=TableLimits()),
            timings=CallTimings(orphan_s=options.orphan_s, hang_s=options.hang_s),
            commit_outcome=self._link.commit_outcome,
        )
        await self._manager.start()
        service = AgentService(manager=self._manager, clock=self._clock)
        self._server = build_server(
            services=[service.build_service()], secret=options.secret
        )
        self._rpc_port = await start_rpc_server(
            self._server, options.host, options.rpc_port
        )
        status = AgentStatusApi(
            manager=self._manager, link=self._link, slots=options.slots
        )
        self._http = CircuitsHttpServer(
            host=options.host,
            port=options.http_port,
            handler=status.handle,
            limits=HttpLimits(max_connections=64, max_body_bytes=1024),
        )
        await self._http.start()
        self._link.start()
        return {"rpc": self._rpc_port, "http": self._http.port}

    async def stop(self) -> None:
        """Announce leaving, end what is in flight, and close."""
        self._agent_state.leaving = True
        self._link.request_report()
        await asyncio.sleep(LEAVING_REPORT_DELAY_S)
        try:
            async with asyncio.timeout(self._options.drain_s):
                await self._manager.drain()
        except TimeoutError:
            logger.error("calls were still in flight after the drain time")
        await self._manager.close()
        await self._link.close()
        self._server.close()
        await self._http.close()
        await self._backend.close()

    def _build_report(self) -> AgentReport:
        options = self._options
        server = BackendServer(
            server_id=options.server_id,
            boot=self._agent_state.boot,
            service=options.service,
            kind=self._agent_state.kind,
            zone=options.zone,
            host=options.host,
            port=self._rpc_port,
            models=tuple(filter(None, options.models.split(","))),
            slots=options.slots,
        )
        return AgentReport(
            server=server,
            load=self._manager.build_load_report(),
            leaving=self._agent_state.leaving,
            strikes=self._manager.executor.find_recent_strikes(),
            revision=self._agent_state.settings.revision,
        )

    def _take_order(self, order: AgentUpdate) -> None:
        if order.settings is not None:
            self._manager.update_settings(order.settings)
        if order.minimum_boot > self._agent_state.boot:
            self._agent_state.boot = order.minimum_boot
            self._link.request_report()
        if order.drain != self._agent_state.drained:
            self._agent_state.drained = order.drain
            self._link.request_report()
        self._manager.quarantine.add(order.strikes)
        self._manager.quarantine.release(order.released)


async def start_rpc_server(server: Server, host: str, port: int) -> int:
    """Start a gRPC server and return the port that it listens on."""
    await server.start(host, port)
    listener: Any = server._server
    return int(listener.sockets[0].getsockname()[1])


def main() -> None:
    """Run the agent from the command line."""
    run_command_line("carob-agent", AgentProgram, AgentOptions)


if __name__ == "__main__":
    main()
