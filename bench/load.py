"""Replays the load of a deployment against real programs; prints metrics.

Run as ``python -m bench.load``. Example:
``python -m bench.load --profile cooperative --factors 1.5,2 --json out.json``
"""

import asyncio
import dataclasses
import json
import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from bench.profiles import PROFILES, Profile, plan_calls
from bench.replay import Replay
from bench.report import RunParameters, RunResult, format_run, summarize_run
from bench.systems import System, open_system
from standins.deployment import open_client
from standins.programs import parse_options

#: Fraction of the run after which a fault is injected.
FAULT_START_FRACTION = 0.25
#: How many times slower a straggling runner gets.
STRAGGLER_FACTOR = 4.0
NO_FAULT = "none"
STRAGGLER = "straggler"
CRASH = "crash"


@dataclass(frozen=True, kw_only=True)
class LoadOptions:
    """The flags of the load benchmark; lists are separated by commas."""

    profile: str = "cooperative,langit-tinggi"
    system: str = "carob,baseline"
    factors: str = "1.5,2.0"
    faults: str = NO_FAULT
    duration_s: float = 40.0
    #: Seconds to wait for outstanding responses after the last call.
    drain_s: float = 60.0
    seed: int = 1
    #: The commit whose programs run as the system ``thin``.
    thin_commit: str = ""
    #: Output files for the results as JSON and for a chart.
    json: str = ""
    plot: str = ""


async def inject_fault(
    system: System, client: aiohttp.ClientSession, fault: str, after_s: float
) -> None:
    """Inject a fault into the first runner after a delay."""
    await asyncio.sleep(after_s)
    runner = system.runners[0]
    if fault == CRASH:
        await runner.kill()
    if fault == STRAGGLER:
        url = f"{runner.url()}/standin/fault"
        await client.post(url, json={"slow_factor": STRAGGLER_FACTOR})


def compute_healthy_runners(profile: Profile, fault: str) -> float:
    """Return the average capacity over a run, in healthy runners.

    A fault takes capacity away from the time it is injected.
    """
    lost = {CRASH: 1.0, STRAGGLER: 1 - 1 / STRAGGLER_FACTOR}.get(fault, 0.0)
    return profile.runners - lost * (1 - FAULT_START_FRACTION)


async def track_generated_tokens(
    system: System, client: aiohttp.ClientSession, totals: list[int]
) -> None:
    """Update the token total of each runner; keep the last one on a crash."""
    while True:
        counts = await system.count_tokens(client)
        totals[:] = [max(*pair) for pair in zip(totals, counts, strict=True)]
        await asyncio.sleep(0.25)


async def run_once(
    parameters: RunParameters, *, drain_s: float, thin_commit: str
) -> RunResult:
    """Run one system under one load and return its results."""
    profile = parameters.profile
    calls = plan_calls(
        profile,
        factor=parameters.factor,
        duration_s=parameters.duration_s,
        seed=parameters.seed,
    )
    async with (
        open_system(parameters.system, profile, thin_commit) as system,
        open_client(parameters.duration_s + drain_s + 60) as client,
    ):
        replay = Replay(
            client=client, profile=profile, entries=system.entries, keys=system.keys
        )
        totals = [0] * len(system.runners)
        tracker = asyncio.create_task(track_generated_tokens(system, client, totals))
        fault_task = asyncio.create_task(
            inject_fault(
                system,
                client,
                parameters.fault,
                FAULT_START_FRACTION * parameters.duration_s,
            )
        )
        replay_task = asyncio.create_task(replay.run(calls, drain_s=drain_s))
        await asyncio.sleep(parameters.duration_s)
        generated_during_load = sum(totals)
        await asyncio.gather(replay_task, fault_task)
        await asyncio.sleep(0.5)
        tracker.cancel()
    return summarize_run(
        parameters,
        calls,
        replay.records,
        generated_during=generated_during_load,
        generated_tokens=sum(totals),
        healthy_runners=compute_healthy_runners(profile, parameters.fault),
    )


def list_runs(options: LoadOptions) -> list[RunParameters]:
    """Return every combination of the values that the flags list."""
    return [
        RunParameters(
            profile=PROFILES[profile],
            system=system,
            factor=float(factor),
            fault=fault,
            seed=options.seed,
            duration_s=options.duration_s,
        )
        for profile in options.profile.split(",")
        for factor in options.factors.split(",")
        for fault in options.faults.split(",")
        for system in options.system.split(",")
    ]


def run_all(options: LoadOptions) -> Sequence[RunResult]:
    """Run all combinations sequentially and print the result of each."""
    results = []
    for parameters in list_runs(options):
        result = asyncio.run(
            run_once(
                parameters, drain_s=options.drain_s, thin_commit=options.thin_commit
            )
        )
        print(format_run(result), flush=True)
        results.append(result)
    return results


def main() -> None:
    """Run the load benchmark."""
    options = parse_options(LoadOptions)
    results = run_all(options)
    if options.json:
        records = [dataclasses.asdict(result) for result in results]
        Path(options.json).write_text(json.dumps(records, indent=1) + os.linesep)
    if options.plot:
        from bench.plot import draw_attainment

        draw_attainment(results, Path(options.plot))


if __name__ == "__main__":
    main()
