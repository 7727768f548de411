import unittest
import unittest.mock
from dataclasses import replace

from carobspring.domain import RunStatus
from carobspring.ledger import (
    ClaimCommand,
    ExpireCommand,
    OutcomeCommand,
    UniqueCallLedger,
    archive as archive_module,
    ledger as ledger_module,
)
from carobspring.protocol import (
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    OutcomeReply,
    OutcomeReport,
    StoredResponse,
)

ANSWER = StoredResponse(status=201, headers=(("a", "b"),), body=b"booked")
REQUEST = ClaimRequest(
    workspace="w",
    service="booking",
    key="k",
    request_hash="h",
    server_id="m1",
    boot=7,
    request_id="r1",
)
FIRST = Claim(
    number=1,
    workspace="w",
    service="booking",
    key="k",
    request_hash="h",
    server_id="m1",
    boot=7,
    state=ClaimState.CLAIMED,
    changed_ms=100,
)
HOUR_MS = 60 * 60 * 1000


def claim_call(
    ledger: UniqueCallLedger, at_ms: int = 100, **changes: object
) -> ClaimReply:
    request = replace(REQUEST, **changes)
    return ledger.apply_claim(ClaimCommand(request=request, at_ms=at_ms))


def report_outcome(
    ledger: UniqueCallLedger,
    status: RunStatus,
    *,
    number: int = 1,
    boot: int = 7,
    gone: bool = False,
    at_ms: int = 200,
    answer: StoredResponse | None = ANSWER,
) -> OutcomeReply:
    answer = answer if status is RunStatus.RAN else None
    outcome = OutcomeReport(number=number, run_status=status, answer=answer, boot=boot)
    command = OutcomeCommand(report=outcome, at_ms=at_ms, agent_gone=gone)
    return ledger.apply_outcome(command)


def build_ledger(*statuses: RunStatus) -> UniqueCallLedger:
    """Return a ledger with one claim and these outcomes, in turn."""
    ledger = UniqueCallLedger()
    claim_call(ledger)
    for status in statuses:
        report_outcome(ledger, status)
    return ledger


def copy_ledger(ledger: UniqueCallLedger) -> UniqueCallLedger:
    restored = UniqueCallLedger()
    restored.restore(ledger.take_snapshot())
    return restored


RAN, NOT_RUN, UNKNOWN = RunStatus.RAN, RunStatus.NOT_RUN, RunStatus.UNKNOWN
DONE_CLAIM = replace(FIRST, state=ClaimState.DONE, answer=ANSWER, changed_ms=200)
NOT_RUN_CLAIM = replace(FIRST, state=ClaimState.NOT_RUN, changed_ms=200)
UNKNOWN_CLAIM = replace(FIRST, state=ClaimState.UNKNOWN, changed_ms=200)
CONFLICT_CLAIM = replace(
    FIRST,
    number=0,
    request_hash="other",
    server_id="",
    boot=0,
    state=ClaimState.CONFLICT,
    changed_ms=0,
)


class ClaimTests(unittest.TestCase):
    def test_claims(self):
        """A call is granted once; later requests get its current claim."""
        other = {"request_id": "r2", "server_id": "m2", "boot": 9}
        second = replace(FIRST, number=2, server_id="m2", boot=9, changed_ms=300)
        cases = {
            "resend of the request": ((), {}, ClaimReply(claim=FIRST, granted=True)),
            "other entry": ((), other, ClaimReply(claim=FIRST)),
            "no request identifiers": ((), {"request_id": ""}, ClaimReply(claim=FIRST)),
            "resend after done": ((RAN,), {}, ClaimReply(claim=DONE_CLAIM)),
            "other entry after done": ((RAN,), other, ClaimReply(claim=DONE_CLAIM)),
            "other entry after unknown": (
                (UNKNOWN,),
                other,
                ClaimReply(claim=UNKNOWN_CLAIM),
            ),
            "next attempt after unknown": (
                (UNKNOWN,),
                other | {"replaces": 1},
                ClaimReply(claim=UNKNOWN_CLAIM),
            ),
            "next attempt while claimed": (
                (),
                other | {"replaces": 1},
                ClaimReply(claim=FIRST),
            ),
            "not run, without a replaced number": (
                (NOT_RUN,),
                other,
                ClaimReply(claim=NOT_RUN_CLAIM),
            ),
            "next attempt after not run": (
                (NOT_RUN,),
                other | {"replaces": 1},
                ClaimReply(claim=second, granted=True),
            ),
            "next attempt after another number": (
                (NOT_RUN,),
                other | {"replaces": 3},
                ClaimReply(claim=NOT_RUN_CLAIM),
            ),
            "other request under the key": (
                (RAN,),
                other | {"request_hash": "other"},
                ClaimReply(claim=CONFLICT_CLAIM),
            ),
            "key of another workspace": (
                (RAN,),
                {"workspace": "x", "at_ms": 100},
                ClaimReply(claim=replace(FIRST, number=2, workspace="x"), granted=True),
            ),
            "call key that is too long": (
                (),
                {"key": "k" * 512},
                ClaimReply(error="name_too_long"),
            ),
            "attempt after a removed one": (
                (),
                {"key": "k9", "replaces": 1},
                ClaimReply(error="expired"),
            ),
        }
        for name, (statuses, changes, expected) in cases.items():
            ledger = build_ledger(*statuses)
            copies = {"same": ledger, "restored": copy_ledger(ledger)}
            for kind, copy in copies.items():
                with self.subTest(f"{name} {kind}"):
                    self.assertEqual(
                        claim_call(copy, **({"at_ms": 300} | changes)), expected
                    )

    def test_requests_without_identifier(self):
        """Without an identifier, a resend is treated as another request."""
        ledger = UniqueCallLedger()
        self.assertIs(claim_call(ledger, request_id="").granted, True)
        self.assertIs(claim_call(ledger, request_id="").granted, False)

    def test_numbers_are_never_reused(self):
        """A number is not granted again after its claim was removed."""
        ledger = build_ledger(RAN)
        ledger.apply_expiry(ExpireCommand(at_ms=200 + 24 * HOUR_MS))
        self.assertEqual(claim_call(copy_ledger(ledger)).claim.number, 2)

    def test_limits(self):
        """A ledger with a full archive refuses new calls and loses none."""
        limits = {"MAX_CLAIMS": 1, "MAX_STORED_RESPONSE_BYTES": 1}
        for name, limit in limits.items():
            with self.subTest(name):
                with (
                    unittest.mock.patch.object(ledger_module, name, limit),
                    unittest.mock.patch.object(archive_module, "MAX_ARCHIVED_CALLS", 0),
                ):
                    ledger = build_ledger(RAN)
                    self.assertEqual(
                        claim_call(ledger, key="k2"), ClaimReply(error="ledger_full")
                    )
                    self.assertEqual(claim_call(ledger), ClaimReply(claim=DONE_CLAIM))


class ArchiveTests(unittest.TestCase):
    def build_archived(self) -> UniqueCallLedger:
        """Return a ledger whose first call ran and was archived."""
        with unittest.mock.patch.object(ledger_module, "MAX_CLAIMS", 1):
            ledger = build_ledger(RAN)
            claim_call(ledger, key="k2")
        return ledger

    def test_archived_call_never_runs_again(self):
        """A resend gets the state done; another call key is another call."""
        archived = replace(
            FIRST,
            number=0,
            request_hash="",
            server_id="",
            boot=0,
            state=ClaimState.DONE,
            changed_ms=200,
        )
        cases = {
            "resend": ({}, ClaimReply(claim=archived)),
            "resend as a retry": ({"replaces": 1}, ClaimReply(claim=archived)),
            "other content": ({"request_hash": "x"}, ClaimReply(claim=archived)),
        }
        for name, (changes, expected) in cases.items():
            for ledger in (self.build_archived(), copy_ledger(self.build_archived())):
                with self.subTest(name):
                    self.assertEqual(claim_call(ledger, **changes), expected)
        other = claim_call(self.build_archived(), workspace="wb", service="ooking")
        self.assertIs(other.granted, True)

    def test_expiry(self):
        """A digest is removed after the same time as a complete record."""
        for at_ms, is_removed in ((199, False), (200, True)):
            with self.subTest(at_ms):
                ledger = self.build_archived()
                at_ms += 24 * HOUR_MS
                self.assertIs(ledger.needs_expiry(at_ms), True)
                ledger.apply_expiry(ExpireCommand(at_ms=at_ms))
                self.assertEqual(ledger.count_archived(), 0 if is_removed else 1)

    def test_expiry_out_of_order(self):
        """A digest is removed in time behind one that was claimed earlier."""
        archive = archive_module.CallArchive()
        archive.add(("w", "booking", "claimed first, ended last"), 500)
        archive.add(("w", "booking", "ended first"), 200)
        for cutoff_ms, removed in ((199, 0), (200, 1), (499, 0), (500, 1)):
            with self.subTest(cutoff_ms):
                self.assertIs(archive.has_expired(cutoff_ms), removed == 1)
                self.assertEqual(archive.remove_expired(cutoff_ms), removed)

    def test_only_completed_calls_are_archived(self):
        """A call that is claimed, not run or unknown is never archived."""
        with unittest.mock.patch.object(ledger_module, "MAX_CLAIMS", 1):
            for statuses in ((), (UNKNOWN,), (NOT_RUN,)):
                with self.subTest(statuses):
                    ledger = build_ledger(*statuses)
                    before = ledger.find_claim("w", "booking", "k")
                    reply = claim_call(ledger, key="k2")
                    self.assertEqual(reply, ClaimReply(error="ledger_full"))
                    self.assertEqual(ledger.find_claim("w", "booking", "k"), before)


class OutcomeTests(unittest.TestCase):
    def test_states(self):
        """Only unknown may still become done; other final states are kept."""
        cases = {
            "done": ((), RAN, DONE_CLAIM),
            "not run": ((), NOT_RUN, NOT_RUN_CLAIM),
            "unknown": ((), UNKNOWN, UNKNOWN_CLAIM),
            "late answer after unknown": ((UNKNOWN,), RAN, DONE_CLAIM),
            "late fence after unknown": ((UNKNOWN,), NOT_RUN, UNKNOWN_CLAIM),
            "answer after not run": ((NOT_RUN,), RAN, NOT_RUN_CLAIM),
            "unknown after not run": ((NOT_RUN,), UNKNOWN, NOT_RUN_CLAIM),
            "unknown after done": ((RAN,), UNKNOWN, DONE_CLAIM),
            "fence after done": ((RAN,), NOT_RUN, DONE_CLAIM),
        }
        for name, (statuses, status, expected) in cases.items():
            with self.subTest(name):
                reply = report_outcome(build_ledger(*statuses), status)
                self.assertEqual(reply, OutcomeReply(claim=expected))

    def test_who_may_report(self):
        """Only the claim's boot may report any outcome.

        Other processes may report "unknown" once that boot is gone.
        """
        accepted = OutcomeReply(claim=UNKNOWN_CLAIM)
        wrong = OutcomeReply(claim=FIRST, error="wrong_boot")
        alive = OutcomeReply(claim=FIRST, error="agent_not_gone")
        missing = OutcomeReply(error="no_such_claim")
        cases = {
            "ran under a later boot": ({"status": RAN, "boot": 8}, wrong),
            "ran, reported by another process": ({"status": RAN, "boot": 0}, wrong),
            "fenced by a later boot": ({"status": NOT_RUN, "boot": 8}, wrong),
            "fenced, boot gone": ({"status": NOT_RUN, "boot": 8, "gone": True}, wrong),
            "unknown by another process": ({"status": UNKNOWN, "boot": 0}, alive),
            "unknown by a later boot": ({"status": UNKNOWN, "boot": 8}, alive),
            "unknown by another process, boot gone": (
                {"status": UNKNOWN, "boot": 0, "gone": True},
                accepted,
            ),
            "no such claim": ({"status": RAN, "number": 5}, missing),
        }
        for name, (values, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(report_outcome(build_ledger(), **values), expected)

    def test_report_on_a_replaced_claim(self):
        """A late report on an earlier attempt doesn't change the later one."""
        ledger = build_ledger(NOT_RUN)
        second = claim_call(ledger, replaces=1, request_id="r2").claim
        late = report_outcome(ledger, RAN, number=1)
        self.assertEqual(late, OutcomeReply(error="no_such_claim"))
        self.assertEqual(ledger.find_claim("w", "booking", "k"), second)

    def test_large_response(self):
        """A call with a response over the limit is done without response."""
        with unittest.mock.patch.object(ledger_module, "MAX_RESPONSE_BYTES", 3):
            reply = report_outcome(build_ledger(), RAN)
        self.assertEqual(reply.claim, replace(DONE_CLAIM, answer=None))


class ExpiryTests(unittest.TestCase):
    def test_expiry(self):
        """Final states are kept for a day; a claim times out after an hour."""
        timed_out = replace(UNKNOWN_CLAIM, changed_ms=100 + HOUR_MS)
        cases = {
            "claimed": ((), 99 + HOUR_MS, FIRST),
            "claimed, timed out": ((), 100 + HOUR_MS, timed_out),
            "done": ((RAN,), 199 + 24 * HOUR_MS, DONE_CLAIM),
            "done, removed": ((RAN,), 200 + 24 * HOUR_MS, None),
            "not run, removed": ((NOT_RUN,), 200 + 24 * HOUR_MS, None),
            "clock went back": ((RAN,), 0, DONE_CLAIM),
        }
        for name, (statuses, at_ms, expected) in cases.items():
            with self.subTest(name):
                ledger = build_ledger(*statuses)
                before = ledger.find_claim("w", "booking", "k")
                needed = ledger.needs_expiry(at_ms)
                ledger.apply_expiry(ExpireCommand(at_ms=at_ms))
                found = ledger.find_claim("w", "booking", "k")
                self.assertEqual(found, expected)
                self.assertIs(needed, found != before)

    def test_expired_responses_free_space(self):
        """Responses that were removed no longer count towards the limit."""
        with unittest.mock.patch.object(ledger_module, "MAX_STORED_RESPONSE_BYTES", 1):
            ledger = build_ledger(RAN)
            ledger.apply_expiry(ExpireCommand(at_ms=200 + 24 * HOUR_MS))
            self.assertIs(claim_call(ledger, key="k2").granted, True)
