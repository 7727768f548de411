"""What operators and backend servers call on the users' machines."""

import asyncio
import logging
import zlib
from abc import abstractmethod
from collections.abc import Callable
from typing import Final, Protocol

import msgspec

from carobspring import platform
from carobspring.control.commands import Command
from carobspring.control.errors import ControlError
from carobspring.control.proposals import CommandProposer
from carobspring.control.routing import RoutingChange
from carobspring.control.state import ControlState
from carobspring.domain import BackendServer, InvalidValueError, LoadReport
from carobspring.ports import HttpRequest, HttpResponder
from carobspring.protocol import AgentReport, RoutingConfiguration

#: Callers go to another daemon after a second without an answer.
ANSWER_TIMEOUT_S: Final = 0.9
#: A proposal goes on for this long after its caller went to another daemon.
PROPOSAL_TIMEOUT_S: Final = 4.0
#: Sequence of a server's last word; no check-in of the same start follows it.
FINAL_SEQUENCE: Final = 2**53
JSON_TYPE: Final = ("Content-Type", "application/json")
#: Fastest level: configurations are text that shrinks well at any level.
COMPRESSION_LEVEL: Final = 1

logger = logging.getLogger(__name__)


class RedirectFinder(Protocol):
    """Finds a daemon that holds the log, where this one doesn't."""

    @abstractmethod
    def find_redirect(self) -> str | None:
        """Return the base URL of a daemon to ask instead, or None."""


def _encode_problem(code: str, message: str) -> bytes:
    return msgspec.json.encode({"error": code, "message": message})


class InstanceApi:
    """Answers the calls to a control daemon.

    A configuration is confirmed once it is committed; reads go through the
    quorum, so that none shows an older one than was confirmed before it.
    """

    def __init__(
        self,
        *,
        state: ControlState,
        proposer: CommandProposer,
        finder: RedirectFinder,
        started_at: float,
        learning_period_s: float,
        on_member_change: Callable[[], None],
    ) -> None:
        self._state = state
        self._proposer = proposer
        self._finder = finder
        self._started_at = started_at
        self._learning_s = learning_period_s
        self._on_check_in = on_member_change
        self._proposals: set[asyncio.Task[bool]] = set()

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Answer one call."""
        path, method = request.path, request.method
        redirect = self._finder.find_redirect()
        if redirect is not None:
            location = redirect + path
            await responder.send(307, (("Location", location),), b"")
        elif path == platform.CONFIGURATION_PATH and method == "PUT":
            await self._put_configuration(request, responder)
        elif path == platform.CONFIGURATION_PATH and method == "GET":
            await self._get_configuration(responder)
        elif path.startswith(platform.BACKEND_SERVER_PATH_PREFIX) and method == "PUT":
            await self._take_check_in(request, responder)
        elif (
            path.startswith(platform.BACKEND_SERVER_PATH_PREFIX) and method == "DELETE"
        ):
            await self._take_leave(request, responder)
        else:
            await self._refuse(responder, 404, "not_found", "no such call")

    async def _put_configuration(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        try:
            table = platform.decode_routing_table(request.body)
        except platform.ConfigurationError as error:
            logger.info("configuration refused", extra={"reason": error.reason})
            await self._refuse(responder, 400, "invalid", str(error))
            return
        body = zlib.compress(request.body, COMPRESSION_LEVEL)
        content = RoutingConfiguration(version=table.version, body=body)
        task = asyncio.create_task(self._commit(content))
        self._proposals.add(task)
        task.add_done_callback(self._proposals.discard)
        done, _ = await asyncio.wait({task}, timeout=ANSWER_TIMEOUT_S)
        if done and task.result():
            await responder.send(200, (JSON_TYPE,), b"{}")
        else:
            message = "it is not known whether this took; send it again"
            await self._refuse(responder, 503, "no_quorum", message)

    async def _commit(self, content: RoutingConfiguration) -> bool:
        change = RoutingChange(content=content, at_ms=self._state.clock.read_wall_ms())
        try:
            result = await self._proposer.propose(Command(routing=change))
        except ControlError as error:
            extra = {"version": content.version, "reason": error.kind}
            logger.warning("configuration not committed", extra=extra)
            return False
        answer = result.routing
        logger.info(
            "configuration committed",
            extra={
                "version": content.version,
                "taken": answer.taken if answer else None,
                "stands": answer.version if answer else None,
                "bytes": len(content.body),
            },
        )
        return answer is not None

    async def _get_configuration(self, responder: HttpResponder) -> None:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._proposer.confirm_read()
        except (ControlError, TimeoutError) as error:
            kind = getattr(error, "kind", "no_quorum")
            await self._refuse(responder, 503, kind, "the newest is not known here")
            return
        content = self._state.machine.routing.content
        if not content.version:
            message = "no configuration was committed yet"
            await self._refuse(responder, 503, "none", message)
            return
        await responder.send(200, (JSON_TYPE,), zlib.decompress(content.body))

    async def _take_check_in(
        self, request: HttpRequest, responder: HttpResponder
    ) -> None:
        server_id = request.path.removeprefix(platform.BACKEND_SERVER_PATH_PREFIX)
        try:
            told = platform.decode_check_in(server_id, request.body)
        except InvalidValueError as error:
            extra = {"server": server_id, "reason": str(error)}
            logger.info("check-in refused", extra=extra)
            await self._refuse(responder, 400, "invalid", str(error))
            return
        self._note(told.server, told.load)
        await responder.send(200, (JSON_TYPE,), platform.encode_check_in_response())

    async def _take_leave(self, request: HttpRequest, responder: HttpResponder) -> None:
        server_id = request.path.removeprefix(platform.BACKEND_SERVER_PATH_PREFIX)
        member = self._state.members.members.get(server_id)
        now = self._state.clock.read_monotonic()
        if member is None and now - self._started_at < self._learning_s:
            # Another daemon may know it already and go on telling of it.
            message = "this daemon has just started"
            await self._refuse(responder, 503, "starting", message)
            return
        if member is not None:
            load = LoadReport(
                sequence=FINAL_SEQUENCE, limit=member.load.limit, draining=True
            )
            self._note(member.server, load)
        await responder.send(200, (JSON_TYPE,), platform.encode_check_in_response())

    def _note(self, server: BackendServer, load: LoadReport) -> None:
        state = self._state
        before = state.members.members.get(server.server_id)
        report = AgentReport(server=server, load=load)
        answer = state.members.apply_report(report, state.clock.read_monotonic())
        is_news = (
            before is None
            or before.is_gone
            or before.server != server
            or before.load.draining is not load.draining
        )
        if is_news:
            logger.info(
                "backend server checked in",
                extra={
                    "server": server.server_id,
                    "service": server.service,
                    "address": f"{server.host}:{server.port}",
                    "boot": server.boot,
                    "sequence": load.sequence,
                    "draining": load.draining,
                    "accepted": answer.accepted,
                },
            )
        came_over = before is not None and not before.is_local and answer.accepted
        if state.notify_member_changes() or came_over:
            state.local_change_count += 1
            self._on_check_in()

    async def _refuse(
        self, responder: HttpResponder, status: int, code: str, message: str
    ) -> None:
        await responder.send(status, (JSON_TYPE,), _encode_problem(code, message))
