"""The first check-in of a server arrives late, after the server has left."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
import cell as c  # noqa: E402

DRAIN_S = 2.0
#: Seconds after the server's start: it sends its first check-in, leaves, and exits.
LEAVES_AT, EXITS_AT = 1.0, 8.0
LATE_S = float(os.environ.get("LATE", "3.5"))


class Desk(c.Server):
    """A sound server; one that leaves ends its channels at its exit."""

    def __init__(self, *words, **named):
        super().__init__(*words, **named)
        self.channels = set()

    async def run(self, attempt, path, headers, body, writer):
        self.channels.add(writer)
        try:
            return await super().run(attempt, path, headers, body, writer)
        finally:
            self.channels.discard(writer)

    async def exit(self):
        await self.close()
        for writer in list(self.channels):
            writer.transport.abort()


async def body(record, trouble):
    cell = c.Cell(record)
    try:
        return await play(cell, record, trouble)
    finally:
        await cell.close()


async def play(cell, record, trouble):
    await cell.start_all()
    stays = Desk(cell, service="stall-desk", ip=f"{cell.prefix}.101", slots=6, work_s=0.3)
    config = c.build_config(7, [
        c.build_route("book", "/book/", "non_idempotent", "stall-desk",
                      timeout_ms=1200, slo_ms=200),
    ], [c.build_service("stall-desk", max_conns=110)])
    await cell.put_config(config)
    await stays.open()
    await cell.wait_ready()
    await asyncio.sleep(6)  # the machines come in touch, and stay so
    sent, tasks = {}, []
    is_over = False

    async def ask(machine):
        attempt, at = c.new_id(), time.monotonic()
        answer = await c.ask(machine, "/book/9", attempt_id=attempt, deadline_ms=2500)
        sent[attempt] = (at, machine, answer)

    async def ask_steadily(machine):
        while not is_over:
            tasks.append(asyncio.create_task(ask(machine)))
            await asyncio.sleep(0.2)

    steady = [asyncio.create_task(ask_steadily(m)) for m in cell.machines]
    leaves = Desk(cell, service="stall-desk", ip=f"{cell.prefix}.102", slots=6, work_s=0.3)
    leaves.checks_in = False
    await leaves.open()
    began = time.monotonic()
    path = f"/v1/instances/{leaves.server_id}"
    first = leaves.build_check_in()
    record(f"server {leaves.server_id} starts and sends its first check-in")

    async def wait_until(at):
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))

    async def deliver():
        if trouble:
            await wait_until(LATE_S)
        answer = await c.call(cell.controls[0].ip, c.CONTROL, "PUT", path, first)
        record(f"the check-in arrives at {cell.controls[0].name}, "
               f"{time.monotonic() - began:.1f} s after it was sent: {answer}")

    delivery = asyncio.create_task(deliver())
    await wait_until(LEAVES_AT)
    while True:
        answer = await c.call(cell.controls[1].ip, c.CONTROL, "DELETE", path, b"")
        if answer.status == 200:
            break
        await asyncio.sleep(0.2)
    gone_at = time.monotonic()
    record(f"{cell.controls[1].name} confirms that {leaves.server_id} is gone")
    await wait_until(EXITS_AT)
    await leaves.exit()
    record(f"{leaves.server_id} exits, {time.monotonic() - gone_at:.1f} s after that")
    await asyncio.sleep(1)
    is_over = True
    await asyncio.gather(*steady, delivery)
    await asyncio.gather(*tasks)
    broken = []
    for at, attempt, _ in leaves.arrivals:
        if at > gone_at + DRAIN_S:
            sent_at, machine, answer = sent[attempt]
            broken.append(attempt)
            record(f"request {attempt}, sent to {machine.name} {sent_at - gone_at:.2f} s "
                   f"after the confirmation, reaches the server that is gone; answered "
                   f"{answer}")
    lost = [a for a in broken if sent[a][2].status != 200]
    record(f"{len(sent)} bookings sent, {len(broken)} reached the server that is gone later "
           f"than {DRAIN_S:.0f} s after the confirmation, {len(lost)} of these were cut off "
           f"by its exit")
    return bool(broken)


c.run_case(FOLDER, body)
