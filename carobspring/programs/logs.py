"""Sets up logging: lines for changes of state, as text or JSON."""

import logging
import os
import sys
from collections import deque
from typing import Final

import msgspec

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


#: Bytes of lines that wait for a reader that is behind; more are dropped.
MAX_BUFFERED_BYTES: Final = 256 * 1024


class NonBlockingOutput:
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines that don't fit are kept up to a bound and dropped beyond it; how
    many were dropped is told by a line once there is room again.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or keep or drop it."""
        data = text.encode()
        if self._waiting_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines and not self._waiting:
            note = (
                b'{"message": "log lines dropped", "count": %d}\n' % self.dropped_lines
            )
            self.dropped_lines = 0
            self._keep(note)
        self._keep(data)
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the descriptor takes it."""
        while self._waiting:
            data = self._waiting[0]
            try:
                count = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can read any more: there is nowhere to tell it.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= count
            if count < len(data):
                self._waiting[0] = data[count:]
                return
            self._waiting.popleft()

    def _keep(self, data: bytes) -> None:
        self._waiting.append(data)
        self._waiting_bytes += len(data)


class JsonFormatter(logging.Formatter):
    """Writes one JSON object a line, with the fields given as ``extra``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        fields: dict[str, object] = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in STANDARD_FIELDS:
                plain = isinstance(value, int | float | str | None)
                fields[name] = value if plain else str(value)
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


def configure_logging(*, log_format: str = "text", log_level: str = "INFO") -> None:
    """Send log lines on, in this format, from this level on.

    JSON goes to standard output and never waits for its reader; text, for a
    person at a terminal, goes to standard error.

    Args:
        log_format: ``text`` or ``json``.
        log_level: A level's name, such as ``INFO``.
    """
    stream: logging.Handler
    if log_format == "json":
        sys.stdout.flush()
        stream = logging.StreamHandler(
            NonBlockingOutput(descriptor=sys.stdout.fileno())
        )
        stream.setFormatter(JsonFormatter())
    else:
        stream = logging.StreamHandler(sys.stderr)
        stream.setFormatter(logging.Formatter(TEXT_FORMAT))
    logging.basicConfig(level=log_level.upper(), handlers=[stream], force=True)
    # Its lines tell of single requests, which counters do already.
    logging.getLogger("grpclib").setLevel(logging.WARNING)
