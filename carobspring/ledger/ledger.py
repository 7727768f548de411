"""State machine of unique calls.

A call is identified by its workspace, service and idempotency key. Its record
changes from ``claimed`` to ``done``, ``not_run`` or ``unknown``. A call that
is ``not_run`` may be claimed again under a larger number, and ``unknown`` may
still become ``done``. No other change of a final state is allowed.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, replace
from itertools import islice

from carobspring.domain import RunStatus
from carobspring.ledger.archive import CallArchive
from carobspring.ledger.commands import (
    ClaimCommand,
    ExpireCommand,
    OutcomeCommand,
)
from carobspring.protocol import (
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    OutcomeReply,
    OutcomeReport,
)

#: Time after its last change at which a record is removed.
RETENTION_MS = 24 * 60 * 60 * 1000
#: Time after which a claim without a reported outcome becomes ``unknown``.
CLAIM_TIMEOUT_MS = 60 * 60 * 1000
#: Largest number of records. Beyond it, the oldest completed calls are
#: archived. A record takes about 1 KB of memory, of which a replica has 64 MB.
MAX_CLAIMS = 10_000
#: Total size of all stored responses, in bytes.
MAX_STORED_RESPONSE_BYTES = 4 * 1024 * 1024
#: Size of one stored response, in bytes. A call with a larger one is recorded
#: as done without its response.
MAX_RESPONSE_BYTES = 256 * 1024
#: Total length of a call's workspace, service and idempotency key, in
#: characters.
MAX_CALL_KEY_LENGTH = 512

#: Number of records checked, oldest first, to free space for one claim.
MAX_ARCHIVE_SCAN_RECORDS = 64

#: Workspace, service and idempotency key.
CallKey = tuple[str, str, str]


@dataclass(frozen=True, kw_only=True)
class LedgerRecord:
    """A claim and the identifier of the request that it was granted to."""

    claim: Claim
    request_id: str = ""


@dataclass(frozen=True, kw_only=True)
class LedgerSnapshot:
    """The complete state of the ledger, with records in order of grant."""

    last_number: int = 0
    records: tuple[LedgerRecord, ...] = ()
    #: Archived calls, as CallArchive encodes them.
    archive: bytes = b""


class UniqueCallLedger:
    """Stores one record for each unique call.

    ``last_number`` is the largest number granted so far. Numbers are fencing
    tokens, so they strictly increase and are never reused.
    """

    def __init__(self) -> None:
        self.last_number = 0
        #: Refused claims and outcomes by reason; not part of the state.
        self.refusal_counts: Counter[str] = Counter()
        self._records: OrderedDict[CallKey, LedgerRecord] = OrderedDict()
        self._archive = CallArchive()
        self._keys_by_number: dict[int, CallKey] = {}
        self._stored_response_bytes = 0

    def apply_claim(self, command: ClaimCommand) -> ClaimReply:
        """Grant the right to run a call once, or return its current claim."""
        request = command.request
        key = (request.workspace, request.service, request.key)
        record = self._records.get(key)
        if record is None:
            archived = self._find_archived(key)
            if archived is not None:
                return ClaimReply(claim=archived)
            return self._grant_first(key, command)
        claim = record.claim
        if claim.request_hash != request.request_hash:
            # The reply reveals nothing of the other request's claim.
            self.refusal_counts["conflict"] += 1
            return ClaimReply(claim=_build_conflict_claim(request))
        if request.request_id and request.request_id == record.request_id:
            return ClaimReply(claim=claim, granted=claim.state is ClaimState.CLAIMED)
        if claim.state is ClaimState.NOT_RUN and request.replaces == claim.number:
            return self._grant(key, command)
        return ClaimReply(claim=claim)

    def apply_outcome(self, command: OutcomeCommand) -> OutcomeReply:
        """Update a record with an outcome if its state allows that."""
        report = command.report
        key = self._keys_by_number.get(report.number)
        if key is None:
            self.refusal_counts["no_such_claim"] += 1
            return OutcomeReply(error="no_such_claim")
        claim = self._records[key].claim
        error = _find_refusal_reason(claim, command)
        if error:
            self.refusal_counts[error] += 1
            return OutcomeReply(claim=claim, error=error)
        state = _compute_next_state(claim.state, report.run_status)
        if state is not claim.state:
            claim = self._update_claim(key, state, report, command.at_ms)
        return OutcomeReply(claim=claim)

    def apply_expiry(self, command: ExpireCommand) -> int:
        """Remove old records and time out old claims; return how many."""
        changed = 0
        for key, record in list(self._records.items()):
            claim = record.claim
            age_ms = command.at_ms - claim.changed_ms
            if claim.state is ClaimState.CLAIMED:
                if age_ms >= CLAIM_TIMEOUT_MS:
                    unknown = OutcomeReport(
                        number=claim.number, run_status=RunStatus.UNKNOWN
                    )
                    self._update_claim(key, ClaimState.UNKNOWN, unknown, command.at_ms)
                    changed += 1
            elif age_ms >= RETENTION_MS:
                self._remove(key)
                changed += 1
        return changed + self._archive.remove_expired(command.at_ms - RETENTION_MS)

    def needs_expiry(self, at_ms: int) -> bool:
        """Return whether an expiry at this time would change the state."""
        if self._archive.has_expired(at_ms - RETENTION_MS):
            return True
        for record in self._records.values():
            is_claimed = record.claim.state is ClaimState.CLAIMED
            max_age_ms = CLAIM_TIMEOUT_MS if is_claimed else RETENTION_MS
            if at_ms - record.claim.changed_ms >= max_age_ms:
                return True
        return False

    def find_claim(self, workspace: str, service: str, key: str) -> Claim | None:
        """Return the claim of a call, or None."""
        call_key = (workspace, service, key)
        record = self._records.get(call_key)
        return record.claim if record else self._find_archived(call_key)

    def count_archived(self) -> int:
        """Return the number of archived calls."""
        return len(self._archive)

    def find_claim_by_number(self, number: int) -> Claim | None:
        """Return the claim with this number, unless it was replaced."""
        key = self._keys_by_number.get(number)
        return self._records[key].claim if key else None

    def count_claims(self) -> dict[ClaimState, int]:
        """Return the number of records in each state."""
        return dict(Counter(r.claim.state for r in self._records.values()))

    def take_snapshot(self) -> LedgerSnapshot:
        """Return the complete state."""
        return LedgerSnapshot(
            last_number=self.last_number,
            records=tuple(self._records.values()),
            archive=self._archive.encode(),
        )

    def restore(self, snapshot: LedgerSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.last_number = snapshot.last_number
        self._records = OrderedDict(
            (_build_call_key(record.claim), record) for record in snapshot.records
        )
        self._archive.restore(snapshot.archive)
        self._keys_by_number = {
            r.claim.number: _build_call_key(r.claim) for r in snapshot.records
        }
        self._stored_response_bytes = sum(
            _compute_response_bytes(r.claim) for r in snapshot.records
        )

    def _grant_first(self, key: CallKey, command: ClaimCommand) -> ClaimReply:
        self._archive_oldest()
        error = ""
        if command.request.replaces:
            # The claim to be retried was removed, so a later attempt may
            # already have run.
            error = "expired"
        elif sum(len(part) for part in key) > MAX_CALL_KEY_LENGTH:
            error = "name_too_long"
        elif len(self._records) >= MAX_CLAIMS:
            error = "ledger_full"
        elif self._stored_response_bytes >= MAX_STORED_RESPONSE_BYTES:
            error = "ledger_full"
        if error:
            self.refusal_counts[error] += 1
            return ClaimReply(error=error)
        return self._grant(key, command)

    def _archive_oldest(self) -> None:
        """Archive the oldest completed calls while the ledger is full."""
        for key, record in list(
            islice(self._records.items(), MAX_ARCHIVE_SCAN_RECORDS)
        ):
            is_full = len(self._records) >= MAX_CLAIMS
            if not is_full and self._stored_response_bytes < MAX_STORED_RESPONSE_BYTES:
                return
            if self._archive.is_full:
                return
            if record.claim.state is ClaimState.DONE:
                self._archive.add(key, record.claim.changed_ms)
                self._remove(key)

    def _find_archived(self, key: CallKey) -> Claim | None:
        changed_ms = self._archive.find_changed_ms(key)
        if changed_ms is None:
            return None
        workspace, service, idempotency_key = key
        return Claim(
            number=0,
            workspace=workspace,
            service=service,
            key=idempotency_key,
            request_hash="",
            server_id="",
            boot=0,
            state=ClaimState.DONE,
            changed_ms=changed_ms,
        )

    def _grant(self, key: CallKey, command: ClaimCommand) -> ClaimReply:
        request = command.request
        self._remove(key)
        self.last_number += 1
        claim = Claim(
            number=self.last_number,
            workspace=request.workspace,
            service=request.service,
            key=request.key,
            request_hash=request.request_hash,
            server_id=request.server_id,
            boot=request.boot,
            state=ClaimState.CLAIMED,
            changed_ms=command.at_ms,
        )
        self._records[key] = LedgerRecord(claim=claim, request_id=request.request_id)
        self._keys_by_number[claim.number] = key
        return ClaimReply(claim=claim, granted=True)

    def _update_claim(
        self, key: CallKey, state: ClaimState, report: OutcomeReport, at_ms: int
    ) -> Claim:
        record = self._records[key]
        claim = replace(record.claim, state=state, changed_ms=at_ms)
        if state is ClaimState.DONE and report.answer is not None:
            claim = replace(claim, answer=report.answer)
            if _compute_response_bytes(claim) > MAX_RESPONSE_BYTES:
                self.refusal_counts["answer_too_large"] += 1
                claim = replace(claim, answer=None)
        self._stored_response_bytes += _compute_response_bytes(claim)
        self._records[key] = replace(record, claim=claim)
        return claim

    def _remove(self, key: CallKey) -> None:
        record = self._records.pop(key, None)
        if record is not None:
            del self._keys_by_number[record.claim.number]
            self._stored_response_bytes -= _compute_response_bytes(record.claim)


def _find_refusal_reason(claim: Claim, command: OutcomeCommand) -> str:
    # Only the boot that holds the claim knows whether the call ran. Another
    # process may only report "unknown", which is safe because it never permits
    # a second run.
    report = command.report
    if report.boot == claim.boot:
        return ""
    if report.run_status is not RunStatus.UNKNOWN:
        return "wrong_boot"
    return "" if command.agent_gone else "agent_not_gone"


def _compute_next_state(state: ClaimState, run_status: RunStatus) -> ClaimState:
    if state is ClaimState.CLAIMED:
        return {
            RunStatus.RAN: ClaimState.DONE,
            RunStatus.NOT_RUN: ClaimState.NOT_RUN,
            RunStatus.UNKNOWN: ClaimState.UNKNOWN,
        }[run_status]
    if state is ClaimState.UNKNOWN and run_status is RunStatus.RAN:
        return ClaimState.DONE
    return state


def _build_call_key(claim: Claim) -> CallKey:
    return (claim.workspace, claim.service, claim.key)


def _compute_response_bytes(claim: Claim) -> int:
    if claim.answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in claim.answer.headers)
    return len(claim.answer.body) + headers


def _build_conflict_claim(request: ClaimRequest) -> Claim:
    return Claim(
        number=0,
        workspace=request.workspace,
        service=request.service,
        key=request.key,
        request_hash=request.request_hash,
        server_id="",
        boot=0,
        state=ClaimState.CONFLICT,
    )
