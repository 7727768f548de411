"""Calls known to the agent, with their output buffered for resumption."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from carobspring.domain import RunStatus
from carobspring.protocol import CallEnd, CallEvent, ResponseHead, RunCall

#: Largest amount of output in one event.
CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, kw_only=True)
class TableLimits:
    """Bounds on the calls and the output that are kept."""

    #: Bytes of one call's output that are kept for resumption.
    call_bytes: int = 1024 * 1024
    #: Bytes of a unique call's output that are kept, which is more because
    #: control stores its complete response.
    claim_bytes: int = 4 * 1024 * 1024
    #: Bytes of output kept for all ended calls; the oldest is evicted first.
    total_bytes: int = 8 * 1024 * 1024
    #: Seconds for which the output of an ended call is kept.
    retention_s: float = 60.0
    #: Identifiers of past calls that are kept to refuse late duplicates.
    max_past_ids: int = 20_000


class CallState(Enum):
    """State of a call."""

    WAITING = "waiting"
    RUNNING = "running"
    #: The outcome is known and is being committed.
    ENDING = "ending"
    ENDED = "ended"


class OutputReader:
    """Reads a call's output as events, starting at an offset.

    Example:
        ``while (event := await reader.read()) is not None: send(event)``
    """

    def __init__(self, *, record: "CallRecord", offset: int, now: float) -> None:
        self.record = record
        self.offset = offset
        #: When the last event was sent to the entry.
        self.last_sent_at = now
        self.wakeup = asyncio.Event()
        self.heartbeat_due = False
        self._head_sent = False
        self._ended = False

    async def read(self) -> CallEvent | None:
        """Wait for and return the next event, or None after the end.

        An event without content is a heartbeat.
        """
        while True:
            self.wakeup.clear()
            event = self._next_event()
            if event is not None or self._ended:
                return event
            await self.wakeup.wait()

    def _next_event(self) -> CallEvent | None:
        record = self.record
        if self._ended:
            return None
        if record.head is not None and not self._head_sent:
            self._head_sent = True
            return CallEvent(head=record.head)
        if not record.buffer_start <= self.offset <= record.size:
            return self._end(CallEnd(run_status=RunStatus.UNKNOWN, reason="lost"))
        data = record.read(self.offset)
        if data:
            event = CallEvent(data=data, offset=self.offset)
            self.offset += len(data)
            record.space_available.set()
            return event
        if record.end is not None:
            return self._end(record.end)
        if self.heartbeat_due:
            self.heartbeat_due = False
            return CallEvent()
        return None

    def _end(self, end: CallEnd) -> CallEvent:
        self._ended = True
        return CallEvent(end=end, offset=self.offset)


class CallRecord:
    """A call with its state and its output so far."""

    def __init__(self, *, call: RunCall, now: float, max_buffer_bytes: int) -> None:
        self.call: RunCall = call
        self.state = CallState.WAITING
        self.head: ResponseHead | None = None
        self.end: CallEnd | None = None
        #: Offset of the first byte that is still in the buffer.
        self.buffer_start = 0
        self.buffer = bytearray()
        self.max_buffer_bytes = max_buffer_bytes
        self.readers: set[OutputReader] = set()
        #: Since when the call has no reader; None while it has one.
        self.orphan_since: float | None = now
        self.ended_at = 0.0
        #: True when it may run only while no other call does.
        self.exclusive = False
        #: True when a run was preempted before its response began.
        self.preempted = False
        #: Set when the buffer may have space for more output.
        self.space_available = asyncio.Event()

    @property
    def size(self) -> int:
        """Number of bytes of output so far."""
        return self.buffer_start + len(self.buffer)

    def read(self, offset: int) -> bytes:
        """Return a chunk of output from an offset in the buffer."""
        start = offset - self.buffer_start
        return bytes(self.buffer[start : start + CHUNK_BYTES])

    def set_head(self, head: ResponseHead) -> None:
        """Store the status and headers of the response."""
        self.head = head
        self.wake_readers()

    async def write(self, data: bytes) -> None:
        """Append output; wait while a reader lags by more than the buffer."""
        self.buffer += data
        self.wake_readers()
        while len(self.buffer) > self.max_buffer_bytes:
            self.space_available.clear()
            lowest_offset = min((reader.offset for reader in self.readers), default=0)
            removable = min(
                len(self.buffer) - self.max_buffer_bytes,
                max(0, lowest_offset - self.buffer_start),
            )
            if removable:
                del self.buffer[:removable]
                self.buffer_start += removable
            else:
                await self.space_available.wait()

    def finish(self, end: CallEnd, now: float) -> None:
        """Record the end of the call."""
        self.state = CallState.ENDED
        self.end = end
        self.ended_at = now
        self.wake_readers()

    def wake_readers(self) -> None:
        """Wake every reader that waits for an event."""
        for reader in self.readers:
            reader.wakeup.set()

    def attach(self, offset: int, now: float) -> OutputReader:
        """Add a reader that starts at an offset."""
        reader = OutputReader(record=self, offset=offset, now=now)
        self.readers.add(reader)
        self.orphan_since = None
        return reader

    def detach(self, reader: OutputReader, now: float) -> None:
        """Remove a reader; without readers the call is an orphan."""
        self.readers.discard(reader)
        self.space_available.set()
        if not self.readers:
            self.orphan_since = now


class CallTable:
    """All calls known to the agent, and the identifiers of past ones."""

    def __init__(self, *, limits: TableLimits) -> None:
        self._limits = limits
        self._live: dict[str, CallRecord] = {}
        self._ended: OrderedDict[str, CallRecord] = OrderedDict()
        #: Run status of calls that were evicted or were fenced before arrival.
        self._past_statuses: OrderedDict[str, RunStatus] = OrderedDict()
        self._ended_bytes = 0

    def __len__(self) -> int:
        return len(self._live)

    def __iter__(self) -> Iterator[CallRecord]:
        return iter(list(self._live.values()))

    def find(self, call_id: str) -> CallRecord | None:
        """Return a live call, or an ended one whose output is still kept."""
        return self._live.get(call_id) or self._ended.get(call_id)

    def find_past_status(self, call_id: str) -> RunStatus | None:
        """Return the run status of a call known only by its identifier."""
        return self._past_statuses.get(call_id)

    def add(self, call: RunCall, now: float) -> CallRecord:
        """Add a new call."""
        limits = self._limits
        max_buffer_bytes = limits.claim_bytes if call.claim else limits.call_bytes
        record = CallRecord(call=call, now=now, max_buffer_bytes=max_buffer_bytes)
        self._live[call.call_id] = record
        return record

    def fence(self, call_id: str, status: RunStatus = RunStatus.NOT_RUN) -> None:
        """Keep a call that has not arrived yet from being run."""
        self._remember_status(call_id, status)

    def finish(self, record: CallRecord, end: CallEnd, now: float) -> None:
        """End a call and keep its output for a while."""
        call_id = record.call.call_id
        self._live.pop(call_id, None)
        record.finish(end, now)
        self._ended[call_id] = record
        self._ended_bytes += len(record.buffer)
        self.evict_ended(now)

    def evict_ended(self, now: float) -> None:
        """Drop the oldest output that exceeds the retention time or size."""
        for call_id, record in list(self._ended.items()):
            is_expired = now - record.ended_at > self._limits.retention_s
            if not is_expired and self._ended_bytes <= self._limits.total_bytes:
                return
            if record.readers and not is_expired:
                continue
            del self._ended[call_id]
            self._ended_bytes -= len(record.buffer)
            assert record.end is not None
            self._remember_status(call_id, record.end.run_status)

    def count_ended_with_readers(self) -> int:
        """Return the number of ended calls that still have a reader."""
        return sum(1 for record in self._ended.values() if record.readers)

    def _remember_status(self, call_id: str, status: RunStatus) -> None:
        self._past_statuses[call_id] = status
        while len(self._past_statuses) > self._limits.max_past_ids:
            self._past_statuses.popitem(last=False)
