"""A stand-in for a plain service.

Started as ``python -m standins.desk --port 0``. It records bookings and
releases and counts the runs of each order. With a journal file, each run is
appended to it, so that the count survives a crash.

The module keeps the name ``desk`` because ``bench.load --system thin`` starts
it by this name from the checkout of an earlier commit.
"""

import asyncio
import dataclasses
import json
import os
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web

from standins.programs import parse_options, run_app, update_faults

FENCING_HEADER = "X-Carob-Fencing-Token"
CRASH_STATUS = 70


@dataclass(frozen=True, kw_only=True)
class BookingServiceFaults:
    """Faults that flags or ``POST /standin/fault`` set."""

    #: Milliseconds of delay before and after an order is recorded.
    delay_before_ms: int = 0
    delay_after_ms: int = 0
    #: Exit immediately before or after the next order is recorded.
    crash_before: bool = False
    crash_after: bool = False
    #: Accept requests and never respond.
    hang: bool = False


@dataclass(frozen=True, kw_only=True)
class BookingServiceOptions(BookingServiceFaults):
    """The flags of the stand-in plain service."""

    host: str = "127.0.0.1"
    port: int = 0
    #: Milliseconds of work of each call, and how many run at once.
    work_ms: int = 1
    slots: int = 16
    #: Reject orders whose fencing token is below the highest one seen.
    check_fencing: bool = False
    journal: str = ""


class BookingService:
    """The HTTP handlers of the stand-in plain service."""

    def __init__(self, *, options: BookingServiceOptions) -> None:
        names = [field.name for field in dataclasses.fields(BookingServiceFaults)]
        self._options = options
        self._faults = BookingServiceFaults(
            **{name: getattr(options, name) for name in names}
        )
        self._runs: Counter[str] = Counter()
        self._highest_token = 0
        self._rejected = 0
        self._slots = asyncio.Semaphore(options.slots)

    def build_app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/bookings", self.record_order),
                web.post("/releases", self.record_order),
                web.get("/health", self.check_health),
                web.post("/standin/fault", self.set_fault),
                web.get("/standin/counters", self.get_counters),
                web.get("/{rest:.*}", self.echo_request),
                web.post("/{rest:.*}", self.echo_request),
            ]
        )
        return app

    async def check_health(self, request: web.Request) -> web.Response:
        """Respond with 200, unless the hang fault is set."""
        await self._hang_if_set()
        return web.Response()

    async def echo_request(self, request: web.Request) -> web.Response:
        """Respond with the path, method and body of the request."""
        await self._work()
        body = (await request.read()).decode(errors="replace")
        echo = {"path": request.path_qs, "method": request.method, "body": body}
        return web.json_response(echo)

    async def record_order(self, request: web.Request) -> web.Response:
        """Record an order and respond with the number of its runs."""
        order = str(json.loads(await request.read())["order"])
        token = int(request.headers.get(FENCING_HEADER, 0))
        if self._options.check_fencing and token < self._highest_token:
            self._rejected += 1
            return web.json_response({"error": "old fencing token"}, status=409)
        self._highest_token = max(token, self._highest_token)
        await self._work()
        await asyncio.sleep(self._faults.delay_before_ms / 1000)
        if self._faults.crash_before:
            os._exit(CRASH_STATUS)
        self._runs[order] += 1
        self._append_to_journal(order)
        if self._faults.crash_after:
            os._exit(CRASH_STATUS)
        await asyncio.sleep(self._faults.delay_after_ms / 1000)
        return web.json_response({"order": order, "runs": self._runs[order]})

    async def set_fault(self, request: web.Request) -> web.Response:
        """Set or clear faults."""
        self._faults = update_faults(self._faults, await request.read())
        return web.json_response(dataclasses.asdict(self._faults))

    async def get_counters(self, request: web.Request) -> web.Response:
        """Respond with the runs of each order and the rejected orders."""
        return web.json_response({"runs": self._runs, "refused": self._rejected})

    async def _work(self) -> None:
        await self._hang_if_set()
        async with self._slots:
            await asyncio.sleep(self._options.work_ms / 1000)

    async def _hang_if_set(self) -> None:
        if self._faults.hang:
            await asyncio.Event().wait()

    def _append_to_journal(self, order: str) -> None:
        if self._options.journal:
            with Path(self._options.journal).open("a") as journal:
                journal.write(f"{order}\n")


def main() -> None:
    """Run a stand-in plain service."""
    options = parse_options(BookingServiceOptions)
    service = BookingService(options=options)
    run_app(service.build_app(), host=options.host, port=options.port)


if __name__ == "__main__":
    main()
