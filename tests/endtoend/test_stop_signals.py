"""Tests of planned stops while callers go on asking on open connections."""

import asyncio
import json
import signal
from collections import Counter

from standins.kept_caller import KeptCaller
from tests.endtoend.instances import InstancesTestCase

STREAM_EVENTS = 40
EVENT_INTERVAL_S = 0.1
BOOKING_S = 2.0
CALLERS = 18
#: Streams thus end at any moment of a stop.
START_INTERVAL_S = 0.05


class StopSignalTests(InstancesTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for server in self.servers:
            server.event_count = STREAM_EVENTS
            server.event_interval_s = EVENT_INTERVAL_S
            server.response_delay_s = BOOKING_S
        self.entry = self.instances.instances[3]
        self.program = self.entry.programs["carob-entry"]

    async def run_callers(self, signals):
        """Stop the entry by signals while callers go on; return the results.

        Each signal follows after a delay in seconds.
        """
        callers = [
            KeptCaller(
                url=self.entry.frontend_url,
                paths=("/book/x",) if number % 3 == 0 else ("/stream/x",),
                name=f"{self._testMethodName}-{number}",
            )
            for number in range(CALLERS)
        ]
        tasks = []
        for caller in callers:
            tasks.append(asyncio.create_task(caller.run()))
            await asyncio.sleep(START_INTERVAL_S)
        for delay_s, number in signals:
            await asyncio.sleep(delay_s)
            self.program.send_signal(number)
        results = [result for task in tasks for result in await task]
        self.assertEqual(await self.program.stop(), 0)
        return results

    def list_lost(self, results):
        """Return requests that reached a server and have no whole response."""
        runs = sum((server.run_counts for server in self.servers), Counter())
        return [
            result.attempt_id
            for result in results
            if runs[result.attempt_id] and not self.is_whole(result)
        ]

    def is_whole(self, result):
        if result.status != 200:
            return False
        return not result.body.startswith(b"id:") or (
            result.body.count(b"\n\n") == STREAM_EVENTS
        )

    async def test_requests_on_kept_connections(self):
        """No request that a server got is cut by a stop."""
        results = await self.run_callers([(0, signal.SIGTERM)])
        self.assertEqual(self.list_lost(results), [])

    async def test_repeated_signals(self):
        """No request that a server got is cut by signals that repeat."""
        signals = [(0, signal.SIGTERM), (0.5, signal.SIGTERM), (0.5, signal.SIGTERM)]
        results = await self.run_callers(signals)
        self.assertEqual(self.list_lost(results), [])

    async def test_two_kinds_of_signals(self):
        """No request is cut by the signals of a terminal and a supervisor."""
        signals = [(0, signal.SIGINT), (0, signal.SIGTERM), (0.5, signal.SIGINT)]
        results = await self.run_callers(signals)
        self.assertEqual(self.list_lost(results), [])

    async def test_open_requests_are_named(self):
        """The log names each request open at a stop, with its age."""
        results = await self.run_callers([(0, signal.SIGTERM)])
        lines = [json.loads(line) for line in self.program.read_log().splitlines()]
        named = {
            line["request"]: line["age_ms"]
            for line in lines
            if line["message"] == "request open at stop"
        }
        self.assertEqual(len(named), CALLERS)
        self.assertLessEqual(set(named), {result.attempt_id for result in results})
        self.assertTrue(all(0 <= age_ms <= 2000 for age_ms in named.values()))
        ended = [line for line in lines if line["message"] == "request ended"]
        after_stop = [
            line["request"] for line in ended if (line["after_stop_ms"] or -1) >= 0
        ]
        self.assertGreater(len(after_stop), 0)
        signals = [line for line in lines if line["message"] == "signal received"]
        self.assertEqual(signals[0]["signal"], "SIGTERM")
