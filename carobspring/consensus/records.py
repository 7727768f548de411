"""Framing of stored records: a torn end is told from damage.

A record is a header of length, checksum of the length and checksum of the
content, then the content, then one byte that is not zero. A write that was
interrupted leaves a record that the file's end cuts off, or whose end is
zeros up to the end of the file. Anything else that does not fit is damage.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import google_crc32c

from carobspring.consensus.errors import CorruptRecordError

_HEADER = struct.Struct("<III")
_LENGTH = struct.Struct("<I")
_END = b"\xa5"


@dataclass(frozen=True, kw_only=True)
class Record:
    """A stored record and where it ends in its file."""

    content: bytes
    end: int


def frame_record(content: bytes) -> bytes:
    """Return the stored form of a record."""
    length = _LENGTH.pack(len(content))
    header = _HEADER.pack(
        len(content), google_crc32c.value(length), google_crc32c.value(content)
    )
    return header + content + _END


def split_records(file: str, stored: bytes) -> Iterator[Record]:
    """Give the whole records of a file, up to its end or a torn record.

    Raises:
        CorruptRecordError: A record was changed after it was written.
    """
    offset = 0
    #: Where nothing but zeros follows.
    blank = len(stored.rstrip(b"\0"))
    while offset < blank:
        start = offset + _HEADER.size
        if start > len(stored):
            return
        length, length_check, check = _HEADER.unpack_from(stored, offset)
        if google_crc32c.value(_LENGTH.pack(length)) != length_check:
            raise CorruptRecordError(file=file, offset=offset, reason="length")
        end = start + length
        if end >= blank:
            return
        content = stored[start:end]
        if stored[end : end + 1] != _END or google_crc32c.value(content) != check:
            raise CorruptRecordError(file=file, offset=offset, reason="checksum")
        yield Record(content=content, end=end + 1)
        offset = end + 1
