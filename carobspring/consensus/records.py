"""Framing of stored records, which distinguishes torn writes from corruption.

A record consists of a header (length, checksum of the length and checksum of
the content), the content, and an end marker, one byte that is not zero. An
interrupted write leaves a record that is truncated by the end of the file, or
that ends in zeros up to the end of the file. Any other mismatch is corruption.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import google_crc32c

from carobspring.consensus.errors import CorruptRecordError

_HEADER = struct.Struct("<III")
_LENGTH = struct.Struct("<I")
_END_MARKER = b"\xa5"


@dataclass(frozen=True, kw_only=True)
class Record:
    """A stored record and the offset of its end in the file."""

    content: bytes
    end: int


def frame_record(content: bytes) -> bytes:
    """Return content framed as a record."""
    length = _LENGTH.pack(len(content))
    header = _HEADER.pack(
        len(content), google_crc32c.value(length), google_crc32c.value(content)
    )
    return header + content + _END_MARKER


def split_records(file: str, stored: bytes) -> Iterator[Record]:
    """Yield the complete records of a file, up to its end or a torn record.

    Raises:
        CorruptRecordError: A record differs from what was written.
    """
    offset = 0
    #: The offset from which there are only zeros.
    data_end = len(stored.rstrip(b"\0"))
    while offset < data_end:
        start = offset + _HEADER.size
        if start > len(stored):
            return
        length, length_checksum, content_checksum = _HEADER.unpack_from(stored, offset)
        if google_crc32c.value(_LENGTH.pack(length)) != length_checksum:
            raise CorruptRecordError(file=file, offset=offset, reason="length")
        end = start + length
        if end >= data_end:
            return
        content = stored[start:end]
        if (
            stored[end : end + 1] != _END_MARKER
            or google_crc32c.value(content) != content_checksum
        ):
            raise CorruptRecordError(file=file, offset=offset, reason="checksum")
        yield Record(content=content, end=end + 1)
        offset = end + 1
