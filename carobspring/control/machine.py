"""The state machine that every control replica builds from the log."""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from carobspring.control.commands import (
    Command,
    CommandResult,
    DrainChange,
    StrikeRelease,
)
from carobspring.control.routing import RoutingChange, RoutingResult, RoutingStore
from carobspring.control.strikes import StrikeSnapshot, StrikeTable
from carobspring.domain import DomainError
from carobspring.ledger import LedgerSnapshot, UniqueCallLedger
from carobspring.ports import StateMachine
from carobspring.protocol import RoutingConfiguration
from carobspring.settings import (
    AuditEntry,
    SettingsMachine,
    SettingsSnapshot,
    SubjectChange,
)

_command_decoder = msgspec.msgpack.Decoder(Command)


@dataclass(frozen=True, kw_only=True)
class ControlSnapshot:
    """The whole replicated state."""

    settings: SettingsSnapshot = field(default_factory=SettingsSnapshot)
    ledger: LedgerSnapshot = field(default_factory=LedgerSnapshot)
    strikes: StrikeSnapshot = field(default_factory=StrikeSnapshot)
    drained: tuple[str, ...] = ()
    routing: RoutingConfiguration = field(default_factory=RoutingConfiguration)


class ControlMachine(StateMachine):
    """Settings, unique calls, strikes and drained servers.

    ``on_applied`` is called after each command and each restore, so that the
    streams may pass on what changed.
    """

    def __init__(self, *, on_applied: Callable[[], None] = lambda: None) -> None:
        self.settings = SettingsMachine()
        self.ledger = UniqueCallLedger()
        self.strikes = StrikeTable()
        self.drained: frozenset[str] = frozenset()
        self.routing = RoutingStore()
        self.on_applied = on_applied

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""
        try:
            result = self.apply_command(_command_decoder.decode(command))
        except (msgspec.MsgspecError, DomainError) as error:
            # Deterministic: every replica refuses the same bytes.
            result = CommandResult(error=f"unreadable command: {error}")
        self.on_applied()
        return msgspec.msgpack.encode(result)

    def apply_command(self, command: Command) -> CommandResult:
        """Apply a command to the part of the state that it is for."""
        if command.change is not None:
            return CommandResult(change=self.settings.apply(command.change))
        if command.claim is not None:
            return CommandResult(claim=self.ledger.apply_claim(command.claim))
        if command.outcome is not None:
            return CommandResult(outcome=self.ledger.apply_outcome(command.outcome))
        if command.expire is not None:
            return CommandResult(count=self.ledger.apply_expiry(command.expire))
        if command.release is not None:
            return CommandResult(count=self._release(command.release))
        if command.drain is not None:
            return CommandResult(count=self._drain(command.drain))
        if command.routing is not None:
            return CommandResult(routing=self._route(command.routing))
        return CommandResult(count=self.strikes.add(command.strikes))

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(
            ControlSnapshot(
                settings=self.settings.take_snapshot(),
                ledger=self.ledger.take_snapshot(),
                strikes=self.strikes.take_snapshot(),
                drained=tuple(sorted(self.drained)),
                routing=self.routing.content,
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Take over the state of a snapshot in place of the present one."""
        state = msgspec.msgpack.decode(snapshot, type=ControlSnapshot)
        self.settings.restore(state.settings)
        self.ledger.restore(state.ledger)
        self.strikes.restore(state.strikes)
        self.drained = frozenset(state.drained)
        self.routing.restore(state.routing)
        self.on_applied()

    def _release(self, release: StrikeRelease) -> int:
        count = self.strikes.release(release.workspace, release.request_hash)
        if count:
            subject = f"quarantine {release.workspace} {release.request_hash}"
            change = SubjectChange(subject=subject, before=f"{count} strikes")
            self._record(release.operator, release.at_ms, change)
        return count

    def _drain(self, change: DrainChange) -> int:
        present = change.server_id in self.drained
        if present is change.drain:
            return 0
        self.drained ^= {change.server_id}
        words = ("drained", "in service")
        before, after = words if present else words[::-1]
        subject = SubjectChange(
            subject=f"server {change.server_id}", before=before, after=after
        )
        self._record(change.operator, change.at_ms, subject)
        return 1

    def _route(self, change: RoutingChange) -> RoutingResult:
        before = self.routing.content.version
        answer = self.routing.apply(change)
        if answer.taken:
            subject = SubjectChange(
                subject="routes",
                before=f"version {before}",
                after=f"version {answer.version}",
            )
            self._record("", change.at_ms, subject)
        return answer

    def reset(self) -> None:
        """Forget everything, before the log is read again from its start."""
        self.restore(msgspec.msgpack.encode(ControlSnapshot()))

    def _record(self, operator: str, at_ms: int, change: SubjectChange) -> None:
        entry = AuditEntry(
            revision=self.settings.settings.revision,
            change_id="",
            operator=operator,
            at_ms=at_ms,
            subjects=(change,),
        )
        self.settings.record_action(entry)
