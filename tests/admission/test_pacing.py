import unittest

from carobspring.admission import RequestPacer, compute_used_rate
from carobspring.protocol import AdmissionRequest

#: Requests a second that a pacer with this limit grants.
LIMIT_PER_S = 2.0
RATE_PER_S = compute_used_rate(LIMIT_PER_S)


class RequestPacerTests(unittest.TestCase):
    def setUp(self):
        self.pacer = RequestPacer(now=0.0)
        self.number = 0

    def submit(self, now, *, name="", entry="e1", target_s=1.0, **values):
        self.number += 1
        request = AdmissionRequest(
            request_id=name or f"q{self.number}",
            rate_limit=values.pop("limit", LIMIT_PER_S),
            target_left_ms=round(target_s * 1000),
            deadline_left_ms=round(values.pop("deadline_s", target_s) * 1000),
            **values,
        )
        return self.list_decisions(self.pacer.submit(entry, request, now))

    def tick(self, now):
        return self.list_decisions(self.pacer.tick(now))

    def list_decisions(self, decisions):
        return [
            (each.decision.request_id, each.decision.admitted) for each in decisions
        ]

    def test_rate_under_overload(self):
        """Whatever is asked, permits stay within the limit in every window."""
        for limit in (0.5, 1.8, 2.0, 20.0):
            with self.subTest(limit):
                self.setUp()
                granted = []
                for step in range(600):
                    now = step * 0.02
                    decisions = self.submit(now, limit=limit) + self.tick(now)
                    granted += [now for _, admitted in decisions if admitted]
                for start in granted:
                    count = sum(start <= at < start + 4.0 for at in granted)
                    self.assertLessEqual(count, 4.0 * limit + 1)
                self.assertGreater(len(granted), 0.7 * limit * 12.0)

    def test_new_pacer_has_no_permits(self):
        """A host that takes over grants nothing that another may have."""
        self.assertEqual(self.submit(0.0, may_wait=False), [("q1", False)])
        self.assertEqual(self.tick(1 / RATE_PER_S), [])
        decisions = self.submit(1 / RATE_PER_S, may_wait=False)
        self.assertEqual(decisions, [("q2", True)])

    def test_higher_classes_first(self):
        """Permits go by rank, then by due time."""
        for name, rank, target_s in (("c", 2, 5.0), ("b", 1, 5.0), ("a", 1, 4.0)):
            self.assertEqual(
                self.submit(0.0, name=name, rank=rank, target_s=target_s), []
            )
        order = []
        for step in range(1, 4):
            order += self.tick(1.01 * step / RATE_PER_S)
        self.assertEqual(order, [("a", True), ("b", True), ("c", True)])

    def test_no_wait_past_the_target(self):
        """What can't get a permit in time is rejected at once."""
        self.assertEqual(self.submit(0.0, target_s=1 / RATE_PER_S + 0.01), [])
        decisions = self.submit(0.0, target_s=1 / RATE_PER_S + 0.01)
        self.assertEqual(decisions, [("q2", False)])
        self.assertEqual(self.submit(0.0, target_s=0.1, deadline_s=4.0), [])

    def test_displaced_requests(self):
        """A request that others displace is told so, and not left waiting."""
        self.submit(0.0, name="low", rank=2, target_s=1 / RATE_PER_S + 0.01)
        decisions = self.submit(0.0, name="high", rank=1)
        self.assertEqual(decisions, [("low", False)])

    def test_left_requests(self):
        """Requests that ended, or whose entry left, use no permit."""
        self.submit(0.0, name="left", target_s=9.0)
        self.submit(0.0, name="of a lost entry", entry="e2", target_s=9.0)
        self.submit(0.0, name="stays", target_s=9.0)
        self.pacer.release("e1", "left")
        self.pacer.remove_entry("e2")
        self.assertEqual(self.tick(1 / RATE_PER_S), [("stays", True)])

    def test_zero_limit(self):
        """A server that takes nothing gets few requests, to notice its end."""
        granted = 0
        for step in range(3000):
            granted += sum(a for _, a in self.submit(step * 0.02, limit=0.0))
        self.assertTrue(1 <= granted <= 60 * 0.1 + 1)
