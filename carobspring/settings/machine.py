"""The state machine that applies change requests to the settings."""

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field

import msgspec

from carobspring.domain import Settings
from carobspring.settings.changes import (
    AuditEntry,
    ChangeAnswer,
    ChangeRequest,
    ChangeStatus,
    SubjectChange,
)
from carobspring.settings.evaluation import InvalidChangeError, apply_changes

#: Largest number of audit entries; the oldest are removed first.
MAX_AUDIT_ENTRIES = 10_000
#: Largest encoded size of all audit entries; the oldest are removed first.
MAX_AUDIT_BYTES = 4 * 1024 * 1024
#: Number of change identifiers whose answer is stored. A resent change whose
#: answer was removed has an outdated base revision, so it is never applied
#: again.
MAX_ANSWERS = 10_000


@dataclass(frozen=True, kw_only=True)
class RecordedAnswer:
    """The answer to a change identifier, with a digest of the request."""

    digest: bytes
    answer: ChangeAnswer


@dataclass(frozen=True, kw_only=True)
class SettingsSnapshot:
    """The complete state of the settings machine."""

    settings: Settings = field(default_factory=Settings)
    answers: dict[str, RecordedAnswer] = field(default_factory=dict)
    audit: tuple[bytes, ...] = ()


class SettingsMachine:
    """The settings, the audit trail and the answers to recent requests.

    Every replica applies the same requests in the same order. To be
    deterministic, the machine takes the time from the request and reads no
    clock.
    """

    def __init__(self) -> None:
        self.settings = Settings()
        self._answers: OrderedDict[str, RecordedAnswer] = OrderedDict()
        self._audit: deque[bytes] = deque()
        self._audit_bytes = 0

    def apply(self, request: ChangeRequest) -> ChangeAnswer:
        """Apply a request, or return the stored answer if it is resent."""
        digest = _hash_content(request)
        recorded = self._answers.get(request.change_id)
        if recorded is not None:
            if recorded.digest == digest:
                return recorded.answer
            reason = f"change {request.change_id} was used for another change"
            return self._build_refusal(ChangeStatus.REUSED, reason)
        answer = self._apply_new_request(request)
        self._answers[request.change_id] = RecordedAnswer(digest=digest, answer=answer)
        if len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)
        return answer

    def preview(self, request: ChangeRequest) -> tuple[SubjectChange, ...]:
        """Return the changes that a request would make, without applying it.

        Raises:
            InvalidChangeError: The resulting settings would be invalid.
        """
        return apply_changes(self.settings, request.changes)[1]

    def build_conflict_answer(self, request: ChangeRequest) -> ChangeAnswer:
        """Return the answer to a request with a different base revision."""
        reason = (
            f"the change builds on revision {request.base_revision}, but revision "
            f"{self.settings.revision} stands; look at it, then send the change "
            "again on that revision under a new identifier"
        )
        return self._build_refusal(ChangeStatus.CONFLICT, reason)

    def get_last_audit_entry(self) -> AuditEntry | None:
        """Return the newest audit entry, or None if there is none."""
        if not self._audit:
            return None
        return msgspec.msgpack.decode(self._audit[-1], type=AuditEntry)

    def list_audit(self) -> list[AuditEntry]:
        """Return all audit entries, newest first."""
        decoder = msgspec.msgpack.Decoder(AuditEntry)
        return [decoder.decode(entry) for entry in reversed(self._audit)]

    def append_audit_entry(self, entry: AuditEntry) -> None:
        """Append an audit entry, and remove the oldest beyond the limits."""
        encoded = msgspec.msgpack.encode(entry)
        self._audit.append(encoded)
        self._audit_bytes += len(encoded)
        while len(self._audit) > 1 and (
            len(self._audit) > MAX_AUDIT_ENTRIES or self._audit_bytes > MAX_AUDIT_BYTES
        ):
            self._audit_bytes -= len(self._audit.popleft())

    def take_snapshot(self) -> SettingsSnapshot:
        """Return a snapshot of the complete state."""
        return SettingsSnapshot(
            settings=self.settings,
            answers=dict(self._answers),
            audit=tuple(self._audit),
        )

    def restore(self, snapshot: SettingsSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.settings = snapshot.settings
        self._answers = OrderedDict(snapshot.answers)
        self._audit = deque(snapshot.audit)
        self._audit_bytes = sum(len(entry) for entry in snapshot.audit)

    def _apply_new_request(self, request: ChangeRequest) -> ChangeAnswer:
        revision = self.settings.revision
        if request.base_revision != revision:
            return self.build_conflict_answer(request)
        try:
            self.settings, subjects = apply_changes(self.settings, request.changes)
        except InvalidChangeError as error:
            return self._build_refusal(ChangeStatus.INVALID, str(error))
        entry = AuditEntry(
            revision=self.settings.revision,
            change_id=request.change_id,
            operator=request.operator,
            at_ms=request.at_ms,
            subjects=subjects,
        )
        self.append_audit_entry(entry)
        return ChangeAnswer(
            status=ChangeStatus.ACCEPTED, revision=self.settings.revision
        )

    def _build_refusal(self, status: ChangeStatus, reason: str) -> ChangeAnswer:
        revision = self.settings.revision
        return ChangeAnswer(status=status, revision=revision, reason=reason)


def _hash_content(request: ChangeRequest) -> bytes:
    # The base revision is excluded, because a tool that resends a change after
    # losing the answer may have read a newer revision in the meantime.
    content = msgspec.msgpack.encode((request.operator, request.changes))
    return hashlib.blake2b(content, digest_size=16).digest()
