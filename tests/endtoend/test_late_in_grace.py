"""Requests that come late in the grace of a planned stop, in calm."""

import asyncio
import itertools
import signal
from dataclasses import dataclass, field

from tests.endtoend.instances import InstancesTestCase

GRACE_S = 8.0
#: A request that was sent by then may be cut if its server still works in the
#: last part of the grace.
EARLY_S = 3.0
LAST_PART_S = GRACE_S / 6
SEND_INTERVAL_S = 0.15
READ_TIMEOUT_S = 14.0
#: Seconds after which the last bytes of a chunked body come.
BODY_DELAY_S = 1.2
#: Paths, with how long their server takes.
PATHS = (
    "/book/lasting/0.3",
    "/book/lasting/2.5",
    "/book/lasting/4",
    "/read/lasting/1",
    "/stream/lasting/2.5",
    "/stream/lasting/5",
)
USUAL_PATHS = (*PATHS[:2], *PATHS[3:5])
#: Deadlines of callers in ms; None stands for the route's limit alone.
DEADLINES_MS = (None, 1_500, 4_000)
FORMS = ("length", "chunks", "HTTP/1.0")


@dataclass(kw_only=True)
class LateRequest:
    """A request on a connection that was opened before or during the stop."""

    attempt_id: str
    path: str
    form: str
    deadline_ms: int | None
    is_kept: bool
    sent_at: float = 0.0
    response: bytes = b""
    streams: list = field(default_factory=list)

    @property
    def is_whole(self):
        """Whether the response shows its end."""
        head, blank, body = self.response.partition(b"\r\n\r\n")
        if not blank:
            return False
        fields = head.lower()
        if b"transfer-encoding: chunked" in fields:
            return body.endswith(b"0\r\n\r\n")
        for line in fields.split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(body) == int(line.partition(b":")[2])
        # Only the end of the connection shows it.
        return b"http/1.0" in fields or b"connection: close" in fields


class LateInGraceTests(InstancesTestCase):
    """Guards against requests that are taken late and cut at the end."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.entry = self.instances.instances[3]
        self.program = self.entry.programs["carob-entry"]
        # The entry learns how long most requests of each route last.
        await asyncio.gather(
            *(
                self.call(self.entry, path, method="POST", body=b"x")
                for path in USUAL_PATHS
            )
        )

    async def open(self, request):
        host, port = self.entry.frontend_url.removeprefix("http://").split(":")
        request.streams = await asyncio.open_connection(host, int(port))

    async def send(self, request):
        version = "1.0" if request.form == "HTTP/1.0" else "1.1"
        lines = [
            f"POST {request.path} HTTP/{version}",
            "Host: shop.example",
            f"Carobspring-Attempt-Id: {request.attempt_id}",
            "Authorization: Bearer key-1",
        ]
        if request.deadline_ms is not None:
            lines.append(f"Carobspring-Deadline-Ms: {request.deadline_ms}")
        is_chunked = request.form == "chunks"
        framing = "Transfer-Encoding: chunked" if is_chunked else "Content-Length: 4"
        head = "\r\n".join([*lines, framing]).encode() + b"\r\n\r\n"
        try:
            if not request.streams:
                await self.open(request)
            reader, writer = request.streams
            if is_chunked:
                writer.write(head + b"2\r\nbo\r\n")
                await asyncio.sleep(BODY_DELAY_S)
                writer.write(b"2\r\ndy\r\n0\r\n\r\n")
            else:
                writer.write(head + b"body")
            request.sent_at = asyncio.get_running_loop().time()
            async with asyncio.timeout(READ_TIMEOUT_S):
                while data := await reader.read(65536):
                    request.response += data
                    if request.is_whole and b"http/1.1" in request.response[:9].lower():
                        break
        except (OSError, TimeoutError):
            return
        finally:
            if request.streams:
                request.streams[1].close()

    async def stop_with(self, signals):
        """Stop the entry while requests come; return those that were cut."""
        loop = asyncio.get_running_loop()
        kinds = itertools.cycle(itertools.product(PATHS, FORMS, DEADLINES_MS))
        count = int(GRACE_S / SEND_INTERVAL_S)
        requests = [
            LateRequest(
                attempt_id=f"{self._testMethodName}-{number}",
                path=path,
                form=form,
                deadline_ms=deadline_ms,
                is_kept=number % 4 != 0,
            )
            for number, (path, form, deadline_ms) in zip(
                range(2 * count), kinds, strict=False
            )
        ]
        for request in requests:
            if request.is_kept:
                await self.open(request)
        stopped_at = loop.time()
        tasks = []
        signalling = asyncio.create_task(self.send_signals(signals))
        for first, second in zip(requests[::2], requests[1::2], strict=True):
            tasks += [asyncio.create_task(self.send(each)) for each in (first, second)]
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.gather(signalling, *tasks)
        self.assertEqual(await self.program.stop(), 0)
        runs = {
            run.attempt_id: run.ended_at
            for server in self.servers
            for run in server.runs
        }
        self.assertGreater(len(runs.keys() & {r.attempt_id for r in requests}), 5)
        cut = []
        for request in requests:
            if request.attempt_id not in runs or request.is_whole:
                continue
            after_s = request.sent_at - stopped_at
            worked_late = after_s <= EARLY_S and (
                runs[request.attempt_id] - stopped_at > GRACE_S - LAST_PART_S
            )
            limit_s = (request.deadline_ms or 10_000) / 1000
            is_at_limit = request.path.startswith("/stream/") and limit_s < 5
            if not worked_late and not is_at_limit:
                cut.append((request.path, request.form, request.deadline_ms, after_s))
        return cut

    async def send_signals(self, signals):
        for delay_s, number in signals:
            await asyncio.sleep(delay_s)
            self.program.send_signal(number)

    async def test_one_signal(self):
        """What is taken at any moment of the grace ends with an answer."""
        self.assertEqual(await self.stop_with([(0, signal.SIGTERM)]), [])

    async def test_second_signal(self):
        """The same if the signal comes again, and with a reload between."""
        signals = [(0, signal.SIGTERM), (2, signal.SIGHUP), (2, signal.SIGTERM)]
        self.assertEqual(await self.stop_with(signals), [])
