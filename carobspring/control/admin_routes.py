"""The routes of the admin API."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from carobspring.control.admin import AdminError, AdminRequest, RouteHandler
from carobspring.control.commands import Command, DrainChange, StrikeRelease
from carobspring.control.proposals import CommandProposer
from carobspring.control.reports import (
    AttainmentReport,
    ChangeReport,
    ChangeRequestBody,
    CountReport,
    DrainRequestBody,
    ReleaseRequestBody,
    ReplicaStatus,
)
from carobspring.control.state import ControlState
from carobspring.control.status import build_status_report, sum_attainment
from carobspring.domain import Settings
from carobspring.ports import ReplicatedLog
from carobspring.protocol import Claim, Strike
from carobspring.settings import (
    AuditEntry,
    ChangeAnswer,
    ChangeRequest,
    ChangeStatus,
    UnsoundChangeError,
)

DEFAULT_AUDIT_LIMIT = 50
MAX_AUDIT_LIMIT = 10_000
STATUS_BY_REFUSAL = {
    ChangeStatus.CONFLICT: 409,
    ChangeStatus.REUSED: 422,
    ChangeStatus.INVALID: 400,
}

Body = TypeVar("Body")


class AdminRoutes:
    """Answers from this replica's state; changes go through the leader.

    What is read is first confirmed with the leader, so any replica gives the
    same answer after a change.
    """

    def __init__(
        self,
        *,
        state: ControlState,
        proposer: CommandProposer,
        log: ReplicatedLog,
        list_replicas: Callable[[], tuple[ReplicaStatus, ...]] = tuple,
    ) -> None:
        self._state = state
        self._proposer = proposer
        self._log = log
        self._list_replicas = list_replicas

    def list_routes(self) -> dict[tuple[str, str], RouteHandler]:
        """Return each route by method and path."""
        return {
            ("GET", "/v1/settings"): self.read_settings,
            ("POST", "/v1/changes"): self.change_settings,
            ("GET", "/v1/status"): self.read_status,
            ("GET", "/v1/attainment"): self.read_attainment,
            ("GET", "/v1/audit"): self.read_audit,
            ("GET", "/v1/calls"): self.read_call,
            ("POST", "/v1/drain"): self.drain_server,
            ("GET", "/v1/quarantine"): self.read_quarantine,
            ("POST", "/v1/quarantine/release"): self.release_strikes,
        }

    async def read_settings(self, request: AdminRequest) -> Settings:
        """Return the settings."""
        await self._proposer.confirm_read()
        return self._state.machine.settings.settings

    async def change_settings(self, request: AdminRequest) -> ChangeReport:
        """Commit a change, or try it when it is a dry run."""
        order = _read_body(request, ChangeRequestBody)
        change = ChangeRequest(
            change_id=order.change_id,
            base_revision=order.base_revision,
            changes=order.changes,
            operator=request.operator,
            at_ms=self._state.clock.read_wall_ms(),
        )
        if order.dry_run:
            return await self._try_change(change)
        result = await self._proposer.propose(Command(change=change))
        if result.change is None:
            raise AdminError(status=500, kind="unreadable", message=result.error)
        if result.change.status is not ChangeStatus.ACCEPTED:
            raise _write_refusal(result.change)
        return ChangeReport(
            revision=result.change.revision,
            change_id=order.change_id,
            subjects=await self._find_subjects(order.change_id),
        )

    async def read_status(self, request: AdminRequest) -> object:
        """Return where what is in force."""
        await self._proposer.confirm_read()
        return build_status_report(
            self._state, self._log.find_leader(), self._list_replicas()
        )

    async def read_attainment(self, request: AdminRequest) -> AttainmentReport:
        """Return how many calls met their target, by class."""
        return sum_attainment(self._state)

    async def read_audit(self, request: AdminRequest) -> list[AuditEntry]:
        """Return the audit trail, newest first, filtered by the query.

        ``operator`` and ``change_id`` must be equal, ``subject`` must occur,
        ``since_ms`` is the earliest time, ``limit`` the number of entries.
        """
        await self._proposer.confirm_read()
        query = request.query
        limit = _read_number(query, "limit", DEFAULT_AUDIT_LIMIT, MAX_AUDIT_LIMIT)
        since_ms = _read_number(query, "since_ms", 0, 2**53)
        found = [
            entry
            for entry in self._state.machine.settings.list_audit()
            if query.get("operator", entry.operator) == entry.operator
            and query.get("change_id", entry.change_id) == entry.change_id
            and entry.at_ms >= since_ms
            and any(query.get("subject", "") in s.subject for s in entry.subjects)
        ]
        return found[:limit]

    async def read_call(self, request: AdminRequest) -> Claim:
        """Return the claim of a unique call, by its name or number."""
        await self._proposer.confirm_read()
        query = request.query
        ledger = self._state.machine.ledger
        if "number" in query:
            claim = ledger.find_claim_by_number(_read_number(query, "number", 0, 2**53))
        else:
            names = ("workspace", "service", "key")
            claim = ledger.find_claim(*(query.get(name, "") for name in names))
        if claim is None:
            raise AdminError(
                status=404,
                kind="no_such_call",
                message="no unique call is kept by that name; records are kept for "
                "24 hours after their last change",
            )
        return claim

    async def drain_server(self, request: AdminRequest) -> CountReport:
        """Order a backend server drained, or end that."""
        order = _read_body(request, DrainRequestBody)
        known = order.server_id in self._state.members.members
        if order.drain and not known:
            raise AdminError(
                status=404,
                kind="no_such_server",
                message=f"no backend server {order.server_id} is announced; "
                "`carobctl status` lists them",
            )
        change = DrainChange(
            server_id=order.server_id,
            drain=order.drain,
            operator=request.operator,
            at_ms=self._state.clock.read_wall_ms(),
        )
        result = await self._proposer.propose(Command(drain=change))
        return CountReport(count=result.count)

    async def read_quarantine(self, request: AdminRequest) -> tuple[Strike, ...]:
        """Return every strike, oldest first."""
        await self._proposer.confirm_read()
        return self._state.machine.strikes.list_strikes()

    async def release_strikes(self, request: AdminRequest) -> CountReport:
        """Forget the strikes of a request."""
        order = _read_body(request, ReleaseRequestBody)
        release = StrikeRelease(
            workspace=order.workspace,
            request_hash=order.request_hash,
            operator=request.operator,
            at_ms=self._state.clock.read_wall_ms(),
        )
        result = await self._proposer.propose(Command(release=release))
        return CountReport(count=result.count)

    async def _try_change(self, change: ChangeRequest) -> ChangeReport:
        await self._proposer.confirm_read()
        machine = self._state.machine.settings
        revision = machine.settings.revision
        if change.base_revision != revision:
            raise _write_refusal(machine.write_conflict(change))
        try:
            subjects = machine.preview(change)
        except UnsoundChangeError as error:
            raise AdminError(
                status=400, kind="invalid", message=str(error), revision=revision
            ) from error
        return ChangeReport(
            revision=revision,
            change_id=change.change_id,
            dry_run=True,
            subjects=subjects,
        )

    async def _find_subjects(self, change_id: str) -> tuple:
        await self._proposer.confirm_read()
        for entry in self._state.machine.settings.list_audit():
            if entry.change_id == change_id:
                return entry.subjects
        return ()


def _read_body(request: AdminRequest, body_type: type[Body]) -> Body:
    return msgspec.json.decode(request.body, type=body_type)


def _read_number(query: dict[str, str], name: str, default: int, high: int) -> int:
    given = query.get(name, str(default))
    if not given.isascii() or not given.isdigit() or int(given[:20]) > high:
        message = f"{name}: got {given!r}, expected a number from 0 to {high}"
        raise AdminError(status=400, kind="invalid", message=message)
    return int(given)


def _write_refusal(answer: ChangeAnswer) -> AdminError:
    return AdminError(
        status=STATUS_BY_REFUSAL[answer.status],
        kind=answer.status.value,
        message=answer.reason,
        revision=answer.revision,
    )
