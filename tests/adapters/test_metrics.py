import asyncio
import unittest

from carobspring.adapters.memory_plan import MAX_PROBE_CONNECTIONS
from carobspring.adapters.metrics import Metrics, serve_metrics
from standins.deployment import open_client


class ServeMetricsTests(unittest.IsolatedAsyncioTestCase):
    async def test_text_at_any_path(self):
        """Counters and histograms are served in the Prometheus text format."""
        metrics = Metrics(labels={"zone": "a"})
        metrics.add_counter("carob_x_total", "Things.").inc({"reason": "r"})
        metrics.add_histogram("carob_x_seconds", "Times.").observe({}, 0.02)
        server = await serve_metrics(
            host="127.0.0.1", port=0, render=metrics.render_text
        )
        self.addAsyncCleanup(server.close)
        async with open_client(10) as client:
            url = f"http://127.0.0.1:{server.port}/metrics"
            async with client.get(url) as response:
                self.assertEqual(response.status, 200)
                text = await response.text()
        self.assertIn('carob_x_total{reason="r",zone="a"} 1', text)
        self.assertIn('carob_x_seconds_bucket{le="0.025",zone="a"} 1', text)

    async def test_bound_of_connections(self):
        """Connections to the metrics don't take the callers' descriptors."""
        metrics = Metrics(labels={"zone": "a"})
        server = await serve_metrics(
            host="127.0.0.1", port=0, render=metrics.render_text
        )
        self.addAsyncCleanup(server.close)
        writers = []
        for _ in range(MAX_PROBE_CONNECTIONS + 20):
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            self.addCleanup(writer.close)
            writers.append(writer)
            writer.write(b"GET / HTTP/1.1\r\n")
        await asyncio.sleep(0.2)
        count = len(server.list_connection_states())
        self.assertLessEqual(count, MAX_PROBE_CONNECTIONS)
