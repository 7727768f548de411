"""The settings as a state machine over change requests."""

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

#: Accepted changes whose audit entry is kept; the oldest go first.
MAX_AUDIT_ENTRIES = 10_000
#: Bytes of audit entries that are kept; the oldest go first.
MAX_AUDIT_BYTES = 4 * 1024 * 1024
#: Change identifiers whose first answer is kept. A change older than these
#: that is resent names an old base revision, so it is never applied again.
MAX_ANSWERS = 10_000


@dataclass(frozen=True, kw_only=True)
class RecordedAnswer:
    """The first answer to a change identifier and a digest of its content."""

    digest: bytes
    answer: ChangeAnswer


@dataclass(frozen=True, kw_only=True)
class SettingsSnapshot:
    """The whole state of the settings machine."""

    settings: Settings = field(default_factory=Settings)
    answers: dict[str, RecordedAnswer] = field(default_factory=dict)
    audit: tuple[bytes, ...] = ()


class SettingsMachine:
    """Holds the settings, the audit trail and the answers given.

    Every replica applies the same requests in the same order. The clock is
    never read: the time comes in the request.
    """

    def __init__(self) -> None:
        self.settings = Settings()
        self._answers: OrderedDict[str, RecordedAnswer] = OrderedDict()
        self._audit: deque[bytes] = deque()
        self._audit_bytes = 0

    def apply(self, request: ChangeRequest) -> ChangeAnswer:
        """Decide a request, or give the first answer to it again."""
        digest = _digest_content(request)
        remembered = self._answers.get(request.change_id)
        if remembered is not None:
            if remembered.digest == digest:
                return remembered.answer
            reason = f"change {request.change_id} was used for another change"
            return self._refuse(ChangeStatus.REUSED, reason)
        answer = self._decide(request)
        self._answers[request.change_id] = RecordedAnswer(digest=digest, answer=answer)
        if len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)
        return answer

    def preview(self, request: ChangeRequest) -> tuple[SubjectChange, ...]:
        """Return what a request would change, and change nothing.

        Raises:
            InvalidChangeError: The settings would not be sound.
        """
        return apply_changes(self.settings, request.changes)[1]

    def build_conflict_answer(self, request: ChangeRequest) -> ChangeAnswer:
        """Return the answer to a request that builds on another revision."""
        reason = (
            f"the change builds on revision {request.base_revision}, but revision "
            f"{self.settings.revision} stands; look at it, then send the change "
            "again on that revision under a new identifier"
        )
        return self._refuse(ChangeStatus.CONFLICT, reason)

    def get_last_audit_entry(self) -> AuditEntry | None:
        """Return the newest entry of the audit trail, or None."""
        if not self._audit:
            return None
        return msgspec.msgpack.decode(self._audit[-1], type=AuditEntry)

    def list_audit(self) -> list[AuditEntry]:
        """Return the audit trail, newest first."""
        decoder = msgspec.msgpack.Decoder(AuditEntry)
        return [decoder.decode(entry) for entry in reversed(self._audit)]

    def append_audit_entry(self, entry: AuditEntry) -> None:
        """Add to the audit trail and let go of what is over its bounds."""
        encoded = msgspec.msgpack.encode(entry)
        self._audit.append(encoded)
        self._audit_bytes += len(encoded)
        while len(self._audit) > 1 and (
            len(self._audit) > MAX_AUDIT_ENTRIES or self._audit_bytes > MAX_AUDIT_BYTES
        ):
            self._audit_bytes -= len(self._audit.popleft())

    def take_snapshot(self) -> SettingsSnapshot:
        """Return the whole state."""
        return SettingsSnapshot(
            settings=self.settings,
            answers=dict(self._answers),
            audit=tuple(self._audit),
        )

    def restore(self, snapshot: SettingsSnapshot) -> None:
        """Take over the state of a snapshot."""
        self.settings = snapshot.settings
        self._answers = OrderedDict(snapshot.answers)
        self._audit = deque(snapshot.audit)
        self._audit_bytes = sum(len(entry) for entry in snapshot.audit)

    def _decide(self, request: ChangeRequest) -> ChangeAnswer:
        revision = self.settings.revision
        if request.base_revision != revision:
            return self.build_conflict_answer(request)
        try:
            self.settings, subjects = apply_changes(self.settings, request.changes)
        except InvalidChangeError as error:
            return self._refuse(ChangeStatus.INVALID, str(error))
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

    def _refuse(self, status: ChangeStatus, reason: str) -> ChangeAnswer:
        revision = self.settings.revision
        return ChangeAnswer(status=status, revision=revision, reason=reason)


def _digest_content(request: ChangeRequest) -> bytes:
    # The base revision is left out: an operator's tool that resends a change
    # after a lost answer has read a newer revision by then.
    content = msgspec.msgpack.encode((request.operator, request.changes))
    return hashlib.blake2b(content, digest_size=16).digest()
