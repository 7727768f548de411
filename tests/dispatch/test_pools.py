import unittest

from carobspring.adapters.clock import SystemRandom
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.notices import ServerNotice
from carobspring.dispatch.pools import (
    FAR_SAMPLE,
    MAX_SCANNED_SERVERS,
    NEAR_SAMPLE,
    OTHER_KIND_SAMPLE,
    RANKED_HOMES,
    ServerPool,
)
from carobspring.dispatch.servers import ServerRecord
from carobspring.routing import CircuitBreaker, RoutingLimits
from tests.dispatch.support import build_server

ZONES = "abcde"
NONE = frozenset()


def build_pool(count, *, zone="a"):
    pool = ServerPool(zone=zone)
    for number in range(count):
        pool.add(
            ServerRecord(
                server=build_server(f"s{number}", zone=ZONES[number % len(ZONES)]),
                limits=DispatchLimits(),
                breaker=CircuitBreaker(RoutingLimits()),
                notice=ServerNotice(),
                random=SystemRandom(seed=1),
            )
        )
    return pool


def list_names(records):
    return [record.server.server_id for record in records]


class CandidateTests(unittest.TestCase):
    def setUp(self):
        self.random = SystemRandom(seed=1)

    def list_candidates(self, pool, generating=NONE, homes=()):
        groups = pool.group(generating, suits_generating=False)
        return pool.list_candidates(groups, homes, self.random)

    def test_few_servers(self):
        """Of few servers, all are candidates."""
        pool = build_pool(MAX_SCANNED_SERVERS)
        self.assertEqual(len(self.list_candidates(pool)), MAX_SCANNED_SERVERS)

    def test_number_does_not_grow(self):
        """The number of candidates does not grow with that of the servers."""
        most = NEAR_SAMPLE + FAR_SAMPLE + OTHER_KIND_SAMPLE + RANKED_HOMES
        for count in (38, 600):
            pool = build_pool(count)
            generating = frozenset(f"s{number}" for number in range(10))
            homes = pool.rank_homes(
                "ab", generating, suits_generating=False, near_only=False
            )
            with self.subTest(count=count):
                candidates = self.list_candidates(pool, generating, homes)
                self.assertLessEqual(len(candidates), most)
                self.assertLessEqual(set(list_names(homes)), {*list_names(candidates)})

    def test_every_server_gets_its_turn(self):
        """Over many requests, every server of each group is a candidate."""
        pool = build_pool(100)
        seen = set()
        for _ in range(200):
            seen |= set(list_names(self.list_candidates(pool)))
        self.assertEqual(len(seen), 100)

    def test_near_servers_come_first(self):
        """Reserved servers of this zone take what overflows, if any are."""
        pool = build_pool(40)
        cases = {
            "near": ({"s0", "s5", "s1", "s2"}, {"s0", "s5"}),
            "only far": ({"s1", "s2"}, {"s1", "s2"}),
        }
        for name, (generating, expected) in cases.items():
            with self.subTest(name):
                groups = pool.group(frozenset(generating), suits_generating=False)
                self.assertEqual(set(list_names(groups.unsuitable)), expected)
                self.assertEqual(
                    set(list_names(groups.near + groups.far)) & generating, set()
                )

    def test_draining_server(self):
        """A server that begins to drain is no candidate and no home."""
        pool = build_pool(40)
        homes = pool.rank_homes("ab", NONE, suits_generating=False, near_only=False)
        homes[0].draining = True
        pool.clear_indices()
        after = pool.rank_homes("ab", NONE, suits_generating=False, near_only=False)
        self.assertEqual(after[:2], homes[1:])
        self.assertNotIn(homes[0], self.list_candidates(pool))


class HomeTests(unittest.TestCase):
    def test_entries_agree(self):
        """Entries of all zones find the same homes of a part."""
        pools = [build_pool(40, zone=zone) for zone in ZONES]
        for part in ("ab", "12", "ff"):
            homes = {
                tuple(
                    list_names(
                        pool.rank_homes(
                            part, NONE, suits_generating=False, near_only=False
                        )
                    )
                )
                for pool in pools
            }
            self.assertEqual(len(homes), 1)

    def test_homes_change_with_the_reserved_engines(self):
        """No home is an engine that is reserved for other requests."""
        pool = build_pool(40)
        for number in range(40):
            generating = frozenset({f"s{number}"})
            homes = pool.rank_homes(
                "ab", generating, suits_generating=False, near_only=False
            )
            self.assertNotIn(f"s{number}", list_names(homes))
