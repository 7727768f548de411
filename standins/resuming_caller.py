"""A simulated caller that takes up its event stream after each break."""

import asyncio
import itertools
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import aiohttp

from standins.events import StreamEvent, parse_event

STREAM_TYPE = "text/event-stream"
#: Tries of a caller for one stream, the first one included.
MAX_TRIES = 4
#: Retry-After that is honoured at most, as a share of the time that is left.
RETRY_AFTER_SHARE = 1 / 3
#: Seconds before another try if none is named.
RETRY_DELAY_S = 0.02

_numbers = itertools.count(1)


@dataclass(kw_only=True)
class ResumedStream:
    """What a caller got of one stream, over all its tries."""

    events: list[StreamEvent] = field(default_factory=list)
    #: Texts in the stream that are no event of it.
    foreign: list[bytes] = field(default_factory=list)
    #: Bodies of responses that are no event streams, as far as they came.
    other_bodies: list[bytes] = field(default_factory=list)
    is_complete: bool = False
    #: Identifier of the try that brought the first event.
    began_as: str = ""
    #: Statuses of the tries, 0 without an answer, and of those that took the
    #: stream up again, whether each brought an event.
    statuses: list[int] = field(default_factory=list)
    resumptions: list[bool] = field(default_factory=list)

    @property
    def versions(self) -> frozenset[str]:
        """The software versions of the servers that wrote its events."""
        return frozenset(event.version for event in self.events)

    @property
    def is_mixed(self) -> bool:
        """Whether servers of several versions wrote it."""
        return len(self.versions) > 1


class ResumingCaller:
    """Requests a stream, and takes it up at the next entry after a break.

    ``urls`` names the entries in the order in which the tries go to them.

    Example:
        ``stream = await ResumingCaller(client=client, urls=urls).run()``
    """

    def __init__(
        self,
        *,
        client: aiohttp.ClientSession,
        urls: Sequence[str],
        key: str = "key-1",
        timeout_s: float = 10.0,
        names_stream: bool = True,
        resume_delay_s: float = 0.0,
        on_try: Callable[[str, str], None] = lambda attempt_id, url: None,
    ) -> None:
        """Create a caller.

        ``resume_delay_s`` is how long it waits before it takes the stream up.
        ``on_try`` gets the identifier and the entry of each try.
        """
        self._client = client
        self._urls = urls
        self._key = key
        self._deadline = time.monotonic() + timeout_s
        self._names_stream = names_stream
        self._resume_delay_s = resume_delay_s
        self._on_try = on_try
        self.stream = ResumedStream()

    async def run(self) -> ResumedStream:
        """Return the stream once it is complete, or no try is left."""
        for number in range(MAX_TRIES):
            left_s = self._deadline - time.monotonic()
            if left_s <= 0:
                break
            retry_after_s = await self._try(self._urls[number % len(self._urls)])
            if self.stream.is_complete:
                break
            await asyncio.sleep(min(retry_after_s, left_s * RETRY_AFTER_SHARE))
        return self.stream

    async def _try(self, url: str) -> float:
        """Try once; return the seconds to wait before the next try."""
        stream = self.stream
        attempt_id = f"r{next(_numbers)}"
        self._on_try(attempt_id, url)
        left_s = max(0.1, self._deadline - time.monotonic())
        headers = {
            "Host": "shop.example",
            "Carobspring-Attempt-Id": attempt_id,
            "Carobspring-Deadline-Ms": str(round(left_s * 1000)),
            "Authorization": f"Bearer {self._key}",
            "Connection": "close",
        }
        event_count = len(stream.events)
        if event_count:
            headers["Last-Event-Id"] = str(stream.events[-1].number)
            if self._names_stream:
                headers["Resumes"] = stream.began_as
        retry_after_s = RETRY_DELAY_S
        timeout = aiohttp.ClientTimeout(total=left_s)
        try:
            async with self._client.get(
                f"{url}/stream/x", headers=headers, timeout=timeout
            ) as response:
                stream.statuses.append(response.status)
                retry_after_s = float(response.headers.get("Retry-After", 0.0))
                if response.content_type != STREAM_TYPE:
                    await self._read_other_body(response)
                elif response.status == 200:
                    await self._read_events(response, attempt_id)
        except aiohttp.ClientConnectorError:
            # The entry is gone, so nobody was asked to go on.
            stream.statuses.append(0)
            return retry_after_s
        except (aiohttp.ClientError, TimeoutError, OSError):
            stream.statuses.append(0)
        if event_count:
            went_on = len(stream.events) > event_count or stream.is_complete
            stream.resumptions.append(went_on)
        elif stream.events:
            await asyncio.sleep(self._resume_delay_s)
        return max(retry_after_s, RETRY_DELAY_S)

    async def _read_other_body(self, response: aiohttp.ClientResponse) -> None:
        if response.status != 200:
            return
        body = bytearray()
        try:
            async for data in response.content.iter_any():
                body += data
        finally:
            self.stream.other_bodies.append(bytes(body))

    async def _read_events(
        self, response: aiohttp.ClientResponse, attempt_id: str
    ) -> None:
        buffer = b""
        async for data in response.content.iter_any():
            buffer += data
            while b"\n\n" in buffer:
                text, _, buffer = buffer.partition(b"\n\n")
                event = parse_event(text)
                if event is None:
                    self.stream.foreign.append(text)
                    continue
                if not self.stream.events:
                    self.stream.began_as = attempt_id
                self.stream.events.append(event)
        if buffer:
            self.stream.foreign.append(buffer)
        self.stream.is_complete = True
