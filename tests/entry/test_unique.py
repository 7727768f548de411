import asyncio

from carobspring.domain import RunStatus, ServiceKind, hash_request
from carobspring.ledger import ClaimCommand, OutcomeCommand, UniqueCallLedger
from carobspring.protocol import (
    CallEnd,
    CallEvent,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    FenceReply,
    OutcomeReply,
    OutcomeReport,
    StoredAnswer,
    ViewUpdate,
)
from tests.entry.deployment import EntryTestCase, wait_until
from tests.entry.fakes import KEY_B, FakeAgent

BOOK = "/services/desk/book"
KEY = {"Idempotency-Key": "k1"}
BODY = b'{"id": "x"}'


class UniqueCallTest(EntryTestCase):
    async def asyncSetUp(self):
        """Put the real ledger behind the fake control replica."""
        await super().asyncSetUp()
        self.ledger = UniqueCallLedger()
        self.agent_gone = False
        self.control.answer_claim = lambda request: self.ledger.apply_claim(
            ClaimCommand(request=request, at_ms=1)
        )
        self.control.answer_outcome = lambda report: self.ledger.apply_outcome(
            OutcomeCommand(report=report, at_ms=1, agent_gone=self.agent_gone)
        )
        self.desk.on_run = self.run_and_commit

    def commit(self, number, status=RunStatus.RAN, body=BODY):
        """Have an outcome committed, as an agent does."""
        stored = StoredAnswer(status=200, body=body)
        report = OutcomeReport(
            number=number,
            run_status=status,
            boot=1,
            answer=stored if status is RunStatus.RAN else None,
        )
        self.control.answer_outcome(report)

    async def run_and_commit(self, request, send):
        """Run the claim and commit before the end is told."""
        self.commit(request.claim)
        await self.desk.play(request, send)

    async def book(self, data=b"{}", headers=KEY):
        """Send one unique call and return status and error code or body."""
        async with self.client.post(BOOK, data=data, headers=headers) as answer:
            if answer.status == 200:
                return 200, await answer.read()
            error = (await answer.json())["error"]
            return answer.status, error["code"], error["ran"]

    def claim_elsewhere(self, server_id="d1", boot=1):
        """Have another entry claim the call; return the claim's number."""
        request = ClaimRequest(
            workspace="shop-a",
            service="desk",
            key="k1",
            request_hash=self.hash,
            server_id=server_id,
            boot=boot,
            request_id="other",
        )
        return self.control.answer_claim(request).claim.number

    @property
    def hash(self):
        """The digest of the request that ``book`` sends."""
        return hash_request("POST", "/book", b"{}")

    async def test_resends_get_the_first_answer(self):
        """A call runs once; each resend gets the same answer."""
        answers = [await self.book() for _ in range(3)]
        self.assertEqual(answers, [(200, BODY)] * 3)
        self.assertEqual([run.claim for run in self.desk.runs], [1])
        self.assertIs(self.desk.runs[0].repeatable, False)

    async def test_simultaneous_resends_run_once(self):
        """Copies sent at once run once; the others attach or are told."""
        self.desk.on_resume = self.desk.play
        gate = asyncio.Event()

        async def wait_then_run(request, send):
            self.desk.fence_reply = FenceReply(
                run_status=RunStatus.UNKNOWN, call_id=request.call_id
            )
            await gate.wait()
            await self.run_and_commit(request, send)

        self.desk.on_run = wait_then_run
        books = [asyncio.ensure_future(self.book()) for _ in range(4)]
        await wait_until(lambda: len(self.control.claims) >= 4)
        gate.set()
        answers = await asyncio.gather(*books)
        self.assertEqual((answers, len(self.desk.runs)), ([(200, BODY)] * 4, 1))

    async def test_same_key_with_other_content(self):
        """One key never stands for two requests."""
        await self.book()
        got = await self.book(data=b'{"other": 1}')
        self.assertEqual(got, (422, "idempotency_conflict", "not_run"))

    async def test_same_key_of_another_workspace(self):
        """Another workspace's key gives nobody this one's answer."""
        await self.book()
        self.desk.script[2:4] = [CallEvent(data=b"for b only!", offset=0)]
        other = {**KEY, "Authorization": f"Bearer {KEY_B}"}
        self.assertEqual(await self.book(headers=other), (200, b"for b only!"))
        self.assertEqual(
            [run.workspace for run in self.desk.runs], ["shop-a", "shop-b"]
        )

    async def test_claim_that_may_run_is_attached_to(self):
        """A resend that finds a run follows it and starts none."""
        number = self.claim_elsewhere()
        self.desk.fence_reply = FenceReply(
            run_status=RunStatus.UNKNOWN, call_id="theirs"
        )
        self.assertEqual(await self.book(), (200, BODY))
        self.assertEqual(self.desk.runs, [])
        self.assertEqual([r.call_id for r in self.desk.resumes], ["theirs"])
        self.assertEqual([f.claim for f in self.desk.fences], [number])

    async def test_claim_that_never_started_is_followed(self):
        """A fenced claim is committed as not run before a new one runs."""
        self.claim_elsewhere()
        self.assertEqual(await self.book(), (200, BODY))
        states = [(o.number, o.run_status) for o in self.control.outcomes]
        self.assertEqual(states[0], (1, RunStatus.NOT_RUN))
        self.assertEqual([run.claim for run in self.desk.runs], [2])

    async def test_claim_of_a_restarted_agent_is_unknown(self):
        """A claim under another boot number is never run again."""
        self.claim_elsewhere(boot=7)
        self.agent_gone = True
        unknown = (409, "outcome_unknown", "unknown")
        self.assertEqual([await self.book(), await self.book()], [unknown] * 2)
        self.assertEqual(self.desk.runs, [])

    async def test_claim_of_a_silent_agent_is_not_decided_here(self):
        """While control can't say that the agent is gone, neither can this."""
        self.claim_elsewhere(server_id="d9")
        self.assertEqual(await self.book(), (409, "still_running", "unknown"))
        self.assertEqual((self.desk.runs, self.ledger.last_number), ([], 1))

    async def test_late_outcome_is_found(self):
        """An outcome that is committed after "unknown" reaches a resend."""
        number = self.claim_elsewhere(boot=7)
        self.agent_gone = True
        await self.book()
        late = OutcomeReport(
            number=number,
            run_status=RunStatus.RAN,
            boot=7,
            answer=StoredAnswer(status=200, body=BODY),
        )
        self.control.answer_outcome(late)
        self.assertEqual(await self.book(), (200, BODY))

    async def test_run_that_fails_is_not_repeated(self):
        """A desk that fails during the call gives "unknown", not a rerun."""

        async def fail(request, send):
            self.commit(request.claim, RunStatus.UNKNOWN)
            await send(CallEvent(end=CallEnd(run_status=RunStatus.UNKNOWN)))

        self.desk.on_run = fail
        self.agent_gone = True
        self.desk.fence_reply = FenceReply(run_status=RunStatus.UNKNOWN)
        self.assertEqual(await self.book(), (409, "outcome_unknown", "unknown"))
        self.assertEqual(len(self.desk.runs), 1)

    async def test_refused_run_is_followed_by_another(self):
        """A claim that its agent refused may be claimed for another one."""
        second = await FakeAgent("d2", kind=ServiceKind.PLAIN).start()
        self.addCleanup(second.stop)
        second.on_run = self.run_and_commit
        self.desk.on_run = self.desk.refuse
        self.control.push(ViewUpdate(servers=(second.describe(),)))
        await wait_until(lambda: self.entry._router.find_server("d2") is not None)
        for number in range(4):
            got = await self.book(headers={"Idempotency-Key": f"n{number}"})
            self.assertEqual(got, (200, BODY))
        self.assertEqual(len(second.runs), 4)

    async def test_refusal_is_said_once_it_is_committed(self):
        """ "Not run" is told to the caller when the ledger has it."""
        self.desk.on_run = self.desk.refuse
        self.assertEqual(await self.book(), (503, "overloaded", "not_run"))
        claim = self.ledger.find_number(1)
        self.assertIs(claim.state, ClaimState.NOT_RUN)

    async def test_refusal_without_quorum_is_unknown(self):
        """Without the commit nobody may say that the call did not run."""
        self.desk.on_run = self.desk.refuse
        self.control.answer_outcome = lambda _: OutcomeReply(error="no_quorum")
        self.entry._parts.claim_timeout_s = 2.0
        got = await self.book()
        self.assertEqual(got, (503, "claim_unavailable", "unknown"))

    async def test_nothing_is_sent_without_a_claim(self):
        """Without a quorum no agent hears of the call."""
        self.control.answer_claim = lambda _: ClaimReply(error="no_quorum")
        self.entry._parts.claim_timeout_s = 0.5
        got = await self.book()
        self.assertEqual(got, (503, "claim_unavailable", "unknown"))
        self.assertEqual(self.desk.runs, [])

    async def test_answer_outlives_the_server(self):
        """A stored answer is given when no server is left."""
        await self.book()
        self.control.push(ViewUpdate(removed=("d1",)))
        await wait_until(lambda: self.entry._router.find_server("d1") is None)
        self.assertEqual(await self.book(), (200, BODY))
        got = await self.book(headers={"Idempotency-Key": "new"})
        self.assertEqual(got, (503, "no_backend", "not_run"))

    async def test_lost_reply_of_the_ledger(self):
        """A claim whose grant was lost on the way is granted to its resend."""
        answer = self.control.answer_claim
        replies = []

        def lose_first(request):
            replies.append(answer(request))
            return replies[-1] if len(replies) > 1 else None

        self.control.answer_claim = lose_first
        self.assertEqual(await self.book(), (200, BODY))
        self.assertEqual([run.claim for run in self.desk.runs], [1])
