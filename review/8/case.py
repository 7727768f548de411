"""One server sends an answer's body without end; other callers wait at the entry."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
import cell as c  # noqa: E402

TIMEOUT_MS, SLO_MS = 1200, 200
DEADLINE_MS = 5000
GARBAGE = {"newlines": b"\n", "comments": b":\n\n", "events": b"data:\n\n"}[
    os.environ.get("GARBAGE", "newlines")]
TROUBLE_S = 20.0


class Engine(c.Server):
    """A model server that is in trouble for one request."""

    is_in_trouble = False
    sent_bytes = 0

    async def run(self, attempt, path, headers, body, writer):
        head = self.receipt(attempt) | {"Content-Type": "text/event-stream"}
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in head.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        if self.is_in_trouble:
            self.is_in_trouble = False
            block = GARBAGE * (65536 // len(GARBAGE))
            while True:
                writer.write(block)
                await writer.drain()
                self.sent_bytes += len(block)
        for number in range(1, 6):
            await asyncio.sleep(0.05)
            writer.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
        await writer.drain()
        return False


async def body(record, trouble):
    cell = c.Cell(record)
    try:
        return await play(cell, record, trouble)
    finally:
        await cell.close()


async def play(cell, record, trouble):
    await cell.start_all()
    desk = c.Server(cell, service="stall-desk", ip=f"{cell.prefix}.101", slots=6)
    engine = Engine(cell, service="blurb-engine", ip=f"{cell.prefix}.102",
                    is_engine=True)
    config = c.build_config(7, [
        c.build_route("chat", "/chat/", "streaming", "blurb-engine", timeout_ms=12000,
                      slo_ms=250, itl=150, affinity=True),
        c.build_route("lookup", "/lookup/", "idempotent", "stall-desk",
                      timeout_ms=TIMEOUT_MS, slo_ms=SLO_MS),
    ], [c.build_service("blurb-engine", max_conns=370, engine=c.ENGINE),
        c.build_service("stall-desk", max_conns=110)])
    await cell.put_config(config)
    await desk.open()
    await engine.open()
    await cell.wait_ready()
    await asyncio.sleep(5)  # the machines come in touch
    entry = cell.machines[-1]
    record(f"callers use {entry.name}")
    # Chats are served before.
    for _ in range(3):
        answer = await c.ask(entry, "/chat/2f", attempt_id=c.new_id(), deadline_ms=12000,
                             extra={"Carobspring-Model": "m",
                                    "Carobspring-Token-Usage": "300,60",
                                    "Carobspring-Prefix-Hash": "5c1e07a2:172"})
        record(f"chat before: {answer}, {answer.took_s * 1000:.0f} ms")
        if answer.status != 200:
            raise c.CannotRun("chats are not served")

    lookups = []

    async def look_up():
        sent = time.monotonic()
        answer = await c.ask(entry, "/lookup/2f", attempt_id=c.new_id(),
                             deadline_ms=DEADLINE_MS)
        lookups.append((sent, answer))

    others = []

    async def look_up_elsewhere():
        others.append(await c.ask(cell.machines[0], "/lookup/2f",
                                  attempt_id=c.new_id(), deadline_ms=DEADLINE_MS))

    probes = []

    async def probe():
        sent = time.monotonic()
        answer = await c.call(entry.ip, c.READINESS, "GET", "/v1/readyz", b"")
        probes.append((sent, answer))

    tasks = []
    engine.is_in_trouble = trouble
    began = time.monotonic()
    chat = asyncio.create_task(c.ask(
        entry, "/chat/2f", attempt_id=c.new_id(), deadline_ms=12000,
        extra={"Carobspring-Model": "m", "Carobspring-Token-Usage": "300,60",
               "Carobspring-Prefix-Hash": "5c1e07a2:172"}))
    count = 0
    while time.monotonic() - began < TROUBLE_S:
        tasks.append(asyncio.create_task(look_up()))
        if count % 5 == 0:
            tasks.append(asyncio.create_task(probe()))
            tasks.append(asyncio.create_task(look_up_elsewhere()))
        count += 1
        await asyncio.sleep(0.2)
    await asyncio.gather(*tasks)
    answer = await chat
    record(f"the chat: {answer}, {answer.took_s * 1000:.0f} ms; "
           f"the server sent {engine.sent_bytes} bytes for it")
    bound_s = TIMEOUT_MS / 1000
    open_at_timeout = [a for _, a in lookups if a.took_s > bound_s or not a.status]
    late = [a for a in open_at_timeout if not a.status or a.took_s > bound_s + 0.5]
    for sent, answer in lookups:
        if answer.status != 200 or answer.took_s > bound_s:
            record(f"lookup sent at {sent - began:.2f} s: {answer}, "
                   f"{answer.took_s * 1000:.0f} ms")
    missed = [p for _, p in probes if p.status != 200]
    record(f"{len(lookups)} lookups sent, {len(open_at_timeout)} unanswered at their "
           f"route's timeout of {TIMEOUT_MS} ms, {len(late)} of them half a second later")
    record(f"{len(probes)} readiness questions, {len(missed)} without a 200")
    served = [a for a in others if a.status == 200 and a.took_s <= bound_s]
    record(f"at another entry meanwhile: {len(others)} lookups, {len(served)} served in time")
    return bool(open_at_timeout) and len(late) > len(open_at_timeout) / 2


c.run_case(FOLDER, body)
