import unittest
from dataclasses import replace

from carobspring.dispatch import CrashAttribution
from tests.dispatch.support import build_server

EVIDENCE_S = 10.0
SERVER = build_server("s1")
SERVER_RUN = ("s1", 1)
LATER_START = replace(SERVER, boot=2)
OTHER_SERVER = build_server("s2")
SUCCESSOR = replace(SERVER, server_id="s9", boot=2)


class CrashAttributionTests(unittest.TestCase):
    def setUp(self):
        self.attribution = CrashAttribution(evidence_s=EVIDENCE_S)
        self.now = 0.0

    def begin(self, name, server=SERVER, **values):
        return self.attribution.begin(server, lambda: (("w", name),), **values)

    def end(self, run, *, is_broken):
        return self.attribution.end(run, is_broken=is_broken, now=self.now)

    def record_crash(self, server_run=SERVER_RUN):
        keys = self.attribution.record_crash(server_run, self.now)
        return [name for _, name in keys]

    def test_requests_that_ran(self):
        """A crash is attributed to what ran there or broke a while before."""
        self.begin("running")
        self.begin("elsewhere", OTHER_SERVER)
        self.begin("at a later start", LATER_START)
        self.end(self.begin("answered"), is_broken=False)
        self.end(self.begin("broken long ago"), is_broken=True)
        self.now = EVIDENCE_S + 1
        self.end(self.begin("broken"), is_broken=True)
        self.assertEqual(self.record_crash(), ["running", "broken"])
        self.assertEqual(self.record_crash(), [])

    def test_end_after_the_crash(self):
        """A run that ends after the proof is attributed only once."""
        earlier = self.begin("earlier")
        self.record_crash()
        self.assertEqual(self.end(earlier, is_broken=True), ())
        later = self.begin("later")
        self.assertEqual(self.end(later, is_broken=True), (("w", "later"),))
        unsent = self.begin("unsent")
        self.assertEqual(self.end(unsent, is_broken=False), ())

    def test_proof_by_listed_servers(self):
        """A later start proves a crash unless the server was draining."""
        cases = {
            "first": (None, False, SERVER, None),
            "unchanged": (SERVER, False, SERVER, None),
            "later start": (SERVER, False, LATER_START, SERVER_RUN),
            "another at its address": (SERVER, False, SUCCESSOR, SERVER_RUN),
            "elsewhere": (SERVER, False, OTHER_SERVER, None),
            "after a drain": (SERVER, True, LATER_START, None),
            "late news of an earlier start": (LATER_START, False, SERVER, None),
        }
        for name, (first, draining, second, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                if first is not None:
                    self.attribution.record_listed(first, draining=draining)
                crashed = self.attribution.record_listed(second, draining=False)
                self.assertEqual(crashed, expected)

    def test_parts_of_requests_that_ran(self):
        """A part that several requests have is named once."""
        for name in ("x", "y"):
            causes = (("w", name), ("", "part:shared"), ("", f"part:{name}"))
            self.attribution.begin(SERVER, lambda causes=causes: causes)
        self.assertEqual(
            self.record_crash(), ["x", "part:shared", "part:x", "y", "part:y"]
        )

    def test_servers_of_suspects(self):
        """Servers where a suspect runs are known until it ends."""
        self.begin("sound", OTHER_SERVER)
        run = self.begin("suspect", is_suspect=True)
        self.assertEqual(self.attribution.list_suspect_servers(), {"s1"})
        self.end(run, is_broken=False)
        self.assertEqual(self.attribution.list_suspect_servers(), set())
