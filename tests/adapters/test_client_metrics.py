import asyncio
import unittest

from carobspring.adapters.byte_budget import ByteBudget, Hold
from carobspring.adapters.client_metrics import ClientMetrics
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.metrics import Metrics
from carobspring.ports import HttpLimits

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"


class ClientMetricsTests(unittest.IsolatedAsyncioTestCase):
    """What an operator sees of a crowd of clients."""

    async def asyncSetUp(self):
        self.may_end = asyncio.Event()
        self.addCleanup(self.may_end.set)
        self.budget = ByteBudget(max_bytes=2000)
        self.server = CircuitsHttpServer(
            host="127.0.0.1",
            port=0,
            handler=self.handle,
            limits=HttpLimits(request_timeout_s=0.1, max_connections=4),
            budget=self.budget,
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        metrics = Metrics(labels={"zone": "a"})
        client_metrics = ClientMetrics(metrics=metrics, budget=self.budget)
        client_metrics.add_server("callers", self.server)
        self.render = client_metrics.wrap(metrics.render_text)

    async def handle(self, request, responder):
        await self.may_end.wait()
        await responder.send(200, (), b"")

    async def open(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        # A writer that is collected closes its connection.
        self.addCleanup(lambda: writer.transport.abort())
        writer.write(data)
        await asyncio.sleep(0.05)
        return reader

    def check(self, *lines):
        text = self.render().decode()
        for line in lines:
            self.assertIn(line, text.splitlines())

    async def test_values(self):
        """Held bytes, bodies, connections and refusals are exported."""
        self.check(
            'carob_http_held_bytes{pool="small",zone="a"} 0',
            'carob_http_max_held_bytes{pool="large",zone="a"} 1000',
            'carob_http_shedding{server="callers",zone="a"} 0',
        )
        await self.open(b"")
        await self.open(HEAD % 1 + b"x")
        full = Hold(
            size=1000, handle_room=int, refuse=self.may_end.set, is_receiving=False
        )
        self.budget.add(full)
        reader = await self.open(HEAD % 600)
        self.check(
            'carob_http_held_bytes{pool="small",zone="a"} 1000',
            'carob_http_waiting_bodies{pool="small",zone="a"} 1',
            'carob_http_connections{server="callers",state="idle",zone="a"} 1',
            'carob_http_connections{server="callers",state="handling",zone="a"} 1',
            'carob_http_connections{server="callers",state="waiting",zone="a"} 1',
        )
        with self.assertLogs("carobspring.adapters.refusals"):
            async with asyncio.timeout(10):
                await reader.read()
        self.check(
            'carob_http_refused_total{reason="no_room",server="callers",zone="a"} 1',
            'carob_http_shedding{server="callers",zone="a"} 1',
            'carob_http_waiting_bodies{pool="small",zone="a"} 0',
        )
        self.assertEqual(self.render(), self.render())

    async def test_connections_over_the_limit(self):
        """Connections that are closed at the limit are counted by reason."""
        with self.assertLogs("carobspring.adapters.refusals"):
            await self.open(b"")
            for _ in range(4):
                await self.open(HEAD % 1 + b"x")
            await self.open(HEAD % 1 + b"x")
        self.check(
            'carob_http_refused_total{reason="evicted",server="callers",zone="a"} 1',
            'carob_http_refused_total{reason="too_many_connections",'
            'server="callers",zone="a"} 1',
        )


if __name__ == "__main__":
    unittest.main()
