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


def claim(ledger: UniqueCallLedger, at_ms: int = 100, **changes: object) -> ClaimReply:
    request = replace(REQUEST, **changes)
    return ledger.apply_claim(ClaimCommand(request=request, at_ms=at_ms))


def report(
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


def make_ledger(*statuses: RunStatus) -> UniqueCallLedger:
    """Return a ledger with one claim and these outcomes, in turn."""
    ledger = UniqueCallLedger()
    claim(ledger)
    for status in statuses:
        report(ledger, status)
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
        """A call is granted once; later requests learn how it stands."""
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
            "not run, but not named": (
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
            "key that is too long": (
                (),
                {"key": "k" * 512},
                ClaimReply(error="name_too_long"),
            ),
            "attempt after a forgotten one": (
                (),
                {"key": "k9", "replaces": 1},
                ClaimReply(error="expired"),
            ),
        }
        for name, (statuses, changes, expected) in cases.items():
            ledger = make_ledger(*statuses)
            copies = {"same": ledger, "restored": copy_ledger(ledger)}
            for kind, copy in copies.items():
                with self.subTest(f"{name} {kind}"):
                    self.assertEqual(
                        claim(copy, **({"at_ms": 300} | changes)), expected
                    )

    def test_requests_without_identifier(self):
        """Without an identifier, a resend is another entry's request."""
        ledger = UniqueCallLedger()
        self.assertIs(claim(ledger, request_id="").granted, True)
        self.assertIs(claim(ledger, request_id="").granted, False)

    def test_numbers_are_never_used_twice(self):
        """A number stays used after its claim was forgotten."""
        ledger = make_ledger(RAN)
        ledger.apply_expiry(ExpireCommand(at_ms=200 + 24 * HOUR_MS))
        self.assertEqual(claim(copy_ledger(ledger)).claim.number, 2)

    def test_bounds(self):
        """With ledger and archive full, new calls are refused, none lost."""
        bounds = {"MAX_CLAIMS": 1, "MAX_STORED_RESPONSE_BYTES": 1}
        for name, bound in bounds.items():
            with self.subTest(name):
                with (
                    unittest.mock.patch.object(ledger_module, name, bound),
                    unittest.mock.patch.object(archive_module, "MAX_ARCHIVED_CALLS", 0),
                ):
                    ledger = make_ledger(RAN)
                    self.assertEqual(
                        claim(ledger, key="k2"), ClaimReply(error="ledger_full")
                    )
                    self.assertEqual(claim(ledger), ClaimReply(claim=DONE_CLAIM))


class ArchiveTests(unittest.TestCase):
    def make_archived(self) -> UniqueCallLedger:
        """Return a ledger whose first call ran and made room for another."""
        with unittest.mock.patch.object(ledger_module, "MAX_CLAIMS", 1):
            ledger = make_ledger(RAN)
            claim(ledger, key="k2")
        return ledger

    def test_archived_call_never_runs_again(self):
        """A resend learns that it ran; other names are other calls."""
        known = replace(
            FIRST,
            number=0,
            request_hash="",
            server_id="",
            boot=0,
            state=ClaimState.DONE,
            changed_ms=200,
        )
        cases = {
            "resend": ({}, ClaimReply(claim=known)),
            "resend as a follower": ({"replaces": 1}, ClaimReply(claim=known)),
            "other content": ({"request_hash": "x"}, ClaimReply(claim=known)),
        }
        for name, (changes, expected) in cases.items():
            for ledger in (self.make_archived(), copy_ledger(self.make_archived())):
                with self.subTest(name):
                    self.assertEqual(claim(ledger, **changes), expected)
        moved = claim(self.make_archived(), workspace="wb", service="ooking")
        self.assertIs(moved.granted, True)

    def test_expiry(self):
        """A digest is forgotten after the same time as a whole record."""
        for at_ms, forgotten in ((199, False), (200, True)):
            with self.subTest(at_ms):
                ledger = self.make_archived()
                at_ms += 24 * HOUR_MS
                self.assertIs(ledger.needs_expiry(at_ms), True)
                ledger.apply_expiry(ExpireCommand(at_ms=at_ms))
                self.assertEqual(ledger.count_archived(), 0 if forgotten else 1)

    def test_only_answered_calls_are_archived(self):
        """A call that may still run, or whose outcome is open, stays whole."""
        with unittest.mock.patch.object(ledger_module, "MAX_CLAIMS", 1):
            for statuses in ((), (UNKNOWN,), (NOT_RUN,)):
                with self.subTest(statuses):
                    ledger = make_ledger(*statuses)
                    before = ledger.find_claim("w", "booking", "k")
                    reply = claim(ledger, key="k2")
                    self.assertEqual(reply, ClaimReply(error="ledger_full"))
                    self.assertEqual(ledger.find_claim("w", "booking", "k"), before)


class OutcomeTests(unittest.TestCase):
    def test_states(self):
        """Only unknown may still become done; other final states stay."""
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
                reply = report(make_ledger(*statuses), status)
                self.assertEqual(reply, OutcomeReply(claim=expected))

    def test_who_may_report(self):
        """Only the claim's boot says what ran; others need it gone."""
        taken = OutcomeReply(claim=UNKNOWN_CLAIM)
        wrong = OutcomeReply(claim=FIRST, error="wrong_boot")
        alive = OutcomeReply(claim=FIRST, error="agent_not_gone")
        missing = OutcomeReply(error="no_such_claim")
        cases = {
            "ran under a later boot": ({"status": RAN, "boot": 8}, wrong),
            "ran by nobody's word": ({"status": RAN, "boot": 0}, wrong),
            "fenced by a later boot": ({"status": NOT_RUN, "boot": 8}, wrong),
            "fenced, boot gone": ({"status": NOT_RUN, "boot": 8, "gone": True}, wrong),
            "suspected": ({"status": UNKNOWN, "boot": 0}, alive),
            "later boot, not known": ({"status": UNKNOWN, "boot": 8}, alive),
            "suspected, gone": ({"status": UNKNOWN, "boot": 0, "gone": True}, taken),
            "no such claim": ({"status": RAN, "number": 5}, missing),
        }
        for name, (values, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(report(make_ledger(), **values), expected)

    def test_report_on_a_replaced_claim(self):
        """A late report on an earlier attempt does not touch the later one."""
        ledger = make_ledger(NOT_RUN)
        second = claim(ledger, replaces=1, request_id="r2").claim
        late = report(ledger, RAN, number=1)
        self.assertEqual(late, OutcomeReply(error="no_such_claim"))
        self.assertEqual(ledger.find_claim("w", "booking", "k"), second)

    def test_large_answer(self):
        """An answer over the bound is noted as done, without content."""
        with unittest.mock.patch.object(ledger_module, "MAX_RESPONSE_BYTES", 3):
            reply = report(make_ledger(), RAN)
        self.assertEqual(reply.claim, replace(DONE_CLAIM, answer=None))


class ExpiryTests(unittest.TestCase):
    def test_expiry(self):
        """Final states are kept a day; an open claim ends as unknown."""
        gave_up = replace(UNKNOWN_CLAIM, changed_ms=100 + HOUR_MS)
        cases = {
            "open": ((), 99 + HOUR_MS, FIRST),
            "given up": ((), 100 + HOUR_MS, gave_up),
            "done": ((RAN,), 199 + 24 * HOUR_MS, DONE_CLAIM),
            "done, forgotten": ((RAN,), 200 + 24 * HOUR_MS, None),
            "not run, forgotten": ((NOT_RUN,), 200 + 24 * HOUR_MS, None),
            "clock gone back": ((RAN,), 0, DONE_CLAIM),
        }
        for name, (statuses, at_ms, expected) in cases.items():
            with self.subTest(name):
                ledger = make_ledger(*statuses)
                before = ledger.find_claim("w", "booking", "k")
                needed = ledger.needs_expiry(at_ms)
                ledger.apply_expiry(ExpireCommand(at_ms=at_ms))
                found = ledger.find_claim("w", "booking", "k")
                self.assertEqual(found, expected)
                self.assertIs(needed, found != before)

    def test_forgotten_bytes_are_free(self):
        """Answers that were forgotten count no more against the bound."""
        with unittest.mock.patch.object(ledger_module, "MAX_STORED_RESPONSE_BYTES", 1):
            ledger = make_ledger(RAN)
            ledger.apply_expiry(ExpireCommand(at_ms=200 + 24 * HOUR_MS))
            self.assertIs(claim(ledger, key="k2").granted, True)
