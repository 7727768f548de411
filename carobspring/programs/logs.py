"""Sets up logging: lines for changes of state, as text or JSON."""

import logging
import sys

import msgspec

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonFormatter(logging.Formatter):
    """Writes one JSON object a line, with the fields given as ``extra``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        fields = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in STANDARD_FIELDS:
                fields[name] = str(value)
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


def configure_logging(*, log_format: str = "text", log_level: str = "INFO") -> None:
    """Send log lines to standard error, in this format, from this level on.

    Args:
        log_format: ``text`` or ``json``.
        log_level: A level's name, such as ``INFO``.
    """
    stream = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        stream.setFormatter(JsonFormatter())
    else:
        stream.setFormatter(logging.Formatter(TEXT_FORMAT))
    logging.basicConfig(level=log_level.upper(), handlers=[stream], force=True)
    # Its lines tell of single requests, which counters do already.
    logging.getLogger("grpclib").setLevel(logging.WARNING)
