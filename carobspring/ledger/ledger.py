"""The unique-call state machine.

A call is known by workspace, service and idempotency key. Its record goes
from ``claimed`` to ``done``, ``not_run`` or ``unknown``; ``not_run`` may be
claimed anew under a larger number, ``unknown`` may still become ``done``, and
nothing else changes a final state.
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

#: Records are kept this long after their last change, then forgotten.
RETENTION_MS = 24 * 60 * 60 * 1000
#: A claim that nobody reported on for this long becomes ``unknown``.
CLAIM_TIMEOUT_MS = 60 * 60 * 1000
#: Claims that are kept whole at once; beyond them the oldest answered ones are
#: archived. Each takes about 1 KB of memory, of which a replica has 64 MB.
MAX_CLAIMS = 10_000
#: Bytes of all answers that are kept at once.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
#: Bytes of one answer; a larger one is noted as done without its content.
MAX_ONE_ANSWER_BYTES = 256 * 1024
#: Characters of a call's name: its workspace, service and idempotency key.
MAX_NAME_LENGTH = 512

#: Records that are looked at, oldest first, to make room for one claim.
ARCHIVE_SCAN = 64

CallKey = tuple[str, str, str]


@dataclass(frozen=True, kw_only=True)
class LedgerRecord:
    """A claim and the request that it was granted to."""

    claim: Claim
    request_id: str = ""


@dataclass(frozen=True, kw_only=True)
class LedgerSnapshot:
    """The whole state of the ledger, oldest change first."""

    last_number: int = 0
    records: tuple[LedgerRecord, ...] = ()
    #: The calls that are known by a digest alone, as the archive encodes them.
    archive: bytes = b""


class UniqueCallLedger:
    """Holds one record for each unique call.

    ``last_number`` is the largest number ever granted; numbers are fencing
    tokens, so they grow strictly and are never used twice.
    """

    def __init__(self) -> None:
        self.last_number = 0
        #: Claims and outcomes refused, by reason; not part of the state.
        self.refusal_counts: Counter[str] = Counter()
        self._records: OrderedDict[CallKey, LedgerRecord] = OrderedDict()
        self._archive = CallArchive()
        self._keys: dict[int, CallKey] = {}
        self._answer_bytes = 0

    def apply_claim(self, command: ClaimCommand) -> ClaimReply:
        """Grant the right to run a call once, or say how it stands."""
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
            # Nothing of the other request's claim is given away.
            self.refusal_counts["conflict"] += 1
            return ClaimReply(claim=_write_conflict(request))
        if request.request_id and request.request_id == record.request_id:
            return ClaimReply(claim=claim, granted=claim.state is ClaimState.CLAIMED)
        if claim.state is ClaimState.NOT_RUN and request.replaces == claim.number:
            return self._grant(key, command)
        return ClaimReply(claim=claim)

    def apply_outcome(self, command: OutcomeCommand) -> OutcomeReply:
        """Take an outcome over where the rules let it change the record."""
        report = command.report
        key = self._keys.get(report.number)
        if key is None:
            self.refusal_counts["no_such_claim"] += 1
            return OutcomeReply(error="no_such_claim")
        claim = self._records[key].claim
        error = _find_fault(claim, command)
        if error:
            self.refusal_counts[error] += 1
            return OutcomeReply(claim=claim, error=error)
        state = _choose_state(claim.state, report.run_status)
        if state is not claim.state:
            claim = self._change(key, state, report, command.at_ms)
        return OutcomeReply(claim=claim)

    def apply_expiry(self, command: ExpireCommand) -> int:
        """Forget old records and give up old claims; return how many."""
        changed = 0
        for key, record in list(self._records.items()):
            claim = record.claim
            age_ms = command.at_ms - claim.changed_ms
            if claim.state is ClaimState.CLAIMED:
                if age_ms >= CLAIM_TIMEOUT_MS:
                    unknown = OutcomeReport(
                        number=claim.number, run_status=RunStatus.UNKNOWN
                    )
                    self._change(key, ClaimState.UNKNOWN, unknown, command.at_ms)
                    changed += 1
            elif age_ms >= RETENTION_MS:
                self._forget(key)
                changed += 1
        return changed + self._archive.forget_older(command.at_ms - RETENTION_MS)

    def needs_expiry(self, at_ms: int) -> bool:
        """Say whether an expiry at this time would change anything."""
        if self._archive.has_older(at_ms - RETENTION_MS):
            return True
        for record in self._records.values():
            claimed = record.claim.state is ClaimState.CLAIMED
            allowed_ms = CLAIM_TIMEOUT_MS if claimed else RETENTION_MS
            if at_ms - record.claim.changed_ms >= allowed_ms:
                return True
        return False

    def find_claim(self, workspace: str, service: str, key: str) -> Claim | None:
        """Return the claim of a call, or None."""
        name = (workspace, service, key)
        record = self._records.get(name)
        return record.claim if record else self._find_archived(name)

    def count_archived(self) -> int:
        """Return how many calls are known by a digest alone."""
        return len(self._archive)

    def find_claim_by_number(self, number: int) -> Claim | None:
        """Return the claim with this number, unless it was replaced."""
        key = self._keys.get(number)
        return self._records[key].claim if key else None

    def count_claims(self) -> dict[ClaimState, int]:
        """Return how many records are in each state."""
        return dict(Counter(r.claim.state for r in self._records.values()))

    def take_snapshot(self) -> LedgerSnapshot:
        """Return the whole state."""
        return LedgerSnapshot(
            last_number=self.last_number,
            records=tuple(self._records.values()),
            archive=self._archive.encode(),
        )

    def restore(self, snapshot: LedgerSnapshot) -> None:
        """Take over the state of a snapshot."""
        self.last_number = snapshot.last_number
        self._records = OrderedDict(
            (_name_call(record.claim), record) for record in snapshot.records
        )
        self._archive.restore(snapshot.archive)
        self._keys = {r.claim.number: _name_call(r.claim) for r in snapshot.records}
        self._answer_bytes = sum(_measure_answer(r.claim) for r in snapshot.records)

    def _grant_first(self, key: CallKey, command: ClaimCommand) -> ClaimReply:
        self._make_room()
        error = ""
        if command.request.replaces:
            # The claim that this one follows was forgotten, so nobody can
            # say that no later attempt ran.
            error = "expired"
        elif sum(len(part) for part in key) > MAX_NAME_LENGTH:
            error = "name_too_long"
        elif len(self._records) >= MAX_CLAIMS:
            error = "ledger_full"
        elif self._answer_bytes >= MAX_ANSWER_BYTES:
            error = "ledger_full"
        if error:
            self.refusal_counts[error] += 1
            return ClaimReply(error=error)
        return self._grant(key, command)

    def _make_room(self) -> None:
        """Archive the oldest answered calls while there are too many."""
        for key, record in list(islice(self._records.items(), ARCHIVE_SCAN)):
            crowded = len(self._records) >= MAX_CLAIMS
            if not crowded and self._answer_bytes < MAX_ANSWER_BYTES:
                return
            if self._archive.is_full:
                return
            if record.claim.state is ClaimState.DONE:
                self._archive.add(key, record.claim.changed_ms)
                self._forget(key)

    def _find_archived(self, key: CallKey) -> Claim | None:
        changed_ms = self._archive.find_changed_ms(key)
        if changed_ms is None:
            return None
        workspace, service, name = key
        return Claim(
            number=0,
            workspace=workspace,
            service=service,
            key=name,
            request_hash="",
            server_id="",
            boot=0,
            state=ClaimState.DONE,
            changed_ms=changed_ms,
        )

    def _grant(self, key: CallKey, command: ClaimCommand) -> ClaimReply:
        request = command.request
        self._forget(key)
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
        self._keys[claim.number] = key
        return ClaimReply(claim=claim, granted=True)

    def _change(
        self, key: CallKey, state: ClaimState, report: OutcomeReport, at_ms: int
    ) -> Claim:
        record = self._records[key]
        claim = replace(record.claim, state=state, changed_ms=at_ms)
        if state is ClaimState.DONE and report.answer is not None:
            claim = replace(claim, answer=report.answer)
            if _measure_answer(claim) > MAX_ONE_ANSWER_BYTES:
                self.refusal_counts["answer_too_large"] += 1
                claim = replace(claim, answer=None)
        self._answer_bytes += _measure_answer(claim)
        self._records[key] = replace(record, claim=claim)
        return claim

    def _forget(self, key: CallKey) -> None:
        record = self._records.pop(key, None)
        if record is not None:
            del self._keys[record.claim.number]
            self._answer_bytes -= _measure_answer(record.claim)


def _find_fault(claim: Claim, command: OutcomeCommand) -> str:
    # Only the agent's own boot knows what ran. Another process may at most
    # give up on it, which is safe: "unknown" never permits a second run.
    report = command.report
    if report.boot == claim.boot:
        return ""
    if report.run_status is not RunStatus.UNKNOWN:
        return "wrong_boot"
    return "" if command.agent_gone else "agent_not_gone"


def _choose_state(state: ClaimState, run_status: RunStatus) -> ClaimState:
    if state is ClaimState.CLAIMED:
        return {
            RunStatus.RAN: ClaimState.DONE,
            RunStatus.NOT_RUN: ClaimState.NOT_RUN,
            RunStatus.UNKNOWN: ClaimState.UNKNOWN,
        }[run_status]
    if state is ClaimState.UNKNOWN and run_status is RunStatus.RAN:
        return ClaimState.DONE
    return state


def _name_call(claim: Claim) -> CallKey:
    return (claim.workspace, claim.service, claim.key)


def _measure_answer(claim: Claim) -> int:
    if claim.answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in claim.answer.headers)
    return len(claim.answer.body) + headers


def _write_conflict(request: ClaimRequest) -> Claim:
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
