"""The HTTP API of the control daemon on an instance.

Operators read and write the routing configuration; backend servers check in.
"""

import asyncio
import logging
import zlib
from abc import abstractmethod
from typing import Final, Protocol

import msgspec

from carobspring import platform
from carobspring.adapters.tasks import start_task
from carobspring.control.commands import Command
from carobspring.control.errors import ControlError
from carobspring.control.gossip import GossipExchange
from carobspring.control.proposals import CommandProposer
from carobspring.control.routing import RoutingChange
from carobspring.control.state import ControlState
from carobspring.domain import (
    FINAL_SEQUENCE,
    BackendServer,
    InvalidValueError,
    LoadReport,
)
from carobspring.domain.errors import check_name
from carobspring.ports import HttpRequest, HttpResponder
from carobspring.protocol import AgentReport, RoutingConfiguration

#: Less than the second after which callers try another daemon.
RESPONSE_TIMEOUT_S: Final = 0.9
#: Time within which all reachable replicas must have merged that a server
#: drains; its report is sent to another daemon after a second.
REPLICATION_TIMEOUT_S: Final = 0.6
#: Time in ms after a removal in which no new run of the server starts: the one
#: that leaves serves on for longer. It allows for clocks that differ.
MIN_RESTART_MS: Final = 1_000
JSON_TYPE: Final = ("Content-Type", "application/json")
#: The fastest level: configurations are text and compress well at any level.
COMPRESSION_LEVEL: Final = 1

logger = logging.getLogger(__name__)


class RedirectFinder(Protocol):
    """Finds a daemon that holds the log if this daemon does not."""

    @abstractmethod
    def find_redirect(self, *, to_member: bool = False) -> str | None:
        """Return the base URL of the daemon to redirect to, or None.

        With ``to_member``, a daemon whose replica is no member of the cluster
        redirects too.
        """


def _encode_error(code: str, message: str) -> bytes:
    return msgspec.json.encode({"error": code, "message": message})


def find_max_body(request: HttpRequest) -> int | None:
    """Return zero for a call that takes no large body.

    Only configurations are large. Check-ins of servers have some hundred
    bytes.
    """
    if request.path == platform.CONFIGURATION_PATH and request.method == "PUT":
        return None
    return 0


class InstanceApi:
    """Handles the HTTP requests to a control daemon.

    A configuration is acknowledged once it is committed. Reads are confirmed
    by the quorum, so that none returns an older configuration than one that
    was acknowledged before it.
    """

    def __init__(
        self,
        *,
        state: ControlState,
        proposer: CommandProposer,
        finder: RedirectFinder,
        started_at: float,
        learning_period_s: float,
        gossip: GossipExchange,
    ) -> None:
        self._state = state
        self._proposer = proposer
        self._finder = finder
        self._started_at = started_at
        self._learning_period_s = learning_period_s
        self._gossip = gossip
        self._proposals: set[asyncio.Task[bool]] = set()

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Handle one request."""
        path, method = request.path, request.method
        if not request.is_body_read:
            await self._refuse_unread(request, responder)
            return
        is_configuration = path == platform.CONFIGURATION_PATH
        redirect = self._finder.find_redirect(to_member=is_configuration)
        if redirect is not None:
            location = redirect + path
            await responder.send(307, (("Location", location),), b"")
        elif is_configuration and method == "PUT":
            await self._put_configuration(request, responder)
        elif is_configuration and method == "GET":
            await self._get_configuration(responder)
        elif self._state.draining:
            # This daemon no longer reaches the other replicas.
            await self._send_error(responder, 503, "stopping", "ask another daemon")
        elif path.startswith(platform.BACKEND_SERVER_PATH_PREFIX) and method == "PUT":
            await self._handle_check_in(request, responder)
        elif (
            path.startswith(platform.BACKEND_SERVER_PATH_PREFIX) and method == "DELETE"
        ):
            await self._handle_removal(request, responder)
        else:
            await self._send_error(responder, 404, "not_found", "no such call")

    async def _refuse_unread(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        """Refuse a call whose body was too large to be read."""
        message = "the body is too large"
        is_check_in = request.path.startswith(platform.BACKEND_SERVER_PATH_PREFIX)
        if is_check_in and request.method == "PUT":
            # Like any other check-in that can't be used.
            await self._send_error(responder, 400, "invalid", message)
        else:
            await self._send_error(responder, 413, "too_large", message)

    async def _put_configuration(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        try:
            table = platform.decode_routing_table(request.body)
        except platform.ConfigurationError as error:
            logger.info("configuration rejected", extra={"reason": error.reason})
            await self._send_error(responder, 400, "invalid", str(error))
            return
        body = zlib.compress(request.body, COMPRESSION_LEVEL)
        content = RoutingConfiguration(version=table.version, body=body)
        task = start_task(self._commit(content), name="commit routes")
        self._proposals.add(task)
        task.add_done_callback(self._proposals.discard)
        done, _ = await asyncio.wait({task}, timeout=RESPONSE_TIMEOUT_S)
        if done and task.result():
            await responder.send(200, (JSON_TYPE,), b"{}")
        else:
            message = "it is not known whether this took; send it again"
            await self._send_error(responder, 503, "no_quorum", message)

    async def _commit(self, content: RoutingConfiguration) -> bool:
        change = RoutingChange(content=content, at_ms=self._state.clock.read_wall_ms())
        try:
            result = await self._proposer.propose(Command(routing=change))
        except ControlError as error:
            extra = {"version": content.version, "reason": error.kind}
            logger.warning("configuration not committed", extra=extra)
            return False
        routing_result = result.routing
        logger.info(
            "configuration committed",
            extra={
                "version": content.version,
                "taken": routing_result.taken if routing_result else None,
                "stands": routing_result.version if routing_result else None,
                "bytes": len(content.body),
            },
        )
        return routing_result is not None

    async def _get_configuration(self, responder: HttpResponder) -> None:
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await self._proposer.confirm_read()
        except (ControlError, TimeoutError) as error:
            kind = getattr(error, "kind", "no_quorum")
            await self._send_error(responder, 503, kind, "the newest is not known here")
            return
        content = self._state.machine.routing.content
        if not content.version:
            message = "no configuration was committed yet"
            await self._send_error(responder, 503, "none", message)
            return
        await responder.send(200, (JSON_TYPE,), zlib.decompress(content.body))

    async def _handle_check_in(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        server_id = request.path.removeprefix(platform.BACKEND_SERVER_PATH_PREFIX)
        try:
            check_in = platform.decode_check_in(server_id, request.body)
        except InvalidValueError as error:
            extra = {"server": server_id, "reason": str(error)}
            logger.info("check-in rejected", extra=extra)
            await self._send_error(responder, 400, "invalid", str(error))
            return
        self._record_report(check_in.server, check_in.load)
        if check_in.load.draining and not await self._is_replicated(server_id):
            await self._send_unreplicated(responder)
            return
        await responder.send(200, (JSON_TYPE,), platform.encode_check_in_response())

    async def _handle_removal(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        server_id = request.path.removeprefix(platform.BACKEND_SERVER_PATH_PREFIX)
        try:
            check_name("server_id", server_id)
        except InvalidValueError:
            # No check-in can name it.
            await responder.send(200, (JSON_TYPE,), platform.encode_check_in_response())
            return
        state = self._state
        member = state.members.members.get(server_id)
        now = state.clock.read_monotonic()
        if member is None and now - self._started_at < self._learning_period_s:
            # Another daemon may know the server already and keep announcing
            # it.
            message = "this daemon has just started"
            await self._send_error(responder, 503, "starting", message)
            return
        if member is None or member.is_gone:
            # The first check-in of the boot that leaves can still be on its
            # way. Boots are the times of starts in ms.
            last_boot = state.clock.read_wall_ms() + MIN_RESTART_MS
        else:
            last_boot = member.server.boot
            load = LoadReport(
                sequence=FINAL_SEQUENCE, limit=member.load.limit, draining=True
            )
            self._record_report(member.server, load)
        if not state.members.withdraw(server_id, last_boot, FINAL_SEQUENCE, now):
            logger.warning("removal not recorded", extra={"server": server_id})
            message = "too many removals of unknown servers; send it again"
            await self._send_error(responder, 503, "no_room", message)
            return
        logger.info(
            "backend server removed on request",
            extra={
                "server": server_id,
                "known": member is not None,
                "last_boot": last_boot,
            },
        )
        state.notify_member_changes()
        state.local_change_count += 1
        self._gossip.tick(now)
        if not await self._is_replicated(server_id):
            await self._send_unreplicated(responder)
            return
        await responder.send(200, (JSON_TYPE,), platform.encode_check_in_response())

    def _record_report(self, server: BackendServer, load: LoadReport) -> None:
        state = self._state
        before = state.members.members.get(server.server_id)
        report = AgentReport(server=server, load=load)
        result = state.members.apply_report(report, state.clock.read_monotonic())
        has_changed = (
            before is None
            or before.is_gone
            or before.server != server
            or before.load.draining is not load.draining
        )
        if has_changed:
            logger.info(
                "backend server checked in",
                extra={
                    "server": server.server_id,
                    "service": server.service,
                    "address": f"{server.host}:{server.port}",
                    "boot": server.boot,
                    "version": server.software_version,
                    "sequence": load.sequence,
                    "draining": load.draining,
                    "accepted": result.accepted,
                },
            )
        has_moved_here = before is not None and not before.is_local and result.accepted
        if state.notify_member_changes() or has_moved_here:
            state.local_change_count += 1
            self._gossip.tick(state.clock.read_monotonic())

    async def _is_replicated(self, server_id: str) -> bool:
        """Wait until every reachable replica knows a server's last change.

        Entries follow only some of the replicas, so a confirmed drain must be
        known to all that can tell them.
        """
        view = self._state.members.find_local_change(server_id)
        try:
            async with asyncio.timeout(REPLICATION_TIMEOUT_S):
                await self._gossip.wait_until_replicated(view)
        except TimeoutError:
            extra = {"server": server_id, "view": view}
            logger.warning("drain not replicated in time", extra=extra)
            return False
        return True

    async def _send_unreplicated(self, responder: HttpResponder) -> None:
        message = "not all replicas know this yet; send it again"
        await self._send_error(responder, 503, "not_replicated", message)

    async def _send_error(
        self, responder: HttpResponder, status: int, code: str, message: str
    ) -> None:
        await responder.send(status, (JSON_TYPE,), _encode_error(code, message))
