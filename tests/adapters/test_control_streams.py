"""Streams to control replicas that the replica ends first."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator, Callable
from typing import Any

from carobspring.adapters import paths
from carobspring.adapters.admission_stream import AdmissionStream
from carobspring.adapters.entry_control_stream import EntryControlStream
from carobspring.adapters.metrics import Metrics
from carobspring.adapters.rpc import (
    RpcService,
    build_server,
    make_bidirectional_method,
    open_channel,
)
from carobspring.domain import Address
from carobspring.protocol import (
    AdmissionReport,
    AdmissionUpdate,
    EntryReport,
    ViewUpdate,
)

HOST = "127.0.0.1"
SECRET = "s"
#: More than the first delay before a stream is opened again.
RECONNECT_TIMEOUT_S = 10.0


class EndingReplica:
    """A replica that ends each stream after one update, as at a stop."""

    def __init__(self, update: Any) -> None:
        self._update = update
        self.stream_count = 0
        self.second_stream_opened = asyncio.Event()

    async def handle(self, stream: Any) -> None:
        await stream.recv_message()
        self.stream_count += 1
        if self.stream_count == 2:
            self.second_stream_opened.set()
        await stream.send_message(self._update)

    @contextlib.asynccontextmanager
    async def serve(
        self, path: str, report: type, update: type
    ) -> AsyncIterator[Address]:
        method = make_bidirectional_method(path, self.handle, report, update)
        server = build_server(services=[RpcService([method])], secret=SECRET)
        await server.start(HOST, 0)
        try:
            port = server._server.sockets[0].getsockname()[1]
            yield Address(host=HOST, port=port)
        finally:
            server.close()
            await server.wait_closed()


def build_opener() -> Callable[[str, int], Any]:
    return lambda host, port: open_channel(host=host, port=port, secret=SECRET)


class PlannedStopTests(unittest.IsolatedAsyncioTestCase):
    async def test_entry_connects_again(self):
        """An entry whose replica ends the stream opens another one."""
        replica = EndingReplica(ViewUpdate())
        async with replica.serve(paths.WATCH_ENTRY, EntryReport, ViewUpdate) as address:
            stream = EntryControlStream(
                addresses=(address,),
                open_channel=build_opener(),
                build_report=lambda: EntryReport(entry_id="e", zone="a"),
                apply_update=lambda update: None,
                connected_gauge=Metrics(labels={}).add_gauge("connected", "-"),
                reconnect_delay_s=0.01,
            )
            task = asyncio.create_task(stream.run())
            try:
                async with asyncio.timeout(RECONNECT_TIMEOUT_S):
                    await replica.second_stream_opened.wait()
                self.assertIs(task.done(), False)
            finally:
                task.cancel()
                await asyncio.wait({task})

    async def test_admission_connects_again(self):
        """An entry whose admission host ends the stream opens another one."""
        replica = EndingReplica(AdmissionUpdate())
        async with replica.serve(
            paths.ADMIT, AdmissionReport, AdmissionUpdate
        ) as address:
            stream = AdmissionStream(
                address=address,
                open_channel=build_opener(),
                on_update=lambda update: None,
            )
            stream.start()
            try:
                async with asyncio.timeout(RECONNECT_TIMEOUT_S):
                    await replica.second_stream_opened.wait()
            finally:
                stream.close()
