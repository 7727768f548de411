import unittest

from carobspring.adapters.http_framing import (
    FREE_FRAMING_BYTES,
    MAX_CHUNK_LINE_BYTES,
    ChunkedBody,
    FramingError,
)


class ChunkedBodyTests(unittest.TestCase):
    """The bytes around the chunks of a body."""

    def feed(self, segment, count):
        body = ChunkedBody(max_body_bytes=1024 * 1024)
        for _ in range(count):
            self.assertIs(body.feed(segment), False)
        return body

    def test_framing_over_its_limit(self):
        """Long extensions are refused wherever segments end.

        A segment that ends inside a chunk must not skip the check.
        """
        extension = b"x" * (MAX_CHUNK_LINE_BYTES - 10)
        count = FREE_FRAMING_BYTES // len(extension) + 10
        line = b"1;" + extension + b"\r\n"
        with self.subTest("after a chunk"), self.assertRaises(FramingError):
            self.feed(line + b"a\r\n", count)
        with self.subTest("inside a chunk"), self.assertRaises(FramingError):
            body = self.feed(line, 1)
            for _ in range(count):
                body.feed(b"a\r\n" + line)

    def test_smallest_chunks(self):
        """A body in chunks of one byte is taken."""
        body = self.feed(b"1\r\na\r\n", 100_000)
        self.assertEqual(len(body.content), 100_000)


if __name__ == "__main__":
    unittest.main()
