import unittest

from carobspring.dispatch import AttemptOutcome, Placement
from carobspring.dispatch.trials import MAX_PAUSE_S
from tests.dispatch.support import build_dispatcher, build_query, build_server

#: Servers that check in and answer nothing: more than a choice looks at.
FOREIGN_COUNT = 60
REQUEST_COUNT = 400
REQUEST_INTERVAL_S = 0.05


class TrialTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.sound = {"sound"}
        self.dispatcher = build_dispatcher(build_server("sound"))

    def add(self, name, *, boot=1):
        server = build_server(name, boot=boot)
        self.dispatcher.add_server(server, draining=False)

    def send(self):
        """Send a request until a server answers; return those that did not."""
        failed = set()
        query = build_query(f"q{self.now}")
        while True:
            placement = self.dispatcher.place(query, failed, self.now)
            self.assertIsInstance(placement, Placement)
            name = placement.server.server_id
            self.dispatcher.record_sent(placement, query, self.now)
            is_sound = name in self.sound
            outcome = AttemptOutcome.UNREACHABLE
            if is_sound:
                outcome = AttemptOutcome.ANSWERED
            self.dispatcher.record_end(name, query.request_id, outcome, self.now)
            if is_sound:
                return failed
            failed.add(name)

    def test_foreign_servers(self):
        """Servers that never answer take few requests from one that does."""
        self.send()
        failed = 0
        for number in range(REQUEST_COUNT):
            self.now += REQUEST_INTERVAL_S
            for each in range(FOREIGN_COUNT):
                # Each is another one before it has been tried again.
                self.add(f"f{each}", boot=number + 1)
            failed += len(self.send())
        self.assertLess(failed, REQUEST_COUNT * 0.05)

    def test_new_server(self):
        """One that answers gets its share, within a pause at the latest."""
        self.send()
        for number in range(FOREIGN_COUNT):
            self.add(f"f{number}")
        for _ in range(20):
            self.now += REQUEST_INTERVAL_S
            self.send()
        for number in range(FOREIGN_COUNT):
            self.dispatcher.remove_server(f"f{number}")
        self.add("new")
        self.sound.add("new")
        self.now += MAX_PAUSE_S
        for _ in range(20):
            self.now += REQUEST_INTERVAL_S
            self.assertEqual(self.send(), set())
        self.assertIs(self.dispatcher._records["new"].is_proven, True)
        # Its answer ends the pauses for the next ones.
        for each in ("newer", "newest"):
            self.add(each)
            self.sound.add(each)
        for _ in range(20):
            self.now += 0.001
            self.send()
        for each in ("newer", "newest"):
            self.assertIs(self.dispatcher._records[each].is_proven, True)

    def test_no_proven_server(self):
        """Without any that answered, all are tried at once."""
        self.dispatcher.remove_server("sound")
        for number in range(FOREIGN_COUNT):
            self.add(f"f{number}")
        self.sound = {"f7"}
        self.assertLessEqual(len(self.send()), FOREIGN_COUNT - 1)
