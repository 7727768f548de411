"""Measures the overhead of the path through entry and agent.

Run as ``python -m bench.path``. Prints the latency that the path adds to a
call at moderate load, the requests and chunks per second that one entry relays
with the CPU time it uses for them, and the resident memory of each idle
program.
"""

import asyncio
import dataclasses
import json
import os
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from bench.processes import read_cpu_s, read_resident_mb
from carobspring.domain import LatencyTarget, ServiceClass
from standins.caller import Caller, CallResult, Prompt, Verdict
from standins.deployment import Deployment, RunningProgram, open_client
from standins.programs import parse_options
from standins.setup import apply_settings, wait_for_model

MODEL = "carob-small"
WORKSPACE = "workspace-0"
TARGET = LatencyTarget(first_token_ms=5000, total_ms=60_000)
MS_PER_S = 1000
TOKENS = 20
RUNNERS = 4
#: Pause after the start before idle memory is read.
SETTLE_S = 3.0


@dataclass(frozen=True, kw_only=True)
class PathOptions:
    """The flags of the path benchmark."""

    #: Calls to the runners directly, and as many through the entry.
    calls: int = 200
    #: Pause between pairs of calls.
    pause_ms: float = 10.0
    #: Length of each throughput measurement in seconds.
    duration_s: float = 8.0
    #: Target rate of streamed chunks.
    chunks_per_s: int = 2000
    json: str = ""


@dataclass(frozen=True, kw_only=True)
class LatencyResult:
    """Latencies with and without the path, and the part that it adds.

    ``first`` is the time to the first chunk, ``total`` to the end.
    """

    kind: str
    direct_first_ms: float
    path_first_ms: float
    added_first_ms: float
    added_first_p99_ms: float
    ratio: float
    direct_total_ms: float
    path_total_ms: float


class PathBench:
    """One control replica, one entry, and runners with their agents."""

    def __init__(self, *, deployment: Deployment, options: PathOptions) -> None:
        self._deployment = deployment
        self._options = options
        self._entry: RunningProgram
        self._runners: list[RunningProgram] = []
        self._caller: Caller
        self.results: dict[str, object] = {}

    async def run(self) -> None:
        """Measure idle memory, latencies and throughput."""
        programs = await self._start()
        await asyncio.sleep(SETTLE_S)
        self.results["idle_mb"] = {
            name: read_resident_mb(program.pid) for name, program in programs.items()
        }
        async with open_client() as client:
            self._caller = Caller(client=client, key=self._key)
            for stream in (True, False):
                result = await self._measure_latency(stream=stream)
                self.results[result.kind] = dataclasses.asdict(result)
            self.results["relay"] = await self._measure_relay()
            self.results["requests"] = await self._measure_requests()
        self.results["load_average"] = os.getloadavg()[0]

    async def _start(self) -> dict[str, RunningProgram]:
        control = await self._deployment.start_control()
        self._entry = await self._deployment.start_entry()
        agents = []
        for index in range(RUNNERS):
            runner = await self._deployment.start_runner(
                models=MODEL, token_ms=5, crowding=0.0, slots=64, prompt_word_ms=0
            )
            self._runners.append(runner)
            agents.append(
                await self._deployment.start_agent(f"runner-{index}", runner, slots=64)
            )
        keys = await apply_settings(
            self._deployment,
            classes=[ServiceClass(name="chat", priority=90, target=TARGET)],
            workspaces={WORKSPACE: "chat"},
            plain_services={},
        )
        self._key = keys[WORKSPACE]
        await wait_for_model(self._entry.url(), key=self._key, model=MODEL)
        return {"control": control, "entry": self._entry, "agent": agents[0]}

    async def _measure_latency(self, *, stream: bool) -> LatencyResult:
        direct, path = [], []
        for number in range(self._options.calls):
            prompt = Prompt(text=f"call {number}", tokens=TOKENS, stream=stream)
            runner = self._runners[number % len(self._runners)]
            direct.append(await self._complete(runner.url(), prompt))
            path.append(await self._complete(self._entry.url(), prompt))
            await asyncio.sleep(self._options.pause_ms / MS_PER_S)
        direct_first = [compute_first_chunk_ms(result) for result in direct]
        path_first = [compute_first_chunk_ms(result) for result in path]
        direct_median_ms = statistics.median(direct_first)
        path_median_ms = statistics.median(path_first)
        return LatencyResult(
            kind="streamed" if stream else "whole",
            direct_first_ms=direct_median_ms,
            path_first_ms=path_median_ms,
            added_first_ms=path_median_ms - direct_median_ms,
            added_first_p99_ms=compute_p99(path_first) - compute_p99(direct_first),
            ratio=path_median_ms / direct_median_ms,
            direct_total_ms=statistics.median(map(compute_total_ms, direct)),
            path_total_ms=statistics.median(map(compute_total_ms, path)),
        )

    async def _complete(self, url: str, prompt: Prompt) -> CallResult:
        result = await self._caller.complete(url, prompt)
        if result.verdict is not Verdict.COMPLETE:
            raise RuntimeError(f"{url}: {result.verdict} {result.reason}")
        return result

    async def _measure_relay(self) -> dict[str, float]:
        """Stream responses at a target chunk rate and measure the entry."""
        chunks_per_caller = MS_PER_S / 5.0
        callers = max(round(self._options.chunks_per_s / chunks_per_caller), 1)
        tokens = 0
        deadline = time.monotonic() + self._options.duration_s

        async def send_calls(number: int) -> None:
            nonlocal tokens
            while time.monotonic() < deadline:
                prompt = Prompt(text=f"caller {number}", tokens=200, stream=True)
                await self._complete(self._entry.url(), prompt)
                tokens += prompt.tokens

        return await self._measure_entry(send_calls, callers, lambda: tokens, "chunks")

    async def _measure_requests(self) -> dict[str, float]:
        """Send short calls, not streamed, as fast as the entry answers."""
        calls = 0
        deadline = time.monotonic() + self._options.duration_s

        async def send_calls(number: int) -> None:
            nonlocal calls
            while time.monotonic() < deadline:
                await self._complete(
                    self._entry.url(), Prompt(text=f"caller {number}", tokens=1)
                )
                calls += 1

        return await self._measure_entry(send_calls, 64, lambda: calls, "requests")

    async def _measure_entry(self, send, callers, get_count, unit):  # type: ignore
        started, cpu_before_s = time.monotonic(), read_cpu_s(self._entry.pid)
        await asyncio.gather(*(send(number) for number in range(callers)))
        elapsed = time.monotonic() - started
        return {
            f"{unit}_per_s": get_count() / elapsed,
            "entry_core_share": (read_cpu_s(self._entry.pid) - cpu_before_s) / elapsed,
        }


def compute_first_chunk_ms(result: CallResult) -> float:
    """Return the time to the first chunk of the response."""
    return (result.first_byte_s - result.sent_s) * MS_PER_S


def compute_total_ms(result: CallResult) -> float:
    """Return the time to the end of the response."""
    return (result.ended_s - result.sent_s) * MS_PER_S


def compute_p99(values: Sequence[float]) -> float:
    """Return the 99th percentile."""
    return statistics.quantiles(values, n=100)[98]


async def measure(options: PathOptions) -> dict[str, object]:
    """Run the benchmark in a new deployment and return the results."""
    async with Deployment() as deployment:
        bench = PathBench(deployment=deployment, options=options)
        await bench.run()
        return bench.results


def main() -> None:
    """Run the path benchmark."""
    options = parse_options(PathOptions)
    results = asyncio.run(measure(options))
    text = json.dumps(results, indent=1)
    print(text)
    if options.json:
        Path(options.json).write_text(text + os.linesep)


if __name__ == "__main__":
    main()
