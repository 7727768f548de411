"""Calls that the agent knows, with the output kept for a resume."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from carobspring.domain import RunStatus
from carobspring.protocol import CallEnd, CallEvent, ResponseHead, RunCall

PIECE_BYTES = 64 * 1024


@dataclass(frozen=True, kw_only=True)
class TableLimits:
    """Bounds on what is kept of calls."""

    #: Bytes of one call's output that are kept for a resume.
    call_bytes: int = 1024 * 1024
    #: The same for a unique call, whose whole answer is stored by control.
    claim_bytes: int = 4 * 1024 * 1024
    #: Bytes of all ended calls' output; the oldest go first.
    total_bytes: int = 8 * 1024 * 1024
    #: Seconds that an ended call's output is kept.
    retention_s: float = 60.0
    #: Identifiers of ended calls that are kept to refuse late copies.
    max_past_ids: int = 20_000


class CallState(Enum):
    """Where a call is."""

    WAITING = "waiting"
    RUNNING = "running"
    #: Its outcome is known and is being committed.
    ENDING = "ending"
    ENDED = "ended"


class OutputReader:
    """One stream that follows a call's output from an offset.

    Example:
        ``while (event := await reader.read()) is not None: send(event)``
    """

    def __init__(self, *, record: "CallRecord", offset: int, now: float) -> None:
        self.record = record
        self.offset = offset
        #: When the last event was handed out.
        self.last_sent_at = now
        self.wakeup = asyncio.Event()
        self.heartbeat_due = False
        self._head_sent = False
        self._ended = False

    async def read(self) -> CallEvent | None:
        """Return the next event, or None after the end.

        An event without content is a heartbeat.
        """
        while True:
            self.wakeup.clear()
            event = self._take()
            if event is not None or self._ended:
                return event
            await self.wakeup.wait()

    def _take(self) -> CallEvent | None:
        record = self.record
        if self._ended:
            return None
        if record.head is not None and not self._head_sent:
            self._head_sent = True
            return CallEvent(head=record.head)
        if self.offset < record.buffer_start:
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
    """One call: its state and the output that it gave so far."""

    def __init__(self, *, call: RunCall, now: float, limit: int) -> None:
        self.call: RunCall = call
        self.state = CallState.WAITING
        self.head: ResponseHead | None = None
        self.end: CallEnd | None = None
        #: Offset of the first byte that is still kept.
        self.buffer_start = 0
        self.buffer = bytearray()
        self.limit = limit
        self.readers: set[OutputReader] = set()
        #: Since when nobody reads; None while somebody does.
        self.orphan_since: float | None = now
        self.ended_at = 0.0
        #: True when it may run only while no other call does.
        self.exclusive = False
        #: True when a run of it was stopped before its answer began.
        self.preempted = False
        #: Set when a reader made room for more output.
        self.space_available = asyncio.Event()

    def read(self, offset: int) -> bytes:
        """Return a piece of output from an offset that is still kept."""
        start = offset - self.buffer_start
        return bytes(self.buffer[start : start + PIECE_BYTES])

    def set_head(self, head: ResponseHead) -> None:
        """Take in the answer's status and headers."""
        self.head = head
        self.wake_readers()

    async def write(self, data: bytes) -> None:
        """Keep a piece; waits while a reader is a whole limit behind."""
        self.buffer += data
        self.wake_readers()
        while len(self.buffer) > self.limit:
            self.space_available.clear()
            read = min((reader.offset for reader in self.readers), default=0)
            spare = min(len(self.buffer) - self.limit, max(0, read - self.buffer_start))
            if spare:
                del self.buffer[:spare]
                self.buffer_start += spare
            else:
                await self.space_available.wait()

    def finish(self, end: CallEnd, now: float) -> None:
        """Take in the call's end."""
        self.state = CallState.ENDED
        self.end = end
        self.ended_at = now
        self.wake_readers()

    def wake_readers(self) -> None:
        """Let every reader look again."""
        for reader in self.readers:
            reader.wakeup.set()

    def attach(self, offset: int, now: float) -> OutputReader:
        """Return a reader from an offset."""
        reader = OutputReader(record=self, offset=offset, now=now)
        self.readers.add(reader)
        self.orphan_since = None
        return reader

    def detach(self, reader: OutputReader, now: float) -> None:
        """Forget a reader; the last one leaves the call an orphan."""
        self.readers.discard(reader)
        self.space_available.set()
        if not self.readers:
            self.orphan_since = now


class CallTable:
    """Every call that the agent knows, and the identifiers of past ones."""

    def __init__(self, *, limits: TableLimits) -> None:
        self._limits = limits
        self._live: dict[str, CallRecord] = {}
        self._ended: OrderedDict[str, CallRecord] = OrderedDict()
        #: Identifiers whose output is gone, and ones fenced unseen.
        self._past: OrderedDict[str, RunStatus] = OrderedDict()
        self._ended_bytes = 0

    def __len__(self) -> int:
        return len(self._live)

    def __iter__(self) -> Iterator[CallRecord]:
        return iter(list(self._live.values()))

    def find(self, call_id: str) -> CallRecord | None:
        """Return a call whose output is still kept."""
        return self._live.get(call_id) or self._ended.get(call_id)

    def find_past_status(self, call_id: str) -> RunStatus | None:
        """Return what became of a call that is only known by identifier."""
        return self._past.get(call_id)

    def add(self, call: RunCall, now: float) -> CallRecord:
        """Take in a new call."""
        limits = self._limits
        limit = limits.claim_bytes if call.claim else limits.call_bytes
        record = CallRecord(call=call, now=now, limit=limit)
        self._live[call.call_id] = record
        return record

    def fence(self, call_id: str, status: RunStatus = RunStatus.NOT_RUN) -> None:
        """Bar an identifier that has not been seen."""
        self._remember(call_id, status)

    def finish(self, record: CallRecord, end: CallEnd, now: float) -> None:
        """Move a call to the ended ones."""
        call_id = record.call.call_id
        self._live.pop(call_id, None)
        record.finish(end, now)
        self._ended[call_id] = record
        self._ended_bytes += len(record.buffer)
        self.evict_ended(now)

    def evict_ended(self, now: float) -> None:
        """Drop the output of calls that ended too long ago or are too much."""
        for call_id, record in list(self._ended.items()):
            expired = now - record.ended_at > self._limits.retention_s
            if not expired and self._ended_bytes <= self._limits.total_bytes:
                return
            if record.readers and not expired:
                continue
            del self._ended[call_id]
            self._ended_bytes -= len(record.buffer)
            assert record.end is not None
            self._remember(call_id, record.end.run_status)

    def count_ended_with_readers(self) -> int:
        """Return how many ended calls still have a reader."""
        return sum(1 for record in self._ended.values() if record.readers)

    def _remember(self, call_id: str, status: RunStatus) -> None:
        self._past[call_id] = status
        while len(self._past) > self._limits.max_past_ids:
            self._past.popitem(last=False)
