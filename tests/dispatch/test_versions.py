import dataclasses
import unittest

from carobspring.dispatch import Placement, Refusal, RefusalReason
from tests.dispatch.support import build_dispatcher, build_query, build_server

PARTS = (("a1", 2000), ("b2", 2000), ("c3", 100))


def build_versioned(name, version, **options):
    server = build_server(name, **options)
    return dataclasses.replace(server, software_version=version)


class VersionTests(unittest.TestCase):
    def test_choice_by_version(self):
        """A request that needs a version is placed only at servers with it."""
        cases = {
            # name: (versions by server, version, servers that may get it)
            "any": (("v1", "v2"), None, {"s0", "s1"}),
            "one of two": (("v1", "v2"), "v2", {"s1"}),
            "none is named": (("", "v2"), "", {"s0"}),
            "few of many": (("v1",) * 40 + ("v2",) * 2, "v2", {"s40", "s41"}),
        }
        for name, (versions, version, expected) in cases.items():
            with self.subTest(name):
                servers = [
                    build_versioned(f"s{number}", each, zone="ab"[number % 2])
                    for number, each in enumerate(versions)
                ]
                dispatcher = build_dispatcher(*servers)
                placed = set()
                for number in range(40):
                    query = build_query(
                        f"q{number}", parts=PARTS, software_version=version
                    )
                    placement = dispatcher.place(query, frozenset(), 0.0)
                    dispatcher.record_sent(placement, query, 0.0)
                    placed.add(placement.server.server_id)
                self.assertEqual(placed, expected)

    def test_refusals(self):
        """A refusal tells whether there is any server of the version."""
        dispatcher = build_dispatcher(
            build_versioned("s0", "v1"), build_versioned("s1", "v2")
        )
        cases = {
            # name: (version, servers tried, reason, detail)
            "none has it": (
                "v3",
                (),
                RefusalReason.NO_SERVER_OF_VERSION,
                "other_version=2",
            ),
            "tried": (
                "v1",
                ("s0",),
                RefusalReason.ALL_TRIED,
                "tried=1 other_version=1",
            ),
        }
        for name, (version, tried, reason, detail) in cases.items():
            with self.subTest(name):
                query = build_query(software_version=version)
                refusal = dispatcher.place(query, frozenset(tried), 0.0)
                self.assertIsInstance(refusal, Refusal)
                self.assertEqual((refusal.reason, refusal.detail), (reason, detail))

    def test_move_needs_another_server_of_the_version(self):
        """A silent server is left only for one of the same version."""
        for versions, expected in ((("v1", "v2"), False), (("v1", "v1"), True)):
            with self.subTest(versions=versions):
                dispatcher = build_dispatcher(
                    *(build_versioned(f"s{n}", v) for n, v in enumerate(versions))
                )
                query = build_query(software_version="v1")
                placement = dispatcher.place(query, frozenset({"s1"}), 0.0)
                dispatcher.record_sent(placement, query, 0.0)
                dispatcher.record_first_event("s0", "q", 0.1)
                should_move = dispatcher.should_move(query, "s0", frozenset(), 2.0)
                self.assertIs(should_move, expected)

    def test_prompts_are_copied_within_a_version(self):
        """A prompt's prefix is copied only from the same version."""
        for version, is_copied in (("v1", True), ("v2", False)):
            with self.subTest(version=version):
                servers = [build_versioned(f"s{n}", "v1") for n in range(2)]
                dispatcher = build_dispatcher(*servers)
                query = build_query(parts=PARTS)
                home = dispatcher.place(query, frozenset(), 0.0).server
                (other,) = (each for each in servers if each != home)
                changed = dataclasses.replace(other, software_version=version, boot=2)
                dispatcher.add_server(changed, draining=False)
                excluded = frozenset({home.server_id})
                placement = dispatcher.place(query, excluded, 0.0)
                self.assertIsInstance(placement, Placement)
                source = placement.prompt_source
                self.assertEqual(source, home if is_copied else None)
