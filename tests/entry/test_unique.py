import asyncio

from aiohttp import ClientPayloadError

from carobspring.domain import RunStatus, ServiceKind, hash_request
from carobspring.entry.responses import MAX_BUFFERED_BYTES
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
    ResponseHead,
    StoredResponse,
    ViewUpdate,
)
from tests.entry.deployment import EntryTestCase, wait_until
from tests.entry.fakes import KEY_B, FakeAgent

BOOK = "/services/desk/book"
KEY = {"Idempotency-Key": "k1"}
BODY = b'{"id": "x"}'


class UniqueCallTest(EntryTestCase):
    async def asyncSetUp(self):
        """Connect a real ledger to the fake control replica."""
        await super().asyncSetUp()
        self.ledger = UniqueCallLedger()
        self.agent_gone = False
        self.control.answer_claim = lambda request: self.ledger.apply_claim(
            ClaimCommand(request=request, at_ms=1)
        )
        self.control.answer_outcome = lambda report: self.ledger.apply_outcome(
            OutcomeCommand(report=report, at_ms=1, agent_gone=self.agent_gone)
        )
        self.plain_agent.on_run = self.run_and_commit

    def commit(self, number, status=RunStatus.RAN, body=BODY):
        """Commit an outcome as an agent does."""
        stored = StoredResponse(status=200, body=body)
        report = OutcomeReport(
            number=number,
            run_status=status,
            boot=1,
            answer=stored if status is RunStatus.RAN else None,
        )
        self.control.answer_outcome(report)

    async def run_and_commit(self, request, send):
        """Run a claim and commit its outcome before sending the end."""
        self.commit(request.claim)
        await self.plain_agent.send_script(request, send)

    async def book(self, data=b"{}", headers=KEY):
        """Send one unique call; return the status and the body or error."""
        async with self.client.post(BOOK, data=data, headers=headers) as response:
            if response.status == 200:
                return 200, await response.read()
            error = (await response.json())["error"]
            return response.status, error["code"], error["ran"]

    def claim_elsewhere(self, server_id="d1", boot=1):
        """Claim the call as another entry does; return the claim's number."""
        request = ClaimRequest(
            workspace="shop-a",
            service="desk",
            key="k1",
            request_hash=self.request_hash,
            server_id=server_id,
            boot=boot,
            request_id="other",
        )
        return self.control.answer_claim(request).claim.number

    @property
    def request_hash(self):
        """Hash of the request that ``book`` sends."""
        return hash_request("POST", "/book", b"{}")

    async def test_resends_get_the_first_response(self):
        """A call runs once and each resend gets the stored response."""
        results = [await self.book() for _ in range(3)]
        self.assertEqual(results, [(200, BODY)] * 3)
        self.assertEqual([run.claim for run in self.plain_agent.runs], [1])
        self.assertIs(self.plain_agent.runs[0].repeatable, False)

    async def test_simultaneous_resends_run_once(self):
        """Of concurrent resends one runs; the others get its response."""
        self.plain_agent.on_resume = self.plain_agent.send_script
        proceed = asyncio.Event()

        async def wait_then_run(request, send):
            self.plain_agent.fence_reply = FenceReply(
                run_status=RunStatus.UNKNOWN, call_id=request.call_id
            )
            await proceed.wait()
            await self.run_and_commit(request, send)

        self.plain_agent.on_run = wait_then_run
        tasks = [asyncio.ensure_future(self.book()) for _ in range(4)]
        await wait_until(lambda: len(self.control.claims) >= 4)
        proceed.set()
        results = await asyncio.gather(*tasks)
        self.assertEqual((results, len(self.plain_agent.runs)), ([(200, BODY)] * 4, 1))

    async def test_same_key_with_another_body(self):
        """A key that was used for another request is rejected."""
        await self.book()
        got = await self.book(data=b'{"other": 1}')
        self.assertEqual(got, (422, "idempotency_conflict", "not_run"))

    async def test_same_key_of_another_workspace(self):
        """Keys of different workspaces are independent."""
        await self.book()
        self.plain_agent.script[2:4] = [CallEvent(data=b"for b only!", offset=0)]
        other = {**KEY, "Authorization": f"Bearer {KEY_B}"}
        self.assertEqual(await self.book(headers=other), (200, b"for b only!"))
        self.assertEqual(
            [run.workspace for run in self.plain_agent.runs], ["shop-a", "shop-b"]
        )

    async def test_resend_attaches_to_a_running_claim(self):
        """A resend attaches to an existing run and starts none."""
        number = self.claim_elsewhere()
        self.plain_agent.fence_reply = FenceReply(
            run_status=RunStatus.UNKNOWN, call_id="theirs"
        )
        self.assertEqual(await self.book(), (200, BODY))
        self.assertEqual(self.plain_agent.runs, [])
        self.assertEqual([r.call_id for r in self.plain_agent.resumes], ["theirs"])
        self.assertEqual([f.claim for f in self.plain_agent.fences], [number])

    async def test_claim_that_never_started_is_replaced(self):
        """A claim is committed as not run before a new one runs."""
        self.claim_elsewhere()
        self.assertEqual(await self.book(), (200, BODY))
        states = [(o.number, o.run_status) for o in self.control.outcomes]
        self.assertEqual(states[0], (1, RunStatus.NOT_RUN))
        self.assertEqual([run.claim for run in self.plain_agent.runs], [2])

    async def test_claim_of_a_restarted_agent_is_unknown(self):
        """A claim with another agent boot number is never run again."""
        self.claim_elsewhere(boot=7)
        self.agent_gone = True
        unknown = (409, "outcome_unknown", "unknown")
        self.assertEqual([await self.book(), await self.book()], [unknown] * 2)
        self.assertEqual(self.plain_agent.runs, [])

    async def test_claim_of_a_silent_agent_stays_open(self):
        """A claim stays open until control knows that the agent is gone."""
        self.claim_elsewhere(server_id="d9")
        self.assertEqual(await self.book(), (409, "still_running", "unknown"))
        self.assertEqual((self.plain_agent.runs, self.ledger.last_number), ([], 1))

    async def test_late_outcome_is_found(self):
        """A resend gets an outcome that was committed after "unknown"."""
        number = self.claim_elsewhere(boot=7)
        self.agent_gone = True
        await self.book()
        late = OutcomeReport(
            number=number,
            run_status=RunStatus.RAN,
            boot=7,
            answer=StoredResponse(status=200, body=BODY),
        )
        self.control.answer_outcome(late)
        self.assertEqual(await self.book(), (200, BODY))

    async def test_run_that_fails_is_not_repeated(self):
        """A failure during the run gives "unknown" and no second run."""

        async def fail(request, send):
            self.commit(request.claim, RunStatus.UNKNOWN)
            await send(CallEvent(end=CallEnd(run_status=RunStatus.UNKNOWN)))

        self.plain_agent.on_run = fail
        self.agent_gone = True
        self.plain_agent.fence_reply = FenceReply(run_status=RunStatus.UNKNOWN)
        self.assertEqual(await self.book(), (409, "outcome_unknown", "unknown"))
        self.assertEqual(len(self.plain_agent.runs), 1)

    async def test_response_that_broke_off_after_it_began(self):
        """Nothing is sent behind what the caller already has."""
        part = b"x" * (1024 * 1024)
        parts = [
            CallEvent(data=part, offset=number * len(part))
            for number in range(MAX_BUFFERED_BYTES // len(part) + 1)
        ]
        head = CallEvent(head=ResponseHead(status=200))
        size = len(part) * len(parts)
        lost = CallEnd(run_status=RunStatus.UNKNOWN, reason="agent_lost")
        ran = CallEnd(run_status=RunStatus.RAN)

        async def break_off(request, send):
            self.plain_agent.fence_reply = FenceReply(
                run_status=RunStatus.UNKNOWN, call_id=request.call_id
            )
            for event in (head, *parts, CallEvent(end=lost, offset=size)):
                await send(event)

        async def send_all(request, send):
            for event in (head, *parts, CallEvent(end=ran, offset=size)):
                await send(event)

        self.plain_agent.on_run = break_off
        self.plain_agent.on_resume = send_all
        with self.assertRaises(ClientPayloadError):
            await self.book()

    async def test_refused_run_is_claimed_for_another_server(self):
        """A call rejected by its agent is claimed for another server."""
        second = await FakeAgent("d2", kind=ServiceKind.PLAIN).start()
        self.addCleanup(second.stop)
        second.on_run = self.run_and_commit
        self.plain_agent.on_run = self.plain_agent.refuse
        self.control.push(ViewUpdate(servers=(second.describe(),)))
        await wait_until(lambda: self.entry._router.find_server("d2") is not None)
        for number in range(4):
            got = await self.book(headers={"Idempotency-Key": f"n{number}"})
            self.assertEqual(got, (200, BODY))
        self.assertEqual(len(second.runs), 4)

    async def test_not_run_is_reported_after_the_commit(self):
        """The caller gets "not run" only after the ledger committed it."""
        self.plain_agent.on_run = self.plain_agent.refuse
        self.assertEqual(await self.book(), (503, "overloaded", "not_run"))
        claim = self.ledger.find_claim_by_number(1)
        self.assertIs(claim.state, ClaimState.NOT_RUN)

    async def test_refusal_without_quorum_is_unknown(self):
        """Without a commit the outcome of a rejected call is "unknown"."""
        self.plain_agent.on_run = self.plain_agent.refuse
        self.control.answer_outcome = lambda _: OutcomeReply(error="no_quorum")
        self.entry._dependencies.claim_timeout_s = 2.0
        got = await self.book()
        self.assertEqual(got, (503, "claim_unavailable", "unknown"))

    async def test_nothing_is_sent_without_a_claim(self):
        """Without a quorum the call is not sent to any agent."""
        self.control.answer_claim = lambda _: ClaimReply(error="no_quorum")
        self.entry._dependencies.claim_timeout_s = 0.5
        got = await self.book()
        self.assertEqual(got, (503, "claim_unavailable", "unknown"))
        self.assertEqual(self.plain_agent.runs, [])

    async def test_stored_response_outlives_the_server(self):
        """A resend gets the stored response when no server is left."""
        await self.book()
        self.control.push(ViewUpdate(removed=("d1",)))
        await wait_until(lambda: self.entry._router.find_server("d1") is None)
        self.assertEqual(await self.book(), (200, BODY))
        got = await self.book(headers={"Idempotency-Key": "new"})
        self.assertEqual(got, (503, "no_backend", "not_run"))

    async def test_lost_reply_of_the_ledger(self):
        """A claim whose reply was lost is granted when requested again."""
        answer_claim = self.control.answer_claim
        replies = []

        def lose_first(request):
            replies.append(answer_claim(request))
            return replies[-1] if len(replies) > 1 else None

        self.control.answer_claim = lose_first
        self.assertEqual(await self.book(), (200, BODY))
        self.assertEqual([run.claim for run in self.plain_agent.runs], [1])
