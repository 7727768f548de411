import unittest

from carobspring.adapters.clock import SystemRandom
from carobspring.control.discovery import (
    MAX_INITIAL_MEMBERS,
    QUIET_PERIOD_S,
    DaemonDirectory,
    DaemonInfo,
    DiscoveryMessage,
)


def build_info(number, *, zone=None, durable=True, founding=True):
    return DaemonInfo(
        name=f"10.{number}.0.1:7000",
        zone=zone or f"z{number % 3}",
        durable=durable,
        founding=founding,
    )


def build_directory(daemon, *others, seeds, now=0.0):
    directory = DaemonDirectory(own_info=daemon, seeds=seeds, now=now)
    for other in others:
        directory.handle_message(DiscoveryMessage(card=other), now)
    return directory


class InitialMembersTests(unittest.TestCase):
    def setUp(self):
        self.daemons = [build_info(number) for number in range(1, 4)]
        self.seeds = [daemon.name for daemon in self.daemons]

    def test_lowest_seed_chooses_initial_members(self):
        """Only one daemon chooses them, once no new daemon has appeared."""
        for daemon in self.daemons:
            others = [other for other in self.daemons if other is not daemon]
            directory = build_directory(daemon, *others, seeds=self.seeds)
            directory.choose_initial_members(QUIET_PERIOD_S / 2)
            self.assertEqual(directory.initial_members, ())
            directory.choose_initial_members(QUIET_PERIOD_S)
            expected = tuple(self.seeds) if daemon is self.daemons[0] else ()
            with self.subTest(daemon.name):
                self.assertEqual(directory.initial_members, expected)

    def test_late_daemon_delays(self):
        """A daemon that appears late restarts the wait and is included."""
        directory = build_directory(self.daemons[0], self.daemons[1], seeds=self.seeds)
        directory.handle_message(
            DiscoveryMessage(card=self.daemons[2]), QUIET_PERIOD_S - 0.1
        )
        directory.choose_initial_members(QUIET_PERIOD_S)
        self.assertEqual(directory.initial_members, ())
        directory.choose_initial_members(2 * QUIET_PERIOD_S)
        self.assertEqual(directory.initial_members, tuple(self.seeds))

    def test_excluded_daemons(self):
        """Daemons without a disk or restarted on an empty one are excluded."""
        cases = {
            "no disk": build_info(4, durable=False),
            "restarted": build_info(4, founding=False),
        }
        for name, daemon in cases.items():
            with self.subTest(name):
                directory = build_directory(
                    self.daemons[0], *self.daemons[1:], daemon, seeds=self.seeds
                )
                directory.choose_initial_members(QUIET_PERIOD_S)
                self.assertEqual(directory.initial_members, tuple(self.seeds))

    def test_no_second_bootstrap(self):
        """A daemon that knows of a cluster never chooses initial members."""
        directory = build_directory(self.daemons[0], seeds=self.seeds)
        directory.handle_message(
            DiscoveryMessage(card=self.daemons[1], members=tuple(self.seeds)), 0.0
        )
        directory.choose_initial_members(QUIET_PERIOD_S)
        self.assertEqual(directory.initial_members, ())
        self.assertEqual(directory.list_replicas(), tuple(self.seeds))

    def test_restarted_daemon(self):
        """A daemon restarted with an empty disk chooses no members.

        Not even if its address is the lowest.
        """
        daemon = build_info(1, founding=False)
        directory = build_directory(daemon, *self.daemons[1:], seeds=self.seeds)
        directory.choose_initial_members(10 * QUIET_PERIOD_S)
        self.assertEqual(directory.initial_members, ())

    def test_limited_and_spread_over_zones(self):
        """Of many daemons a limited number is chosen, from zones in turn."""
        daemons = [build_info(n, zone="abcd"[n % 4]) for n in range(1, 9)]
        seeds = [daemon.name for daemon in daemons[:3]]
        directory = build_directory(daemons[0], *daemons[1:], seeds=seeds)
        directory.choose_initial_members(QUIET_PERIOD_S)
        self.assertEqual(len(directory.initial_members), MAX_INITIAL_MEMBERS)
        zones = [
            daemon.zone
            for daemon in daemons
            if daemon.name in directory.initial_members
        ]
        self.assertEqual(sorted(zones), list("aabbccd"))

    def test_traffic_does_not_grow(self):
        """With known replicas, a daemon asks one of them and one other."""
        daemons = [build_info(number) for number in range(1, 100)]
        directory = build_directory(*daemons, seeds=self.seeds)
        random = SystemRandom(seed=1)
        self.assertEqual(len(directory.choose_contacts(random)), 98)
        directory.update_members(tuple(self.seeds), 5)
        asked = [directory.choose_contacts(random) for _ in range(300)]
        self.assertEqual({replica for replica, _ in asked}, set(self.seeds[1:]))
        self.assertGreater(len({other for _, other in asked}), 80)

    def test_contacts_differ(self):
        """No daemon is asked twice in a round, however few there are."""
        directory = build_directory(*self.daemons, seeds=self.seeds)
        directory.update_members(tuple(self.seeds), 5)
        random = SystemRandom(seed=1)
        for _ in range(50):
            contacts = directory.choose_contacts(random)
            self.assertEqual(sorted(contacts), self.seeds[1:])
        alone = build_directory(*self.daemons[:2], seeds=self.seeds[:2])
        alone.update_members(tuple(self.seeds[:2]), 5)
        self.assertEqual(alone.choose_contacts(random), self.seeds[1:2])

    def test_digest(self):
        """Daemons that know the same exchange only digests."""
        first, second = (
            build_directory(daemon, *self.daemons, seeds=self.seeds)
            for daemon in self.daemons[:2]
        )
        names = [daemon.name for daemon in self.daemons]
        second.handle_message(first.build_message(names[1]), 0.0)
        reply = second.build_message(names[0])
        self.assertEqual(
            reply, DiscoveryMessage(card=self.daemons[1], digest=reply.digest)
        )
        second.handle_message(DiscoveryMessage(card=build_info(4)), 0.0)
        self.assertEqual(len(second.build_message(names[0]).known), 4)

    def test_replaced_replica(self):
        """A daemon without the log learns which replica was replaced."""
        directory = build_directory(build_info(9, durable=False), seeds=self.seeds)
        other = build_directory(self.daemons[0], seeds=self.seeds)
        new_members = ("10.1.0.1:7000", "10.2.0.1:7000", "10.7.0.1:7000")
        for members, index, expected in (
            (tuple(self.seeds), 5, tuple(self.seeds)),
            (new_members, 9, new_members),
            (tuple(self.seeds), 6, new_members),
        ):
            other.update_members(members, index)
            directory.handle_message(other.build_message(), 0.0)
            self.assertEqual(directory.list_replicas(), expected)

    def test_replaced_replica_learns_that_it_is_no_member(self):
        """A replica's own log does not hide that it was replaced since."""
        replaced = build_directory(self.daemons[0], seeds=self.seeds)
        replaced.update_members(tuple(self.seeds), 5)
        other = build_directory(self.daemons[1], seeds=self.seeds)
        new_members = (*self.seeds[1:], "10.7.0.1:7000")
        other.update_members(new_members, 9)
        replaced.handle_message(other.build_message(), 0.0)
        replaced.update_members(tuple(self.seeds), 5)
        self.assertEqual(replaced.list_replicas(), new_members)
        replaced.update_members(tuple(self.seeds), 12)
        self.assertEqual(replaced.list_replicas(), tuple(self.seeds))

    def test_knowledge_is_passed_on(self):
        """Initial members and daemons are learned from any that knows them."""
        first = build_directory(self.daemons[0], *self.daemons[1:], seeds=self.seeds)
        first.choose_initial_members(QUIET_PERIOD_S)
        distant = build_directory(self.daemons[2], seeds=self.seeds)
        distant.handle_message(first.build_message(), 5.0)
        self.assertEqual(distant.initial_members, tuple(self.seeds))
        self.assertEqual(sorted(distant.list_addresses()), self.seeds[:2])
