import asyncio
import gc
import unittest
import weakref

from carobspring.gateway.exchange import Exchange
from tests.gateway.fakes import (
    RESPONSE_HEADERS,
    STREAM_HEADERS,
    FakeResponder,
    GatewayHarness,
    build_event,
    build_incomplete_error,
)


class EndedRequestTests(unittest.IsolatedAsyncioTestCase):
    """Requests that have ended, which nothing should keep in memory."""

    async def test_freed_at_once(self):
        """A request is freed at its end, not when garbage is collected.

        Its body no longer counts in the budget by then.
        """
        error = build_incomplete_error()
        scripts = {
            "a response": (200, RESPONSE_HEADERS, [b"answer"]),
            "a stream": (200, STREAM_HEADERS, [build_event(1)]),
            "a rejection": (400, (), [b"head"]),
            "a broken response": (
                200,
                RESPONSE_HEADERS,
                [b"an", error],
            ),
        }
        for name, script in scripts.items():
            with self.subTest(name):
                gateway = GatewayHarness([script])
                exchanges = []
                run = Exchange.run

                async def record(exchange, run=run, exchanges=exchanges):
                    exchanges.append(weakref.ref(exchange))
                    return await run(exchange)

                gc.collect()
                gc.disable()
                self.addCleanup(gc.enable)
                Exchange.run = record
                try:
                    await gateway.call(responder=FakeResponder())
                finally:
                    Exchange.run = run
                # Callbacks of tasks that have ended.
                await asyncio.sleep(0)
                # The fake server keeps what it got, and its error the frames.
                gateway.clients["s1"].requests.clear()
                error.__traceback__ = None
                self.assertEqual(len(exchanges), 1)
                self.assertIsNone(exchanges[0]())


if __name__ == "__main__":
    unittest.main()
