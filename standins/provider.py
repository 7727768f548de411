"""A simulated provider whose API one daemon at a time may call."""

import asyncio
import json
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from aiohttp import web

from carobspring.platform.provider import USAGE_DUTY

PROVIDER_PORT = 8099
#: Calls a second that the API takes from all instances together.
CALLS_PER_S = 50
#: Seconds for which a call is left without an answer.
SILENCE_S = 60.0
#: Statuses of the faults that are answered.
FAULT_STATUSES = {"overloaded": 429, "unavailable": 503, "refused": 400}


@dataclass(kw_only=True)
class UsageCall:
    """A report of usage that arrived."""

    #: Monotonic time of the arrival.
    at: float
    owner: str
    token: int
    content_type: str
    window: int
    counts: dict[str, int]
    #: Whether the report was taken, with or without an answer.
    is_taken: bool = False


class StandInProvider:
    """The provider's API in this process.

    ``fault`` selects the injected fault: ``overloaded`` answers 429,
    ``unavailable`` 503 and ``refused`` 400, ``silent`` answers nothing, and
    ``cut`` takes a report but ends the connection without an answer.
    Responses take ``delay_s``.
    """

    def __init__(self, *, ip: str) -> None:
        self._ip = ip
        self._runner: web.AppRunner | None = None
        self.calls: list[UsageCall] = []
        self.fault = ""
        self.delay_s = 0.0

    def build_settings(
        self, duties: Sequence[str] = (USAGE_DUTY,)
    ) -> dict[str, object]:
        """Return the part of the node file that names this API."""
        return {
            "address": f"{self._ip}:{PROVIDER_PORT}",
            "duties": list(duties),
            "duty_per_s": CALLS_PER_S,
        }

    @property
    def taken(self) -> list[UsageCall]:
        """The reports that were taken, in the order of their arrival."""
        return [call for call in self.calls if call.is_taken]

    def read_counts(self) -> Mapping[int, dict[str, int]]:
        """Return the counts of each window that was reported."""
        return {call.window: call.counts for call in self.taken}

    async def start(self) -> None:
        """Listen."""
        app = web.Application()
        app.router.add_post("/usage", self._handle_usage)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._ip, PROVIDER_PORT).start()

    async def close(self) -> None:
        """Stop listening and end all calls."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle_usage(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        call = UsageCall(
            at=time.monotonic(),
            owner=request.headers["Carobspring-Lease-Owner"],
            token=int(request.headers["Carobspring-Fencing-Token"]),
            content_type=request.headers["Content-Type"],
            window=body["window_id"],
            counts=body["counts"],
        )
        self.calls.append(call)
        fault = self.fault
        call.is_taken = fault in ("", "cut")
        if fault == "silent":
            await asyncio.sleep(SILENCE_S)
        if fault == "cut":
            assert request.transport is not None
            request.transport.close()
            return web.Response()
        await asyncio.sleep(self.delay_s)
        return web.Response(status=FAULT_STATUSES.get(fault, 204))
