import unittest
from dataclasses import replace

from carobspring.domain import BackendServer, ServiceKind
from carobspring.gateway.claims import AddressClaims, get_place

OLD = BackendServer(
    server_id="old",
    boot=1,
    service="svc",
    kind=ServiceKind.PLAIN,
    zone="a",
    host="10.0.0.1",
    port=80,
)
NEW = replace(OLD, server_id="new", boot=5)
PLACE = get_place(OLD)


class AddressClaimsTests(unittest.TestCase):
    def setUp(self):
        self.serving = set()
        self.claims = AddressClaims(
            is_serving=lambda server: server.server_id in self.serving
        )

    def test_holder(self):
        """Who serves has it, then who was not refuted, then the latest."""
        cases = {
            "nothing is known": ((), (), "new"),
            "the earlier one serves": (("old",), (), "old"),
            "both serve": (("old", "new"), (), "new"),
            "the later one was refuted": ((), ("new",), "old"),
            "the earlier one was refuted": ((), ("old",), "new"),
            "both were, the later one last": ((), ("old", "new"), "old"),
            "both were, the earlier one last": ((), ("new", "old"), "new"),
            "one that serves again was refuted": (("old",), ("old",), "old"),
        }
        for name, (serving, refuted, holder) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.serving.update(serving)
                for server in (OLD, NEW):
                    self.claims.claim(server)
                for server_id in refuted:
                    self.claims.refute(OLD if server_id == "old" else NEW)
                self.assertEqual(self.claims.find_holder(PLACE), holder)

    def test_response_that_refutes(self):
        """It counts at once, though the server still seems to serve."""
        for server in (OLD, NEW):
            self.claims.claim(server)
        self.serving.add("old")
        self.claims.refute(OLD)
        self.assertEqual(
            self.claims.find_holder(PLACE, refuted_now=OLD.server_id), "new"
        )

    def test_later_start(self):
        """A response to an earlier start does not refute a later one."""
        self.claims.claim(OLD)
        self.claims.claim(NEW)
        self.claims.refute(NEW)
        self.claims.claim(replace(NEW, boot=6))
        self.assertIs(self.claims.refute(NEW), None)
        self.assertEqual(self.claims.find_holder(PLACE), "new")

    def test_contested_addresses(self):
        """An address is contested while several servers name it."""
        self.claims.claim(OLD)
        self.assertEqual(self.claims.contested, set())
        self.claims.claim(NEW)
        self.assertEqual(self.claims.contested, {PLACE})
        self.claims.claim(replace(NEW, port=81))
        self.assertEqual(self.claims.contested, set())
        self.assertEqual(self.claims.withdraw("old"), PLACE)
        self.assertIs(self.claims.find_holder(PLACE), None)
