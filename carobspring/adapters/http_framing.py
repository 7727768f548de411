"""Determines the framing of HTTP requests and rejects malformed heads.

The parser of circuits is lenient: it accepts duplicate Content-Length headers
and decodes escapes in header values. These checks run before it.
"""

import re
from dataclasses import dataclass
from typing import Final

LINE_END: Final = b"\r\n"
HEAD_END = b"\r\n\r\n"
#: Bytes that may frame the chunks of a body, and further ones for each byte of
#: its content: a chunk of one byte needs five.
FREE_FRAMING_BYTES: Final = 64 * 1024
MAX_FRAMING_RATIO: Final = 8
#: Bytes of the line before a chunk, with its extensions, and of a trailer.
MAX_CHUNK_LINE_BYTES: Final = 4096
CHUNK_SIZE: Final = re.compile(rb"[0-9A-Fa-f]{1,16}")
MAX_LENGTH_DIGITS = 18
#: Bytes that no server takes in a request line, in a header's name or in its
#: value.
UNUSABLE_IN_LINE: Final = re.compile(rb"[^\x20-\x7e]|#")
HEADER_NAME: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
UNUSABLE_IN_VALUE: Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class FramingError(Exception):
    """A request is rejected: its head or body is malformed or too large.

    Args:
        status: The HTTP status of the response.
        code: A stable error code.
        message: A description of the error for the caller.
    """

    def __init__(self, *, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


@dataclass(frozen=True, kw_only=True)
class Framing:
    """How the body of a request is delimited."""

    #: Length of the body in bytes, or None for a chunked body.
    length: int | None
    #: Whether the caller waits for "100 Continue" before it sends the body.
    expects_continue: bool = False


def parse_framing(head: bytes) -> Framing:
    """Return how the body is delimited, from a head without its blank line.

    Raises:
        FramingError: The head is malformed.
    """
    request_line, *lines = head.split(LINE_END)
    _check_request_line(request_line)
    host_count = 0
    lengths: list[bytes] = []
    codings: list[bytes] = []
    expects_continue = False
    for line in lines:
        name, value = _parse_header_line(line)
        host_count += name == b"host"
        if name == b"content-length":
            lengths.append(value)
        elif name == b"transfer-encoding":
            codings.append(value.lower())
        elif name == b"expect":
            expects_continue = value.lower() == b"100-continue"
    if host_count != 1 and request_line.endswith(b"HTTP/1.1"):
        message = "a request needs one Host header"
        raise FramingError(status=400, code="bad_host", message=message)
    if codings:
        _check_transfer_codings(codings, lengths)
        return Framing(length=None, expects_continue=expects_continue)
    length = _parse_content_length(lengths)
    return Framing(length=length, expects_continue=expects_continue)


def check_length(framing: Framing, max_body_bytes: int) -> None:
    """Reject a body whose announced length is over the limit.

    Raises:
        FramingError: The body is too large.
    """
    length = framing.length or 0
    if length > max_body_bytes:
        message = f"the body is {length} bytes, at most {max_body_bytes} are taken"
        raise FramingError(status=413, code="body_too_large", message=message)


class ChunkedBody:
    """Decodes a chunked body, however its bytes are cut into segments.

    The parser of circuits rejects a chunk whose line end comes later than its
    data.

    Example:
        ``body.feed(data)`` with each segment, until it returns True; then
        ``body.content``, and ``body.rest`` for what follows.
    """

    def __init__(self, *, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._in_trailers = False
        self._fed_bytes = 0
        self.content = bytearray()
        #: Bytes that are not decoded yet, or that follow the complete body.
        self.rest = bytearray()

    def feed(self, data: bytes) -> bool:
        """Decode a segment; return whether the body is complete.

        Raises:
            FramingError: A chunk is malformed or too large.
        """
        self.rest += data
        self._fed_bytes += len(data)
        is_complete = self._decode()
        framing_bytes = self._fed_bytes - len(self.content) - len(self.rest)
        allowed_bytes = FREE_FRAMING_BYTES + MAX_FRAMING_RATIO * len(self.content)
        if not is_complete and framing_bytes > allowed_bytes:
            raise _build_chunk_error()
        return is_complete

    def _decode(self) -> bool:
        while (line_end := self.rest.find(LINE_END)) >= 0:
            data_start = line_end + len(LINE_END)
            if self._in_trailers:
                del self.rest[:data_start]
                if line_end == 0:
                    return True
                continue
            size = self._parse_size(bytes(self.rest[:line_end]))
            if size == 0:
                self._in_trailers = True
                del self.rest[:data_start]
                continue
            data_end = data_start + size
            if len(self.rest) < data_end + len(LINE_END):
                return False
            if not self.rest.startswith(LINE_END, data_end):
                raise _build_chunk_error()
            with memoryview(self.rest) as rest:
                self.content += rest[data_start:data_end]
            del self.rest[: data_end + len(LINE_END)]
        if len(self.rest) > MAX_CHUNK_LINE_BYTES:
            raise _build_chunk_error()
        return False

    def _parse_size(self, line: bytes) -> int:
        digits = line.partition(b";")[0].rstrip(b" \t")
        if len(line) > MAX_CHUNK_LINE_BYTES or not CHUNK_SIZE.fullmatch(digits):
            raise _build_chunk_error()
        size = int(digits, 16)
        if len(self.content) + size > self._max_body_bytes:
            raise build_size_error(self._max_body_bytes)
        return size


def build_size_error(max_body_bytes: int) -> FramingError:
    """Return the error of a body that is too large."""
    message = f"at most {max_body_bytes} bytes are taken"
    return FramingError(status=413, code="body_too_large", message=message)


def _build_chunk_error() -> FramingError:
    message = "a chunk of the body is malformed"
    return FramingError(status=400, code="bad_chunk", message=message)


def _check_request_line(line: bytes) -> None:
    if UNUSABLE_IN_LINE.search(line):
        message = "the request line holds a byte that must be escaped"
        raise FramingError(status=400, code="bad_request", message=message)


def _parse_header_line(line: bytes) -> tuple[bytes, bytes]:
    name, colon, value = line.partition(b":")
    is_usable = colon and HEADER_NAME.fullmatch(name)
    if not is_usable or UNUSABLE_IN_VALUE.search(value):
        raise FramingError(
            status=400, code="bad_header", message="a header line is malformed"
        )
    return name.lower(), value.strip()


def _check_transfer_codings(codings: list[bytes], lengths: list[bytes]) -> None:
    if lengths:
        message = "Content-Length and Transfer-Encoding exclude each other"
        raise FramingError(status=400, code="conflicting_length", message=message)
    if codings != [b"chunked"]:
        message = "the only Transfer-Encoding taken is chunked"
        raise FramingError(status=501, code="transfer_encoding", message=message)


def _parse_content_length(lengths: list[bytes]) -> int:
    if not lengths:
        return 0
    value = lengths[0]
    well_formed = value.isdigit() and len(value) <= MAX_LENGTH_DIGITS
    if len(set(lengths)) > 1 or not well_formed:
        message = "Content-Length must be one whole number of bytes"
        raise FramingError(status=400, code="bad_content_length", message=message)
    return int(value)
