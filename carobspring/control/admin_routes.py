"""Handlers of the admin API's routes."""

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
    InvalidChangeError,
)

DEFAULT_AUDIT_LIMIT = 50
MAX_AUDIT_LIMIT = 10_000
HTTP_STATUS_BY_REFUSAL = {
    ChangeStatus.CONFLICT: 409,
    ChangeStatus.REUSED: 422,
    ChangeStatus.INVALID: 400,
}

BodyType = TypeVar("BodyType")


class AdminRoutes:
    """Reads this replica's state, and commits changes through the leader.

    A read is first confirmed with the leader, so that every replica returns
    the same state after a change.
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
        """Return the handlers by method and path."""
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
        """Commit a change, or preview it if it is a dry run."""
        body = _decode_body(request, ChangeRequestBody)
        change = ChangeRequest(
            change_id=body.change_id,
            base_revision=body.base_revision,
            changes=body.changes,
            operator=request.operator,
            at_ms=self._state.clock.read_wall_ms(),
        )
        if body.dry_run:
            return await self._preview_change(change)
        result = await self._proposer.propose(Command(change=change))
        if result.change is None:
            raise AdminError(status=500, kind="unreadable", message=result.error)
        if result.change.status is not ChangeStatus.ACCEPTED:
            raise _build_refusal(result.change)
        return ChangeReport(
            revision=result.change.revision,
            change_id=body.change_id,
            subjects=await self._find_subjects(body.change_id),
        )

    async def read_status(self, request: AdminRequest) -> object:
        """Return the status of the system, such as the revision by zone."""
        await self._proposer.confirm_read()
        return build_status_report(
            self._state, self._log.find_leader(), self._list_replicas()
        )

    async def read_attainment(self, request: AdminRequest) -> AttainmentReport:
        """Return how many calls met their target, by service class."""
        return sum_attainment(self._state)

    async def read_audit(self, request: AdminRequest) -> list[AuditEntry]:
        """Return the audit trail, newest first, filtered by the query.

        ``operator`` and ``change_id`` must be equal, ``subject`` must occur in
        a changed subject, ``since_ms`` is the earliest time, and ``limit`` the
        maximum number of entries.
        """
        await self._proposer.confirm_read()
        query = request.query
        limit = _parse_number(query, "limit", DEFAULT_AUDIT_LIMIT, MAX_AUDIT_LIMIT)
        since_ms = _parse_number(query, "since_ms", 0, 2**53)
        entries = [
            entry
            for entry in self._state.machine.settings.list_audit()
            if query.get("operator", entry.operator) == entry.operator
            and query.get("change_id", entry.change_id) == entry.change_id
            and entry.at_ms >= since_ms
            and any(query.get("subject", "") in s.subject for s in entry.subjects)
        ]
        return entries[:limit]

    async def read_call(self, request: AdminRequest) -> Claim:
        """Return the claim of a unique call, by its key or number."""
        await self._proposer.confirm_read()
        query = request.query
        ledger = self._state.machine.ledger
        if "number" in query:
            claim = ledger.find_claim_by_number(
                _parse_number(query, "number", 0, 2**53)
            )
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
        """Drain a backend server, or end its drain."""
        body = _decode_body(request, DrainRequestBody)
        is_known = body.server_id in self._state.members.members
        if body.drain and not is_known:
            raise AdminError(
                status=404,
                kind="no_such_server",
                message=f"no backend server {body.server_id} is announced; "
                "`carobctl status` lists them",
            )
        change = DrainChange(
            server_id=body.server_id,
            drain=body.drain,
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
        """Release the strikes of a request."""
        body = _decode_body(request, ReleaseRequestBody)
        release = StrikeRelease(
            workspace=body.workspace,
            request_hash=body.request_hash,
            operator=request.operator,
            at_ms=self._state.clock.read_wall_ms(),
        )
        result = await self._proposer.propose(Command(release=release))
        return CountReport(count=result.count)

    async def _preview_change(self, change: ChangeRequest) -> ChangeReport:
        await self._proposer.confirm_read()
        machine = self._state.machine.settings
        revision = machine.settings.revision
        if change.base_revision != revision:
            raise _build_refusal(machine.build_conflict_answer(change))
        try:
            subjects = machine.preview(change)
        except InvalidChangeError as error:
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


def _decode_body(request: AdminRequest, body_type: type[BodyType]) -> BodyType:
    return msgspec.json.decode(request.body, type=body_type)


def _parse_number(query: dict[str, str], name: str, default: int, high: int) -> int:
    value = query.get(name, str(default))
    if not value.isascii() or not value.isdigit() or int(value[:20]) > high:
        message = f"{name}: got {value!r}, expected a number from 0 to {high}"
        raise AdminError(status=400, kind="invalid", message=message)
    return int(value)


def _build_refusal(answer: ChangeAnswer) -> AdminError:
    return AdminError(
        status=HTTP_STATUS_BY_REFUSAL[answer.status],
        kind=answer.status.value,
        message=answer.reason,
        revision=answer.revision,
    )
