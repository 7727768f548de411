"""Where a request's head and body end, and which heads are refused.

Circuits' parser reads heads leniently: it takes duplicate lengths and decodes
escapes in header values. These checks come before it.
"""

from dataclasses import dataclass

from circuits.web.parsers import HttpParser
from circuits.web.parsers.http import InvalidChunkSize

HEAD_END = b"\r\n\r\n"
MAX_LENGTH_DIGITS = 18


class FramingError(Exception):
    """A request's head is refused.

    Args:
        status: The HTTP status of the answer.
        code: A stable word for the cause.
        message: What is wrong, for the caller.
    """

    def __init__(self, *, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


@dataclass(frozen=True, kw_only=True)
class Framing:
    """How the body after a head is delimited."""

    #: Bytes of the body, or None when it comes in chunks.
    length: int | None
    #: True when the caller waits for "100 Continue" before the body.
    expects_continue: bool = False


def parse_framing(head: bytes, max_body_bytes: int) -> Framing:
    """Return how the body is delimited, from a head without its blank line.

    Raises:
        FramingError: The head is malformed or announces too large a body.
    """
    first, *lines = head.split(b"\r\n")
    _check_request_line(first)
    hosts = 0
    lengths: list[bytes] = []
    codings: list[bytes] = []
    expects_continue = False
    for line in lines:
        name, value = _split_line(line)
        hosts += name == b"host"
        if name == b"content-length":
            lengths.append(value)
        elif name == b"transfer-encoding":
            codings.append(value.lower())
        elif name == b"expect":
            expects_continue = value.lower() == b"100-continue"
    if hosts != 1 and first.endswith(b"HTTP/1.1"):
        message = "a request needs one Host header"
        raise FramingError(status=400, code="bad_host", message=message)
    if codings:
        _check_codings(codings, lengths)
        return Framing(length=None, expects_continue=expects_continue)
    length = _read_length(lengths)
    if length > max_body_bytes:
        message = f"the body is {length} bytes, at most {max_body_bytes} are taken"
        raise FramingError(status=413, code="body_too_large", message=message)
    return Framing(length=length, expects_continue=expects_continue)


class BoundedChunkParser(HttpParser):
    """Circuits' parser, which refuses a chunk that can't be taken whole."""

    def __init__(self, *, max_body_bytes: int) -> None:
        super().__init__(0, False)
        self._max_body_bytes = max_body_bytes

    def _parse_chunk_size(self, data: bytes) -> tuple[int | None, bytes | None]:
        size, rest = super()._parse_chunk_size(data)
        if size is not None and not 0 <= size <= self._max_body_bytes:
            raise InvalidChunkSize(str(size))
        return size, rest


def _check_request_line(line: bytes) -> None:
    if any(byte < 0x20 or byte == 0x7F for byte in line):
        message = "the request line holds a control character"
        raise FramingError(status=400, code="bad_request", message=message)


def _split_line(line: bytes) -> tuple[bytes, bytes]:
    name, colon, value = line.partition(b":")
    if not colon or not name or name != name.strip() or b"\n" in line or b"\0" in line:
        raise FramingError(
            status=400, code="bad_header", message="a header line is malformed"
        )
    return name.lower(), value.strip()


def _check_codings(codings: list[bytes], lengths: list[bytes]) -> None:
    if lengths:
        message = "Content-Length and Transfer-Encoding exclude each other"
        raise FramingError(status=400, code="conflicting_length", message=message)
    if codings != [b"chunked"]:
        message = "the only Transfer-Encoding taken is chunked"
        raise FramingError(status=501, code="transfer_encoding", message=message)


def _read_length(lengths: list[bytes]) -> int:
    if not lengths:
        return 0
    value = lengths[0]
    well_formed = value.isdigit() and len(value) <= MAX_LENGTH_DIGITS
    if len(set(lengths)) > 1 or not well_formed:
        message = "Content-Length must be one whole number of bytes"
        raise FramingError(status=400, code="bad_content_length", message=message)
    return int(value)
