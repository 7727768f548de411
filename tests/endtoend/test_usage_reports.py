"""Tests of the usage reports to the provider, with real processes.

No check depends on the speed of the machine: a request counts in one of the
windows between its begin and its end at the caller.
"""

import asyncio
import collections
import json
import math
import time
from dataclasses import dataclass

import aiohttp

from standins.deployment import wait_until
from standins.operator import build_configuration
from standins.provider import StandInProvider
from tests.endtoend.instances import InstancesTestCase

WINDOW_S = 2.0
LEASE_S = 1.0
#: Long, so that no window is given up on a slow machine.
DELAY_S = 20.0
KEYS = {"acme": "key-1", "beta": "key-2"}


@dataclass(kw_only=True)
class SentRequest:
    """A request, with times of the wall clock."""

    entry: str
    workspace: str
    sent_at: float
    ended_at: float = math.inf
    #: Whether its response shows that a server ran it.
    has_run: bool = False

    @property
    def is_sure(self):
        """Whether it ran, and in which window."""
        return self.has_run and len(self.list_windows()) == 1

    def list_windows(self):
        """Return the windows in which a server may have begun to run it."""
        last = min(self.ended_at, time.time())
        return range(int(self.sent_at // WINDOW_S), int(last // WINDOW_S) + 1)


class UsageReportsTestCase(InstancesTestCase):
    BOUNDS = {
        "report_window_s": WINDOW_S,
        "usage_delay_s": DELAY_S,
        "lease_ms": LEASE_S * 1000,
    }

    async def start_provider(self):
        self.provider = StandInProvider(ip=f"127.{self.network}.220.1")
        await self.provider.start()
        self.addAsyncCleanup(self.provider.close)
        return self.provider.build_settings()

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.requests = []
        tenants = [
            {"name": name, "api_keys": [key], "priority": 1}
            for name, key in KEYS.items()
        ]
        await self.operator.put(build_configuration(2, tenants=tenants))
        await self.wait_until_logged('"routes in force"', '"version":2')

        async def has_report():
            return bool(self.provider.taken)

        await wait_until(has_report, "a report of what ran during the start")
        # What ran during the start is not checked.
        self.first_window = int(time.time() // WINDOW_S) + 1
        await asyncio.sleep(self.first_window * WINDOW_S - time.time() + 0.01)
        self.runs_before = {id(run) for run in self.list_runs()}

    def list_runs(self):
        return [run for server in self.servers for run in server.runs]

    async def send(self, entry, workspace, path="/read/x"):
        """Send a request and record when it may have run."""
        request = SentRequest(
            entry=entry.name, workspace=workspace, sent_at=time.time()
        )
        self.requests.append(request)
        try:
            status, body = await self.call(entry, path, key=KEYS[workspace])
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        request.ended_at = time.time()
        request.has_run = status == 200 or (status, body) == (500, "failed")

    async def send_to_all(self, entries=None):
        """Send requests and a stream by each entry and for each workspace."""
        for entry in entries or self.instances.instances:
            await asyncio.gather(
                self.send(entry, "acme"),
                self.send(entry, "acme", "/stream/x"),
                self.send(entry, "beta"),
            )

    async def send_until(self, check, description, entries=None):
        """Send requests until a check returns a true value."""

        async def send_and_check():
            await self.send_to_all(entries)
            return check()

        await wait_until(send_and_check, description)

    async def wait_for_taken(self, count):
        """Send requests until the provider has taken some more reports."""
        before = len(self.provider.taken)
        await self.send_until(
            lambda: len(self.provider.taken) >= before + count, f"{count} reports"
        )

    async def wait_until_reported(self, lossy_entry=""):
        """Wait for the reports of all requests but those of a lossy entry."""
        run_count = len({run.attempt_id for run in self.list_new_runs()})
        run_count -= sum(request.entry == lossy_entry for request in self.requests)

        async def are_counted():
            return self.sum_reported() >= run_count

        await wait_until(are_counted, f"{run_count} requests are reported")
        surely = {
            request.list_windows()[0]
            for request in self.requests
            if request.is_sure and request.entry != lossy_entry
        }

        async def are_reported():
            return surely <= self.provider.read_counts().keys()

        await wait_until(are_reported, f"reports of the windows {sorted(surely)}")

    def list_new_runs(self):
        return [run for run in self.list_runs() if id(run) not in self.runs_before]

    def sum_reported(self):
        return sum(
            sum(counts.values())
            for window, counts in self.provider.read_counts().items()
            if window >= self.first_window
        )

    def get_holder(self):
        """Return the instance whose call arrived last."""
        name = self.provider.calls[-1].owner
        return next(each for each in self.instances.controls if each.name == name)

    def check_calls(self):
        """Check the order of tokens, and that no window has two reports."""
        calls = self.provider.calls
        tokens = [call.token for call in calls]
        self.assertEqual(tokens, sorted(tokens), "a call with a lower token")
        owners = collections.defaultdict(set)
        reports = collections.defaultdict(set)
        for call in calls:
            owners[call.token].add(call.owner)
            reports[call.window].add(json.dumps(call.counts, sort_keys=True))
            self.assertEqual(call.content_type, "application/json")
        for token, names in owners.items():
            self.assertEqual(len(names), 1, f"holders with the token {token}")
        for window, bodies in reports.items():
            self.assertEqual(len(bodies), 1, f"reports of window {window}")
        last_call_at = {}
        for before, call in zip(calls, calls[1:], strict=False):
            last_call_at[before.owner] = before.at
            if call.owner != before.owner and call.owner in last_call_at:
                self.assertGreater(call.at - last_call_at[call.owner], LEASE_S)

    def check_repeats(self):
        """Check that a holder repeats a report only after a failed call."""
        failed = collections.Counter()
        for instance in self.instances.controls:
            for line in instance.programs["carob-control"].read_log().splitlines():
                if '"usage report failed"' in line:
                    failed[json.loads(line)["window"]] += 1
        calls = collections.Counter((c.window, c.token) for c in self.provider.taken)
        for (window, _), count in calls.items():
            self.assertLessEqual(count, 1 + failed[window], f"window {window}")

    def check_counts(self, lossy_entry=""):
        """Check the counts of all windows against what ran.

        The requests of a lossy entry may be missing.
        """
        reported = self.provider.read_counts()
        least, most = collections.Counter(), collections.Counter()
        for request in self.requests:
            windows = request.list_windows()
            for window in windows:
                most[window, request.workspace] += 1
            if request.is_sure and request.entry != lossy_entry:
                least[windows[0], request.workspace] += 1
        for window, workspace in most:
            count = reported.get(window, {}).get(workspace, 0)
            with self.subTest(window=window, workspace=workspace):
                self.assertGreaterEqual(count, least[window, workspace])
                self.assertLessEqual(count, most[window, workspace])

    def check_totals(self):
        """Check that each request that a server ran counts once."""
        totals = collections.Counter()
        for window, counts in self.provider.read_counts().items():
            if window >= self.first_window:
                totals.update(counts)
        ran = {(run.workspace, run.attempt_id) for run in self.list_new_runs()}
        expected = collections.Counter(workspace for workspace, _ in ran)
        self.assertEqual(totals, expected)


class UsageReportTests(UsageReportsTestCase):
    async def test_each_window_is_reported(self):
        """Check that a holder repeats a report only behind a failed call."""
        self.servers[0].error_share = 0.3
        self.servers[1].cut_after_events = 2
        await self.send_to_all()
        await self.wait_for_taken(3)
        await self.wait_until_reported()
        self.check_calls()
        self.check_repeats()
        self.check_counts()
        self.check_totals()

    async def test_killed_holder(self):
        """Another holder goes on with a higher token and the same reports."""
        await self.send_to_all()
        holder = self.get_holder()
        token = self.provider.calls[-1].token
        await holder.programs["carob-control"].kill()
        await self.send_until(
            lambda: self.provider.calls[-1].token > token, "a call with another token"
        )
        self.assertNotEqual(self.get_holder().name, holder.name)
        await self.instances.start(holder, "carob-control")
        await self.wait_for_taken(2)
        await self.wait_until_reported()
        self.check_calls()
        self.check_counts()
        self.check_totals()

    async def test_frozen_holder(self):
        """A holder that was frozen does not act behind its successor."""
        await self.send_to_all()
        self.provider.delay_s = 0.3
        await self.wait_for_taken(1)
        holder = self.get_holder()
        token = self.provider.calls[-1].token
        program = holder.programs["carob-control"]
        program.suspend()
        await self.send_until(
            lambda: self.provider.calls[-1].token > token, "a call with another token"
        )
        program.resume()
        await self.wait_for_taken(2)
        await self.wait_until_reported()
        self.check_calls()
        self.check_counts()
        self.check_totals()

    async def test_killed_entry(self):
        """An entry that restarts adds to what it counted before."""
        entry = self.instances.instances[-1]
        await self.send_to_all()
        await entry.programs["carob-entry"].kill()
        others = self.instances.instances[:-1]
        await self.send_to_all(others)
        await self.instances.start(entry, "carob-entry")
        await self.send_until(
            lambda: any(
                request.has_run and request.entry == entry.name
                for request in self.requests[-3:]
            ),
            "the entry serves again",
            [entry],
        )
        await self.wait_for_taken(2)
        await self.wait_until_reported(lossy_entry=entry.name)
        self.check_calls()
        self.check_repeats()
        self.check_counts(lossy_entry=entry.name)

    async def test_stopped_entry(self):
        """An entry reports what ran up to the end of its stop."""
        entry = self.instances.instances[-1]
        await self.send_to_all()
        lasting = asyncio.create_task(self.send(entry, "acme", "/read/lasting/3"))

        async def is_running():
            return any(run.ended_at is None for run in self.list_runs())

        await wait_until(is_running, "the request runs")
        await entry.programs["carob-entry"].stop()
        await lasting
        await self.send_to_all(self.instances.instances[:-1])
        await self.wait_until_reported()
        self.check_calls()
        self.check_counts()
        self.check_totals()

    async def test_faults_of_the_provider(self):
        """Reports that fail are repeated with the same counts."""
        await self.send_to_all()
        for fault in ("silent", "overloaded", "cut", "unavailable", "refused"):
            self.provider.fault = fault
            calls = len(self.provider.calls)
            await self.send_until(
                lambda calls=calls: len(self.provider.calls) >= calls + 2,
                f"two calls that are {fault}",
            )
        self.provider.fault = ""
        await self.wait_for_taken(3)
        await self.wait_until_reported()
        self.check_calls()
        self.check_repeats()
        self.check_counts()
        self.check_totals()
