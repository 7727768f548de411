"""A stand-in runner: checks in, and answers requests like a sound server."""

import asyncio
import itertools
import json
import secrets
import time
from dataclasses import dataclass

from review.support.http import Message, build_request, exchange, read_body, read_head
from review.support.platform import CONTROL_PORT, HEARTBEAT_S, Platform

RUNNER_PORT = 8080


@dataclass
class Run:
    """A request that a runner began to work on."""

    at: float
    runner: "Runner"
    attempt_id: str
    request: Message


class Runner:
    """A runner at its own loopback address.

    ``answer`` may be replaced to answer otherwise than with a fixed body.
    """

    def __init__(self, platform: Platform, number: int, *, service: str = "desk", zone: str = "anarkali", slots: int = 6, first_control: int = 0) -> None:
        self.platform = platform
        self.service, self.zone, self.slots = service, zone, slots
        self.ip = f"127.{platform.network}.{200 + number}.1"
        self.server_id = f"i-{secrets.token_hex(4)}"
        self.born_ms = int(time.time() * 1000)
        self.work_s = 0.045
        self.runs: list[Run] = []
        #: Check-ins that a control daemon confirmed.
        self.confirmed = 0
        self.state = "ready"
        #: Further fields of each check-in, those of a model runner.
        self.details: dict = {}
        #: Seconds from the first check-in that said so to its confirmation.
        self.drain_confirmed_after_s: float | None = None
        self._first_control = first_control
        self._sequence = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._check_in_task: asyncio.Task | None = None
        self._connections: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, RUNNER_PORT)
        self._check_in_task = asyncio.create_task(self._check_in_forever())

    async def stop(self) -> None:
        """End at once, like a crashed process."""
        if self._check_in_task is not None:
            self._check_in_task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self._connections):
            task.cancel()
        self.platform.record.write(f"runner {self.server_id}: ended")

    def restart_as_new(self) -> None:
        """Take the identity of a new boot at the same address."""
        self.server_id = f"i-{secrets.token_hex(4)}"
        self.born_ms = int(time.time() * 1000)
        self._sequence = itertools.count(1)

    def build_check_in(self) -> dict:
        return {
            "service": self.service, "address": f"{self.ip}:{RUNNER_PORT}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "born": self.born_ms, "seq": next(self._sequence),
        } | self.details

    async def check_in(self, ip: str) -> int:
        body = json.dumps(self.build_check_in()).encode()
        headers = [("Host", ip), ("Content-Type", "application/json"), ("Connection", "close")]
        request = build_request("PUT", f"/v1/instances/{self.server_id}", headers, body)
        return (await exchange(ip, CONTROL_PORT, [request], 1.0)).status

    async def _check_in_forever(self) -> None:
        controls = self.platform.controls
        for number in itertools.count(self._first_control):
            while await self.check_in(controls[number % len(controls)].ip) == 200:
                self.confirmed += 1
                await asyncio.sleep(HEARTBEAT_S)
            await asyncio.sleep(0.05)

    async def leave(self, patience_s: float) -> None:
        """Report that the runner drains, until it is confirmed; then end.

        Without a confirmation it ends all the same after ``patience_s``.
        """
        self._check_in_task.cancel()
        self.state = "draining"
        began_at = time.monotonic()
        controls = self.platform.controls
        for number in itertools.count(self._first_control):
            status = await self.check_in(controls[number % len(controls)].ip)
            self.platform.record.write(f"runner {self.server_id}: check-in that it drains: {status or 'no answer'}")
            if status == 200:
                self.drain_confirmed_after_s = time.monotonic() - began_at
                await asyncio.sleep(3.0)
                break
            if time.monotonic() - began_at > patience_s:
                break
            await asyncio.sleep(0.05)
        await self.stop()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._connections.add(task)
        self.writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                await self._handle(request, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request: Message, writer) -> None:
        attempt_id = request.get("Carobspring-Attempt-Id")
        expected = request.get("Carobspring-Expected-Instance")
        if request.first_line.startswith("GET /healthz "):
            await self.send(writer, 200, [("Carobspring-Upstream-Instance", self.server_id)], b"")
        elif expected and expected != self.server_id:
            await self.send(writer, 421, [("Carobspring-Attempt-Id", attempt_id), ("Carobspring-Not-Executed", "1")], b"")
        elif not attempt_id:
            await self.send(writer, 400, [("Carobspring-Not-Executed", "1")], b"")
        else:
            self.runs.append(Run(time.monotonic(), self, attempt_id, request))
            self.platform.record.write(f"runner {self.server_id}: runs {attempt_id} {request.first_line}")
            await self.answer(request, attempt_id, writer)

    async def answer(self, request: Message, attempt_id: str, writer) -> None:
        await asyncio.sleep(self.work_s)
        await self.send(writer, 200, self.build_headers(attempt_id), b"x" * 800)

    async def answer_with_events(self, attempt_id: str, writer, *, count: int, gap_s: float, first_s: float = 0.0) -> None:
        """Send a stream of events in chunks."""
        headers = [*self.build_headers(attempt_id), ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers)]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        await asyncio.sleep(first_s)
        for number in range(1, count + 1):
            await asyncio.sleep(gap_s)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def build_headers(self, attempt_id: str) -> list[tuple[str, str]]:
        return [("Carobspring-Attempt-Id", attempt_id), ("Carobspring-Upstream-Signature", f"{self.server_id}.{attempt_id}")]

    async def send(self, writer, status: int, headers, body: bytes) -> None:
        lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers)]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
