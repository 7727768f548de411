"""A burst of chats at hundreds of machines, replayed through many entries.

Chats arrive nearly twice as often as before while the engines have room. The
entries see only their own requests and, each second, the demand of all.
"""

import heapq
import random
import unittest

from carobspring.adapters.clock import SystemRandom
from carobspring.dispatch import AttemptOutcome, Dispatcher, EngineDemand
from tests.dispatch.support import build_query, build_server

ZONES = ("a", "b", "c", "d", "e")
ENGINES = 38
SLOTS = 16
ENTRIES = 70
#: Seconds that one chat holds its slot.
CHAT_S = 1.6
#: Requests a second of all entries, before the burst.
CHATS_PER_S = 14.0
PROMPTS_PER_S = 100.0
BURST_FACTOR = 2.5
BURST_AT_S = 8.0
END_S = 14.0


class ChatReplay:
    """Engines with slots, and entries that learn of them as real ones do."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.servers = {
            f"s{number}": build_server(
                f"s{number}", zone=ZONES[number % len(ZONES)], slots=SLOTS
            )
            for number in range(ENGINES)
        }
        self.entries = [
            Dispatcher(
                zone=ZONES[number % len(ZONES)], random=SystemRandom(seed=number)
            )
            for number in range(ENTRIES)
        ]
        for entry in self.entries:
            for server in self.servers.values():
                entry.add_server(server, draining=False)
        self.running = dict.fromkeys(self.servers, 0)
        self.ends = []
        #: Chats that found every slot of their engine taken, and that crossed.
        self.full = self.crossed = self.chats = 0

    def run(self):
        now, number, next_report_at = 0.0, 0, 0.0
        while now < END_S:
            burst = BURST_FACTOR if now >= BURST_AT_S else 1.0
            chat_rate = CHATS_PER_S * burst
            now += self.random.expovariate(chat_rate + PROMPTS_PER_S)
            self.end_requests(now)
            if now >= next_report_at:
                self.report_demand(now)
                next_report_at = now + 1.0
            number += 1
            is_chat = self.random.random() < chat_rate / (chat_rate + PROMPTS_PER_S)
            self.send(f"q{number}", is_chat, now)

    def send(self, request_id, is_chat, now):
        entry = self.random.randrange(ENTRIES)
        dispatcher = self.entries[entry]
        shared, own, output = (172, 543, 280) if is_chat else (600, 1800, 21)
        query = build_query(
            request_id,
            parts=((f"{self.random.randrange(60):x}a", shared), (request_id, own)),
            output_tokens=output,
            target_s=0.265 if is_chat else 0.319,
            event_gap_target_s=0.12,
            now=now,
        )
        placement = dispatcher.place(query, frozenset(), now)
        dispatcher.record_sent(placement, query, now)
        name = placement.server.server_id
        if is_chat and now >= BURST_AT_S:
            self.chats += 1
            self.full += self.running[name] >= SLOTS
            self.crossed += placement.server.zone != ZONES[entry % len(ZONES)]
        self.running[name] += 1
        dispatcher.record_first_event(name, request_id, now)
        length_s = CHAT_S if is_chat else 0.15
        heapq.heappush(self.ends, (now + length_s, entry, name, request_id))

    def end_requests(self, now):
        while self.ends and self.ends[0][0] <= now:
            at, entry, name, request_id = heapq.heappop(self.ends)
            self.running[name] -= 1
            self.entries[entry].record_end(
                name, request_id, AttemptOutcome.ANSWERED, at
            )

    def report_demand(self, now):
        demands = [entry.compute_demand(now).get("svc") for entry in self.entries]
        known = [demand for demand in demands if demand is not None]
        total = EngineDemand(
            generating_s=sum(demand.generating_s for demand in known),
            reading_s=sum(demand.reading_s for demand in known),
        )
        for entry in self.entries:
            entry.update_demand({"svc": total}, now)


class ChatBurstTests(unittest.TestCase):
    def test_burst_of_chats_finds_room(self):
        """With most slots free, hardly a chat waits for one or goes far.

        The bounds are the target of 99 chats in 100 within their time, and
        that a chat goes to another zone only when its own would make it late.
        """
        for seed in (1, 2):
            with self.subTest(seed=seed):
                replay = ChatReplay(seed)
                replay.run()
                self.assertGreater(replay.chats, 150)
                self.assertLess(replay.full, replay.chats / 100)
                self.assertLess(replay.crossed, replay.chats / 20)
