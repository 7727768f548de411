import asyncio
import unittest

from carobspring.agent import CallTable, TableLimits
from carobspring.domain import RunStatus
from carobspring.protocol import CallEnd, CallEvent, ResponseHead, RunCall
from tests.agent.support import TEST_TIMEOUT_S

HEAD = ResponseHead(status=200)
RAN = CallEnd(run_status=RunStatus.RAN)
LOST = CallEnd(run_status=RunStatus.UNKNOWN, reason="lost")


def build_call(call_id):
    return RunCall(
        call_id=call_id,
        boot=1,
        workspace="w",
        service_class="chat",
        method="POST",
        path="/",
    )


async def read_all(reader):
    events = []
    while (event := await reader.read()) is not None:
        events.append(event)
    return events


class ReaderTests(unittest.IsolatedAsyncioTestCase):
    async def build_record(self, **limits):
        table = CallTable(limits=TableLimits(**limits))
        return table, table.add(build_call("c"), 0.0)

    async def test_resume_from_an_offset(self):
        """A reader gets the head and the output from any buffered offset."""
        table, record = await self.build_record()
        record.set_head(HEAD)
        await record.write(b"abcdef")
        table.finish(record, RAN, 1.0)
        cases = {0: b"abcdef", 4: b"ef"}
        for offset, data in cases.items():
            with self.subTest(offset=offset):
                events = await read_all(record.attach(offset, 1.0))
                expected = [
                    CallEvent(head=HEAD),
                    CallEvent(data=data, offset=offset),
                    CallEvent(end=RAN, offset=6),
                ]
                self.assertEqual(events, expected)

    async def test_offset_behind_the_output(self):
        """A reader that has more than the output belongs to another run."""
        table, record = await self.build_record()
        record.set_head(HEAD)
        await record.write(b"abc")
        for ended in (False, True):
            with self.subTest(ended=ended):
                if ended:
                    table.finish(record, RAN, 1.0)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    events = await read_all(record.attach(4, 1.0))
                self.assertEqual(events[-1], CallEvent(end=LOST, offset=4))

    async def test_chunk_size(self):
        """A large response is split into chunks of at most 64 KiB."""
        table, record = await self.build_record()
        await record.write(b"x" * 150_000)
        table.finish(record, RAN, 1.0)
        events = await read_all(record.attach(0, 1.0))
        sizes = [len(event.data) for event in events]
        self.assertEqual(sizes, [65536, 65536, 18928, 0])

    async def test_writer_waits_for_a_slow_reader(self):
        """The buffer stays within its limit and no output is skipped."""
        table, record = await self.build_record(call_bytes=4)
        reader = record.attach(0, 0.0)
        await record.write(b"abcd")
        writing = asyncio.create_task(record.write(b"ef"))
        await asyncio.sleep(0)
        self.assertIs(writing.done(), False)
        self.assertEqual((await reader.read()).data, b"abcdef")
        await writing
        self.assertEqual((record.buffer_start, bytes(record.buffer)), (2, b"cdef"))
        table.finish(record, RAN, 1.0)
        self.assertEqual((await read_all(record.attach(0, 1.0)))[0].end, LOST)

    async def test_heartbeat_without_output(self):
        """A reader with a due heartbeat returns an empty event."""
        _, record = await self.build_record()
        reader = record.attach(0, 0.0)
        reading = asyncio.create_task(reader.read())
        await asyncio.sleep(0)
        reader.heartbeat_due = True
        reader.wakeup.set()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            self.assertEqual(await reading, CallEvent())


class CallTableTests(unittest.IsolatedAsyncioTestCase):
    async def test_eviction(self):
        """The oldest call is evicted first, by age or by total bytes."""
        cases = {
            "kept": ({}, 5.0, {"a", "b"}),
            "age": ({"retention_s": 3}, 5.0, {"b"}),
            "bytes": ({"total_bytes": 5}, 5.0, {"b"}),
        }
        for name, (limits, now, kept) in cases.items():
            with self.subTest(name):
                table = CallTable(limits=TableLimits(**limits))
                for call_id, ended_at in (("a", 1.0), ("b", 4.0)):
                    record = table.add(build_call(call_id), 0.0)
                    await record.write(b"abc")
                    table.finish(record, RAN, ended_at)
                table.evict_ended(now)
                found = {call_id for call_id in "ab" if table.find(call_id)}
                self.assertEqual(found, kept)
                for call_id in {"a", "b"} - kept:
                    self.assertEqual(table.find_past_status(call_id), RunStatus.RAN)
