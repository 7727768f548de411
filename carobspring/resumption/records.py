"""Records of the versions at which streams began."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import Final

from carobspring.protocol import StreamRecord

#: Streams whose records are kept. The oldest are evicted first.
MAX_STREAMS: Final = 10_000
#: Seconds for which a record is kept at most, whatever a caller asks for.
MAX_LIFETIME_S: Final = 120.0
#: Bytes of a stream's key.
KEY_BYTES: Final = 16


def build_stream_key(workspace: str, request_id: str) -> bytes:
    """Return the key of the stream that a request of a workspace began.

    A caller who names a stream of another workspace gets the key of a stream
    that does not exist.
    """
    text = f"{len(workspace)}:{workspace}{request_id}"
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).digest()


def compute_lifetime_s(route_timeout_ms: float, caller_timeout_ms: float) -> float:
    """Return the seconds for which a caller may take a stream up again.

    A caller comes back until its own deadline, which may be later than the
    route's.
    """
    return min(MAX_LIFETIME_S, max(route_timeout_ms, caller_timeout_ms) / 1000)


@dataclass(kw_only=True)
class _Stream:
    """The records of one stream by service, the latest last."""

    records: dict[str, StreamRecord]
    expires_at: float
    #: True if this entry began the stream and has sent nobody its records.
    is_unsent: bool


class StreamRecordTable:
    """Stores the records of streams.

    A stream that several versions are recorded for in one service can't go on
    there: the version of its record becomes None.
    """

    def __init__(self) -> None:
        self._streams: OrderedDict[bytes, _Stream] = OrderedDict()

    def add(self, record: StreamRecord, now: float, *, is_unsent: bool = False) -> None:
        """Add a record, or merge it into what is known of its stream."""
        self._expire(now)
        lifetime_s = min(MAX_LIFETIME_S, max(0, record.left_ms) / 1000)
        stream = self._streams.pop(record.stream, None)
        if stream is None:
            stream = _Stream(records={}, expires_at=now, is_unsent=is_unsent)
        known = stream.records.pop(record.service, record)
        if known.version != record.version:
            record = replace(record, version=None)
        stream.records[record.service] = record
        stream.expires_at = max(stream.expires_at, now + lifetime_s)
        stream.is_unsent &= is_unsent
        self._streams[record.stream] = stream
        while len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)

    def find(self, stream_key: bytes, now: float) -> tuple[StreamRecord, ...]:
        """Return the records of a stream, the latest last."""
        stream = self._streams.get(stream_key)
        if stream is None or stream.expires_at <= now:
            return ()
        return _list_records(stream, now)

    def take_unsent(self, service: str, now: float) -> tuple[StreamRecord, ...]:
        """Return the records of a service that nobody was sent, once."""
        records: list[StreamRecord] = []
        for stream in self._streams.values():
            if stream.is_unsent and service in stream.records:
                stream.is_unsent = False
                if stream.expires_at > now:
                    records += _list_records(stream, now)
        return tuple(records)

    def _expire(self, now: float) -> None:
        """Remove the oldest streams that have expired."""
        while self._streams:
            oldest = next(iter(self._streams.values()))
            if oldest.expires_at > now:
                return
            self._streams.popitem(last=False)


def _list_records(stream: _Stream, now: float) -> tuple[StreamRecord, ...]:
    left_ms = round((stream.expires_at - now) * 1000)
    return tuple(replace(each, left_ms=left_ms) for each in stream.records.values())
