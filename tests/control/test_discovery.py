import unittest

from carobspring.control.discovery import (
    MAX_INITIAL_MEMBERS,
    QUIET_PERIOD_S,
    DaemonDirectory,
    DaemonInfo,
    DiscoveryMessage,
)


def build_card(number, *, zone=None, durable=True, founding=True):
    return DaemonInfo(
        name=f"10.{number}.0.1:7000",
        zone=zone or f"z{number % 3}",
        durable=durable,
        founding=founding,
    )


def build_directory(card, *others, seeds, now=0.0):
    directory = DaemonDirectory(own_info=card, seeds=seeds, now=now)
    for other in others:
        directory.handle_message(DiscoveryMessage(card=other), now)
    return directory


class FoundingTests(unittest.TestCase):
    def setUp(self):
        self.cards = [build_card(number) for number in range(1, 4)]
        self.seeds = [card.name for card in self.cards]

    def test_lowest_seed_names_the_founders(self):
        """Only one daemon names them, and only once no new one shows up."""
        for card in self.cards:
            others = [other for other in self.cards if other is not card]
            directory = build_directory(card, *others, seeds=self.seeds)
            directory.choose_initial_members(QUIET_PERIOD_S / 2)
            self.assertEqual(directory.initial_members, ())
            directory.choose_initial_members(QUIET_PERIOD_S)
            expected = tuple(self.seeds) if card is self.cards[0] else ()
            with self.subTest(card.name):
                self.assertEqual(directory.initial_members, expected)

    def test_late_daemon_delays(self):
        """A daemon that shows up late starts the wait anew and takes part."""
        directory = build_directory(self.cards[0], self.cards[1], seeds=self.seeds)
        directory.handle_message(
            DiscoveryMessage(card=self.cards[2]), QUIET_PERIOD_S - 0.1
        )
        directory.choose_initial_members(QUIET_PERIOD_S)
        self.assertEqual(directory.initial_members, ())
        directory.choose_initial_members(2 * QUIET_PERIOD_S)
        self.assertEqual(directory.initial_members, tuple(self.seeds))

    def test_who_takes_no_part(self):
        """Daemons without a disk, or that were emptied, found nothing."""
        cases = {
            "no disk": build_card(4, durable=False),
            "started again": build_card(4, founding=False),
        }
        for name, card in cases.items():
            with self.subTest(name):
                directory = build_directory(
                    self.cards[0], *self.cards[1:], card, seeds=self.seeds
                )
                directory.choose_initial_members(QUIET_PERIOD_S)
                self.assertEqual(directory.initial_members, tuple(self.seeds))

    def test_no_second_founding(self):
        """A daemon that hears of a cluster never names founders."""
        directory = build_directory(self.cards[0], seeds=self.seeds)
        directory.handle_message(
            DiscoveryMessage(card=self.cards[1], members=tuple(self.seeds)), 0.0
        )
        directory.choose_initial_members(QUIET_PERIOD_S)
        self.assertEqual(directory.initial_members, ())
        self.assertEqual(directory.list_replicas(), tuple(self.seeds))

    def test_started_again(self):
        """An emptied daemon names nobody, even with the lowest address."""
        card = build_card(1, founding=False)
        directory = build_directory(card, *self.cards[1:], seeds=self.seeds)
        directory.choose_initial_members(10 * QUIET_PERIOD_S)
        self.assertEqual(directory.initial_members, ())

    def test_bounded_and_spread(self):
        """Of many daemons a bounded number is taken, zone by zone."""
        cards = [build_card(n, zone="abcd"[n % 4]) for n in range(1, 9)]
        seeds = [card.name for card in cards[:3]]
        directory = build_directory(cards[0], *cards[1:], seeds=seeds)
        directory.choose_initial_members(QUIET_PERIOD_S)
        self.assertEqual(len(directory.initial_members), MAX_INITIAL_MEMBERS)
        zones = [card.zone for card in cards if card.name in directory.initial_members]
        self.assertEqual(sorted(zones), list("aabbccd"))

    def test_word_spreads(self):
        """Founders and daemons are learned from any that knows them."""
        first = build_directory(self.cards[0], *self.cards[1:], seeds=self.seeds)
        first.choose_initial_members(QUIET_PERIOD_S)
        far = build_directory(self.cards[2], seeds=self.seeds)
        far.handle_message(first.build_message(), 5.0)
        self.assertEqual(far.initial_members, tuple(self.seeds))
        self.assertEqual(sorted(far.list_addresses()), self.seeds[:2])
