"""A check-in of another writer has a number that is no 64-bit integer."""

import asyncio
import itertools
import json
import time

from review.support.caller import Caller
from review.support.case import run_case
from review.support.http import build_request, exchange
from review.support.platform import (
    BOUNDS, CONTROL_PORT, HEARTBEAT_S, KEY, TENANT, CannotRunError, Operator, Platform, build_configuration,
)
from review.support.runner import Runner

REVOKED_KEY = "key-that-is-revoked"
APPLY_S = BOUNDS["config_apply_ms"] / 1000
#: Seconds for which requests with the revoked key are sent.
WATCH_S = 20.0


async def check_in_as_other_writer(platform: Platform) -> None:
    """Check in like a runner, until cancelled."""
    born_ms = int(time.time() * 1000)
    for sequence in itertools.count(2**64):
        await send_foreign_check_in(platform, born_ms, sequence)
        await asyncio.sleep(HEARTBEAT_S)


async def send_foreign_check_in(platform: Platform, born_ms: int, sequence: int) -> None:
    """Send a check-in to a daemon, to the next one without a 2xx."""
    body = json.dumps({
        "service": "elsewhere", "address": f"127.{platform.network}.250.1:8080",
        "zone": "anarkali", "version": "v1", "slots": 6, "state": "ready",
        "cold_left_ms": 0, "born": born_ms, "seq": sequence,
    }).encode()
    for machine in platform.controls:
        headers = [("Host", machine.ip), ("Content-Type", "application/json"), ("Connection", "close")]
        request = build_request("PUT", "/v1/instances/foreign-1", headers, body)
        answer = await exchange(machine.ip, CONTROL_PORT, [request], 1.0)
        platform.record.write(f"other writer: check-in at {machine.name}: {answer.status or answer.error}")
        if 200 <= answer.status < 300:
            return


async def play(record, trouble: bool) -> str:
    async with Platform(record) as platform:
        await platform.start_all()
        operator = Operator(platform)
        both_keys = [{"name": TENANT, "api_keys": [KEY, REVOKED_KEY], "priority": 1}]
        if not await operator.put(build_configuration(1, tenants=both_keys)):
            raise CannotRunError("the configuration was not confirmed")
        runners = [Runner(platform, number, first_control=number) for number in range(3)]
        for runner in runners:
            await runner.start()
        await platform.wait_ready()
        await asyncio.sleep(4.0)
        caller = Caller(platform, key=REVOKED_KEY)
        before = [await caller.call(machine, "/read/a") for machine in platform.machines]
        if not all(call.answer.status == 200 for call in before):
            raise CannotRunError("not all entries serve")
        writer = None
        if trouble:
            writer = asyncio.create_task(check_in_as_other_writer(platform))
        await asyncio.sleep(1.0)
        if not await operator.put(build_configuration(2), 10.0):
            raise CannotRunError("the change was not confirmed")
        confirmed_at = time.monotonic()
        record.write("version 2, without the revoked key, is confirmed")
        await asyncio.sleep(APPLY_S + 0.2)
        later = []
        while time.monotonic() < confirmed_at + WATCH_S:
            later += [await caller.call(machine, "/read/a") for machine in platform.machines]
            await asyncio.sleep(0.5)
        if writer is not None:
            writer.cancel()
        ran = {run.attempt_id for runner in runners for run in runner.runs}
        for runner in runners:
            await runner.stop()
        record.write(f"ended by themselves: {platform.list_ended()}")
        wrong = [call for call in later if call.attempt_id in ran]
        for machine in platform.machines:
            times = [f"{call.sent_at - confirmed_at:.1f}" for call in wrong if call.machine is machine]
            record.write(f"ran by {machine.name} with the revoked key, seconds after the confirmation: {times}")
        if not wrong:
            return ""
        last_s = max(call.sent_at for call in wrong) - confirmed_at
        return (
            f"{len(wrong)} of {len(later)} requests with a revoked key ran, the last one sent "
            f"{last_s:.1f} s after the change was confirmed"
        )


run_case(__file__, play)
