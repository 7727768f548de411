import fcntl
import json
import logging
import os
import unittest

from carobspring.programs.logs import (
    MAX_BUFFERED_BYTES,
    JsonFormatter,
    NonBlockingOutput,
)

LINE = "x" * 999 + "\n"


class NonBlockingOutputTests(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        self.output = NonBlockingOutput(descriptor=writer)

    def read_all(self):
        data = b""
        while True:
            self.output.flush()
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data

    def test_stalled_reader(self):
        """A stalled reader doesn't block writes, and the buffer is bounded."""
        count = 2 * MAX_BUFFERED_BYTES // len(LINE)
        for _ in range(count):
            self.output.write(LINE)
        self.assertLessEqual(self.output._buffered_bytes, MAX_BUFFERED_BYTES)
        dropped = self.output.dropped_lines
        self.assertGreater(dropped, count // 3)
        lines = self.read_all().splitlines()
        self.assertEqual(len(lines), count - dropped)
        self.assertEqual({len(line) for line in lines}, {999})
        self.output.write("next\n")
        notice, next_line = self.read_all().splitlines()
        self.assertEqual(
            json.loads(notice), {"message": "log lines dropped", "count": dropped}
        )
        self.assertEqual(next_line, b"next")

    def test_closed_reader(self):
        """Without a reader, lines are discarded and no write fails."""
        reader, writer = os.pipe()
        os.close(reader)
        output = NonBlockingOutput(descriptor=writer)
        output.write(LINE)
        output.write(LINE)
        self.assertEqual(output._buffered_bytes, 0)
        os.close(writer)


class JsonFormatterTests(unittest.TestCase):
    def test_fields(self):
        """Numbers stay numbers, and other values become text."""
        record = logging.makeLogRecord(
            {"msg": "ended", "levelname": "INFO", "name": "x", "took_ms": 1.5}
        )
        record.__dict__ |= {"server": None, "ranks": (1, 2)}
        fields = json.loads(JsonFormatter().format(record))
        del fields["time"]
        self.assertEqual(
            fields,
            {
                "level": "INFO",
                "logger": "x",
                "message": "ended",
                "took_ms": 1.5,
                "server": None,
                "ranks": "(1, 2)",
            },
        )
