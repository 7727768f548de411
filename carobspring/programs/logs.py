"""Logging configuration: lines about state changes, as text or JSON."""

import logging
import os
import sys
from collections import deque
from typing import Final

import msgspec

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


#: Size of the lines kept for a slow reader; further lines are dropped.
MAX_BUFFERED_BYTES: Final = 256 * 1024


class NonBlockingOutput:
    """Writes lines to a file descriptor without ever blocking.

    Lines that the descriptor does not accept are buffered, and dropped once
    the buffer is full. After the buffer has been written out, a line gives the
    number of dropped lines.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write, buffer or drop a line."""
        data = text.encode()
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines and not self._buffer:
            notice = (
                b'{"message": "log lines dropped", "count": %d}\n' % self.dropped_lines
            )
            self.dropped_lines = 0
            self._append(notice)
        self._append(data)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            data = self._buffer[0]
            try:
                count = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the error can't be logged either.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= count
            if count < len(data):
                self._buffer[0] = data[count:]
                return
            self._buffer.popleft()

    def _append(self, data: bytes) -> None:
        self._buffer.append(data)
        self._buffered_bytes += len(data)


class JsonFormatter(logging.Formatter):
    """Formats a record with its ``extra`` fields as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record."""
        fields: dict[str, object] = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in STANDARD_FIELDS:
                is_plain = isinstance(value, int | float | str | None)
                fields[name] = value if is_plain else str(value)
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


def configure_logging(*, log_format: str = "text", log_level: str = "INFO") -> None:
    """Configure the format, level and output of the log.

    JSON goes to standard output without ever blocking. Text, for people at a
    terminal, goes to standard error.

    Args:
        log_format: ``text`` or ``json``.
        log_level: The name of the lowest level to log, such as ``INFO``.
    """
    handler: logging.Handler
    if log_format == "json":
        sys.stdout.flush()
        handler = logging.StreamHandler(
            NonBlockingOutput(descriptor=sys.stdout.fileno())
        )
        handler.setFormatter(JsonFormatter())
    else:
        handler = logging.StreamHandler(sys.stderr)
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    logging.basicConfig(level=log_level.upper(), handlers=[handler], force=True)
    # Its lines below WARNING are about single requests, which metrics count.
    logging.getLogger("grpclib").setLevel(logging.WARNING)
