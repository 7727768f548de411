import unittest

from carobspring.adapters.clock import SystemClock
from carobspring.control.sessions import EntrySession
from carobspring.control.state import ControlState
from carobspring.protocol import EntryReport, VersionSighting
from tests.control.test_gossip import ManualClock


class PeerAddressTests(unittest.TestCase):
    def setUp(self):
        self.state = ControlState(replica_id="r1", clock=SystemClock())

    def report(self, session, name, address):
        session.handle_report(
            EntryReport(entry_id=name, zone="a", peer_address=address)
        )

    def take(self, session):
        update = session.build_update()
        return update.entries_added, update.entries_removed

    def test_changes(self):
        """A stream gets all addresses first, then only what changes."""
        first, second = (EntrySession(state=self.state) for _ in range(2))
        self.report(first, "e1", "10.0.0.1:7341")
        self.report(second, "e2", "10.0.0.2:7341")
        both = ("10.0.0.1:7341", "10.0.0.2:7341")
        self.assertEqual(self.take(first), (both, ()))
        self.assertEqual(self.take(first), ((), ()))
        self.report(second, "e2", "10.0.0.9:7341")
        self.assertEqual(self.take(first), (("10.0.0.9:7341",), ("10.0.0.2:7341",)))
        self.assertEqual(self.take(second), (("10.0.0.1:7341", "10.0.0.9:7341"), ()))

    def test_complete_update(self):
        """An update that replaces all an entry knows has every address."""
        session = EntrySession(state=self.state)
        self.report(session, "e1", "10.0.0.1:7341")
        self.take(session)
        session._view = None
        update = session.build_update()
        self.assertIs(update.complete, True)
        self.assertEqual(update.entries_added, ("10.0.0.1:7341",))


class VersionSightingTests(unittest.TestCase):
    def test_account(self):
        """A stream is told at first, at each change and when confirmed."""
        clock = ManualClock()
        state = ControlState(replica_id="r1", clock=clock)
        confirmed = [False]
        session = EntrySession(state=state, is_confirmed=lambda: confirmed[0])
        former = VersionSighting(service="svc", version="v1", age_ms=0)
        clock.now = 9.0
        steps = {
            "first": (lambda: None, ((), 9000)),
            "nothing new": (lambda: None, ((), 0)),
            "a version left": (
                lambda: state.members.versions.record("svc", "v1", 9.0),
                ((former,), 9000),
            ),
            "confirmed": (lambda: confirmed.insert(0, True), ((former,), 9000)),
            "nothing new again": (lambda: None, ((), 0)),
        }
        for name, (change, expected) in steps.items():
            with self.subTest(name):
                change()
                update = session.build_update()
                self.assertEqual(
                    (update.sightings, update.sightings_cover_ms), expected
                )


class QuestionTests(unittest.TestCase):
    def test_answers(self):
        """The next update repeats when the entry asked, and the account."""
        clock = ManualClock()
        state = ControlState(replica_id="r1", clock=clock)
        clock.now = 9.0
        session = EntrySession(state=state)
        session.build_update()
        steps = {
            # name: (when the entry asks, answer and account, asks at once)
            "no report": (None, (0.0, 0), None),
            "a report that doesn't ask": (0.0, (0.0, 0), False),
            "one that asks": (3.5, (3.5, 9000), True),
            "after the answer": (None, (0.0, 0), None),
        }
        for name, (asked_at, expected, is_urgent) in steps.items():
            with self.subTest(name):
                if asked_at is not None:
                    report = EntryReport(entry_id="e1", zone="a", asked_at=asked_at)
                    self.assertIs(session.handle_report(report), is_urgent)
                update = session.build_update()
                self.assertEqual((update.asked_at, update.sightings_cover_ms), expected)

    def test_report_after_a_question(self):
        """A heartbeat before the answer doesn't take the question back."""
        session = EntrySession(state=ControlState(replica_id="r1", clock=SystemClock()))
        for asked_at in (3.5, 0.0):
            session.handle_report(
                EntryReport(entry_id="e1", zone="a", asked_at=asked_at)
            )
        self.assertEqual(session.build_update().asked_at, 3.5)

    def test_replica_out_of_step(self):
        """A question waits until the replica has heard of most others."""
        is_in_step = [False]
        session = EntrySession(
            state=ControlState(replica_id="r1", clock=SystemClock()),
            is_confirmed=lambda: False,
            is_in_step=lambda: is_in_step[-1],
        )
        session.handle_report(EntryReport(entry_id="e1", zone="a", asked_at=3.5))
        self.assertEqual(session.build_update().asked_at, 0.0)
        is_in_step.append(True)
        self.assertEqual(session.build_update().asked_at, 3.5)
        self.assertEqual(session.build_update().asked_at, 0.0)
