"""The state machine to which every control replica applies the log."""

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
from carobspring.metering import UsageLedger, UsageSnapshot
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
    """The complete replicated state."""

    settings: SettingsSnapshot = field(default_factory=SettingsSnapshot)
    ledger: LedgerSnapshot = field(default_factory=LedgerSnapshot)
    strikes: StrikeSnapshot = field(default_factory=StrikeSnapshot)
    drained: tuple[str, ...] = ()
    routing: RoutingConfiguration = field(default_factory=RoutingConfiguration)
    usage: UsageSnapshot = field(default_factory=UsageSnapshot)


class ControlMachine(StateMachine):
    """Holds settings, unique calls, strikes, drains, routes and usage.

    ``on_applied`` is called after each command and each restore, so that open
    streams can send what changed.
    """

    def __init__(self, *, on_applied: Callable[[], None] = lambda: None) -> None:
        self.settings = SettingsMachine()
        self.ledger = UniqueCallLedger()
        self.strikes = StrikeTable()
        self.drained: frozenset[str] = frozenset()
        self.routing = RoutingStore()
        self.usage = UsageLedger()
        self.on_applied = on_applied

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""
        try:
            result = self.apply_command(_command_decoder.decode(command))
        except (msgspec.MsgspecError, DomainError) as error:
            # Decoding is deterministic: every replica rejects the same bytes.
            result = CommandResult(error=f"unreadable command: {error}")
        self.on_applied()
        return msgspec.msgpack.encode(result)

    def apply_command(self, command: Command) -> CommandResult:
        """Apply a command to the part of the state that it changes."""
        if command.change is not None:
            return CommandResult(change=self.settings.apply(command.change))
        if command.claim is not None:
            return CommandResult(claim=self.ledger.apply_claim(command.claim))
        if command.outcome is not None:
            return CommandResult(outcome=self.ledger.apply_outcome(command.outcome))
        if command.expire is not None:
            return CommandResult(count=self.ledger.apply_expiry(command.expire))
        if command.release is not None:
            return CommandResult(count=self._release_strikes(command.release))
        if command.drain is not None:
            return CommandResult(count=self._set_drained(command.drain))
        if command.routing is not None:
            return CommandResult(routing=self._change_routing(command.routing))
        if command.usage is not None:
            return CommandResult(usage=self.usage.apply(command.usage))
        return CommandResult(count=self.strikes.add(command.strikes))

    def take_snapshot(self) -> bytes:
        """Return the complete state, encoded."""
        return msgspec.msgpack.encode(
            ControlSnapshot(
                settings=self.settings.take_snapshot(),
                ledger=self.ledger.take_snapshot(),
                strikes=self.strikes.take_snapshot(),
                drained=tuple(sorted(self.drained)),
                routing=self.routing.content,
                usage=self.usage.take_snapshot(),
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by that of a snapshot."""
        state = msgspec.msgpack.decode(snapshot, type=ControlSnapshot)
        self.settings.restore(state.settings)
        self.ledger.restore(state.ledger)
        self.strikes.restore(state.strikes)
        self.drained = frozenset(state.drained)
        self.routing.restore(state.routing)
        self.usage.restore(state.usage)
        self.on_applied()

    def _release_strikes(self, release: StrikeRelease) -> int:
        count = self.strikes.release(release.workspace, release.request_hash)
        if count:
            subject = f"quarantine {release.workspace} {release.request_hash}"
            change = SubjectChange(subject=subject, before=f"{count} strikes")
            self._record_audit_entry(release.operator, release.at_ms, change)
        return count

    def _set_drained(self, change: DrainChange) -> int:
        is_drained = change.server_id in self.drained
        if is_drained is change.drain:
            return 0
        self.drained ^= {change.server_id}
        states = ("drained", "in service")
        before, after = states if is_drained else states[::-1]
        subject = SubjectChange(
            subject=f"server {change.server_id}", before=before, after=after
        )
        self._record_audit_entry(change.operator, change.at_ms, subject)
        return 1

    def _change_routing(self, change: RoutingChange) -> RoutingResult:
        previous_version = self.routing.content.version
        result = self.routing.apply(change)
        if result.taken:
            subject = SubjectChange(
                subject="routes",
                before=f"version {previous_version}",
                after=f"version {result.version}",
            )
            self._record_audit_entry("", change.at_ms, subject)
        return result

    def reset(self) -> None:
        """Clear the state before the log is replayed from its start."""
        self.restore(msgspec.msgpack.encode(ControlSnapshot()))

    def _record_audit_entry(
        self, operator: str, at_ms: int, change: SubjectChange
    ) -> None:
        entry = AuditEntry(
            revision=self.settings.settings.revision,
            change_id="",
            operator=operator,
            at_ms=at_ms,
            subjects=(change,),
        )
        self.settings.append_audit_entry(entry)
