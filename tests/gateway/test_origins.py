import asyncio
import unittest
from dataclasses import replace

import msgspec

from carobspring.adapters.metrics import Metrics
from carobspring.domain import BackendServer, ServiceKind
from carobspring.gateway.metrics import StreamMetrics
from carobspring.gateway.origins import RECORD_COPIES, StreamOrigins
from carobspring.protocol import VersionSighting, ViewUpdate
from carobspring.resumption import (
    PeerDirectory,
    SeveralVersionsError,
    StreamOrigin,
    build_stream_key,
)

LIFETIME_S = 12.0
#: What any link carries in one piece, less the headers.
DATAGRAM_BYTES = 1200
STREAM = build_stream_key("acme", "r1")
BOUND = StreamOrigin(service="svc", versions={"svc": "v1"})
SINGLE = StreamOrigin(versions={"svc": "v1"})


def build_server(name, version):
    return BackendServer(
        server_id=name,
        boot=1,
        service="svc",
        kind=ServiceKind.PLAIN,
        zone="a",
        host="10.0.0.1",
        port=80,
        software_version=version,
    )


class Entries:
    """Entries that send each other messages at once, if they are up."""

    def __init__(self, names, *, versions=("v1", "v2"), up_s=180.0):
        self.now_offset = 0.0
        self.down = set()
        #: Reports to the replica, and for how long it has missed no version.
        self.report_count = 0
        self.cover_ms = 0
        self.is_confirmed = True
        #: Entries that no control replica reaches.
        self.cut_off = set()
        self.sent = []
        self.origins = {}
        addresses = [f"{name}:1" for name in names]
        self.first_update = ViewUpdate(complete=True, entries_added=tuple(addresses))
        for address in addresses:
            self.start(address)
        for each in self.origins.values():
            for number, version in enumerate(versions):
                each.handle_listed(build_server(f"s{number}", version))
        self.pass_time(up_s)

    def __getitem__(self, name):
        return self.origins[f"{name}:1"]

    def start(self, address):
        loop = asyncio.get_running_loop()
        origins = self.origins[address] = StreamOrigins(
            peers=PeerDirectory(own_address=address),
            send=lambda to, message: self.send(address, to, message),
            request_report=lambda: loop.call_soon(self.report, address),
            read_clock=lambda: loop.time() + self.now_offset,
            metrics=StreamMetrics(Metrics()),
        )
        origins.apply_update("replica", self.first_update)

    def report(self, address):
        """Send a report to the replica, which answers at once."""
        self.report_count += 1
        asked_at = self.origins[address].take_question()
        if address not in self.cut_off:
            update = ViewUpdate(
                asked_at=asked_at,
                sightings_cover_ms=self.cover_ms,
                confirmed=self.is_confirmed,
            )
            self.origins[address].apply_update("replica", update)

    def restart(self, name):
        self.start(f"{name}:1")

    def send(self, sender, to, message):
        self.sent.append((sender, to, message))
        if sender in self.down or to in self.down:
            return
        loop = asyncio.get_running_loop()
        loop.call_soon(self.origins[to].handle_message, sender, message)

    def pass_time(self, seconds, *, without_contact=()):
        for _ in range(int(seconds)):
            self.now_offset += 1.0
            for address, each in self.origins.items():
                if address not in without_contact:
                    each.apply_update("replica", ViewUpdate())

    def list_record_receivers(self):
        return [to for _, to, message in self.sent if message.records]

    def begin(self, name, version="v1", stream=STREAM):
        self[name].record_first_event(stream, "svc", version, LIFETIME_S)

    async def find(self, name, stream=STREAM, services=("svc",)):
        return await self[name].find(stream, services)


class LossOfAllEntriesTests(unittest.IsolatedAsyncioTestCase):
    """All entries were killed, and their records are lost."""

    def restart(self, *sightings, cover_s):
        entries = Entries("ab", versions=(), up_s=0.0)
        entries.first_update = replace(
            entries.first_update,
            sightings=sightings,
            sightings_cover_ms=round(cover_s * 1000),
        )
        for name in "ab":
            entries.restart(name)
            entries[name].handle_listed(build_server("s2", "v2"))
        return entries

    async def test_stream_of_the_version_that_left(self):
        """A stream isn't joined however long its caller waited.

        The former version left as the entries were killed. The caller had
        30 s in all and comes back after 17 s.
        """
        former = VersionSighting(service="svc", version="v1", age_ms=0)
        for name, entries in {
            "a replica remembers": self.restart(former, cover_s=600.0),
            "no replica does": self.restart(cover_s=0.0),
        }.items():
            with self.subTest(name):
                entries.pass_time(17.0)
                with self.assertRaises(SeveralVersionsError):
                    await entries.find("a")

    async def test_stream_of_a_sole_version(self):
        """A stream goes on at once if replicas know of one version only."""
        entries = self.restart(cover_s=600.0)
        self.assertEqual(await entries.find("a"), StreamOrigin(versions={"svc": "v2"}))

    async def test_former_version_long_ago(self):
        """A version that left before any stream began refuses none."""
        former = VersionSighting(service="svc", version="v1", age_ms=130_000)
        entries = self.restart(former, cover_s=600.0)
        self.assertEqual(await entries.find("a"), StreamOrigin(versions={"svc": "v2"}))


class RecordTests(unittest.IsolatedAsyncioTestCase):
    async def test_records_are_sent_while_several_versions_serve(self):
        """Three others get a record unless one version is certain."""
        cases = {
            # name: (versions, seconds up, receivers)
            "two versions": (("v1", "v2"), 180.0, RECORD_COPIES),
            "one version": (("v1", "v1"), 180.0, 0),
            "one version, lately started": (("v1",), 5.0, RECORD_COPIES),
        }
        for name, (versions, up_s, count) in cases.items():
            with self.subTest(name):
                entries = Entries("abcdefgh", versions=versions, up_s=up_s)
                entries.begin("a")
                receivers = entries.list_record_receivers()
                self.assertEqual(len(set(receivers)), count)
                self.assertNotIn("a:1", receivers)

    async def test_records_follow_when_a_second_version_comes(self):
        """Streams that began before are recorded as soon as it is listed."""
        entries = Entries("abcd", versions=("v1",))
        streams = [build_stream_key("acme", str(n)) for n in range(100)]
        for stream in streams:
            entries.begin("a", stream=stream)
        self.assertEqual(entries.list_record_receivers(), [])
        entries["a"].handle_listed(build_server("s9", "v2"))
        messages = [message for _, _, message in entries.sent if message.records]
        sizes = [len(msgspec.msgpack.encode(message)) for message in messages]
        self.assertLessEqual(max(sizes), DATAGRAM_BYTES)
        sent = [message.records for message in messages]
        self.assertEqual(
            {record.stream for records in sent for record in records}, set(streams)
        )
        entries["a"].handle_listed(build_server("s8", "v2"))
        self.assertEqual(
            len([m for _, _, m in entries.sent if m.records]), len(sent), "sent again"
        )

    async def test_records_follow_when_contact_is_lost(self):
        """An entry that hears of no new version records what it began."""
        entries = Entries("abcd", versions=("v1",))
        entries.begin("a")
        running = asyncio.create_task(entries["a"].run())
        try:
            await asyncio.sleep(0.6)
            self.assertEqual(entries.list_record_receivers(), [])
            entries.pass_time(3, without_contact=["a:1"])
            await asyncio.sleep(0.6)
            self.assertEqual(len(entries.list_record_receivers()), RECORD_COPIES)
        finally:
            running.cancel()


class FindTests(unittest.IsolatedAsyncioTestCase):
    async def test_any_entry_finds_a_record(self):
        """Each entry learns the version, also when the first is gone."""
        entries = Entries("abcdefgh")
        entries.begin("a")
        entries.down.add("a:1")
        for name in "abcdefgh":
            with self.subTest(name):
                self.assertEqual(await entries.find(name), BOUND)

    async def test_losses_of_records(self):
        """One copy that is left is enough; without any, nothing is guessed."""
        for lost, found in ((2, True), (3, False)):
            with self.subTest(lost=lost):
                entries = Entries("abcdefghijkl")
                entries.begin("a")
                receivers = entries.list_record_receivers()
                asker = next(
                    address[0]
                    for address in entries.origins
                    if address not in ("a:1", *receivers)
                )
                entries.down.update(("a:1", *receivers[:lost]))
                if found:
                    self.assertEqual(await entries.find(asker), BOUND)
                else:
                    with self.assertRaises(SeveralVersionsError):
                        await entries.find(asker)

    async def test_answers_that_come_late(self):
        """Entries are asked again when none has answered."""
        entries = Entries("abcd")
        entries.begin("a")
        others = {"a:1", "c:1", "d:1"}
        entries.down.update(others)
        finding = asyncio.create_task(entries.find("b"))
        await asyncio.sleep(0.1)
        entries.down.clear()
        self.assertEqual(await finding, BOUND)

    async def test_record_that_is_still_under_way(self):
        """A record that comes after the first answers is found."""
        entries = Entries("abcd")
        finding = asyncio.create_task(entries.find("b"))
        await asyncio.sleep(0.02)
        entries.begin("a")
        self.assertEqual(await finding, BOUND)

    async def test_streams_without_record(self):
        """They go on only if certainly no other version began them."""
        cases = {
            # name: (entries, versions, seconds up, entries down, origin)
            "one version": ("abcd", ("v1",), 180.0, "", SINGLE),
            "one version, of a lone entry": ("b", ("v1",), 180.0, "", SINGLE),
            "one version, no other entry answers": (
                "abcd",
                ("v1",),
                180.0,
                "acd",
                None,
            ),
            "one version, lately started": ("abcd", ("v1",), 5.0, "", None),
            "two versions": ("abcd", ("v1", "v2"), 180.0, "", None),
        }
        for name, (names, versions, up_s, down, expected) in cases.items():
            with self.subTest(name):
                entries = Entries(names, versions=versions, up_s=up_s)
                entries.down.update(f"{each}:1" for each in down)
                if expected is None:
                    with self.assertRaises(SeveralVersionsError):
                        await entries.find("b")
                else:
                    self.assertEqual(await entries.find("b"), expected)

    async def test_entry_that_has_lately_started(self):
        """What the others know decides for one that knows nothing yet."""
        for is_release, expected in ((False, SINGLE), (True, None)):
            with self.subTest(is_release=is_release):
                entries = Entries("abcd", versions=("v1",))
                entries.restart("b")
                if is_release:
                    entries["c"].handle_listed(build_server("s9", "v2"))
                if expected is None:
                    with self.assertRaises(SeveralVersionsError):
                        await entries.find("b")
                else:
                    self.assertEqual(await entries.find("b"), expected)

    async def test_entry_that_hears_of_a_release_last(self):
        """An entry with an old list asks those that know more."""
        entries = Entries("abcd", versions=("v1",))
        for name in "acd":
            entries[name].handle_listed(build_server("s9", "v2"))
        entries.begin("a", "v2")
        origin = await entries.find("b")
        self.assertEqual(origin, StreamOrigin(service="svc", versions={"svc": "v2"}))
        with self.assertRaises(SeveralVersionsError):
            await entries.find("b", build_stream_key("acme", "unknown"))

    async def test_foreign_datagrams(self):
        """Answers to no question are passed over."""
        entries = Entries("ab")
        entries.begin("a")
        await entries.find("b")
        for sender, to, message in list(entries.sent):
            entries.origins[to].handle_message(sender, message)


class OutOfStepTests(unittest.IsolatedAsyncioTestCase):
    """Entries that have not heard of the version that began a stream."""

    def release(self, *, cut_off, up_s=180.0, names="abcdef"):
        """Let a version join while a replica doesn't reach some entries."""
        entries = Entries(names, versions=("v1",), up_s=up_s)
        entries.cut_off.update(f"{name}:1" for name in cut_off)
        for name in names:
            if name not in cut_off:
                entries[name].handle_listed(build_server("s9", "v2"))
        return entries

    def heal(self, entries, *names):
        """Let a replica reach entries, which hear of what they missed."""
        for name in names:
            entries.cut_off.discard(f"{name}:1")
            entries[name].handle_listed(build_server("s9", "v2"))

    async def test_only_such_entries_answer(self):
        """Nobody goes on with the former version for certain."""
        cases = {
            # name: (entries out of step, entries down, seconds since contact)
            "alone": ("b", "acdef", 0.0),
            "two": ("bc", "adef", 0.0),
            "two, contact is as old as it may be": ("bc", "adef", 2.0),
            "all that are left of six": ("bcdef", "a", 1.0),
        }
        for name, (cut_off, down, silent_s) in cases.items():
            with self.subTest(name):
                entries = self.release(cut_off=cut_off)
                entries.down.update(f"{each}:1" for each in down)
                entries.now_offset += silent_s
                with self.assertRaises(SeveralVersionsError):
                    await entries.find("b")

    async def test_lone_entry(self):
        """An entry that knows no other one asks a replica as well."""
        entries = self.release(cut_off="b", names="b")
        with self.assertRaises(SeveralVersionsError):
            await entries.find("b")

    async def test_answer_of_an_entry_that_knows_nothing(self):
        """One that has just started makes nothing certain."""
        entries = self.release(cut_off="bc")
        entries.first_update = ViewUpdate(confirmed=False)
        entries.restart("c")
        entries.down.update(f"{each}:1" for each in "adef")
        with self.assertRaises(SeveralVersionsError):
            await entries.find("b")

    async def test_update_that_was_sent_before(self):
        """What a replica said before a stall doesn't count after it."""
        entries = self.release(cut_off="bc")
        entries.down.update(f"{each}:1" for each in "adef")
        entries.now_offset += 3.0
        for update in (ViewUpdate(), ViewUpdate(sightings_cover_ms=600_000)):
            with self.subTest(update):
                entries["b"].apply_update("replica", update)
                entries["c"].apply_update("replica", update)
                with self.assertRaises(SeveralVersionsError):
                    await entries.find("b")

    async def test_answer_to_an_earlier_question(self):
        """A replica must have been asked since the stream was taken up."""
        entries = self.release(cut_off="bc")
        entries.down.update(f"{each}:1" for each in "adef")
        loop = asyncio.get_running_loop()
        earlier = ViewUpdate(asked_at=loop.time() + entries.now_offset - 0.01)
        finding = asyncio.create_task(entries.find("b"))
        await asyncio.sleep(0.02)
        entries["b"].apply_update("replica", earlier)
        with self.assertRaises(SeveralVersionsError):
            await finding

    async def test_one_entry_in_step(self):
        """Its knowledge decides; a stream whose record it has goes on."""
        entries = self.release(cut_off="bcdef")
        with self.assertRaises(SeveralVersionsError):
            await entries.find("b")
        entries.begin("a", "v2")
        origin = await entries.find("b")
        self.assertEqual(origin, StreamOrigin(service="svc", versions={"svc": "v2"}))

    async def test_one_version_goes_on(self):
        """Streams of a sole version go on unless nobody can confirm it."""
        cases = {
            # name: (entries out of step, entries down, origin)
            "others are in step": ("b", "", SINGLE),
            "one other is in step": ("bcde", "a", SINGLE),
            "back in step": ("", "adef", SINGLE),
            "none is in step": ("bc", "adef", None),
        }
        for name, (cut_off, down, expected) in cases.items():
            with self.subTest(name):
                entries = Entries("abcdef", versions=("v1",))
                entries.cut_off.update(f"{each}:1" for each in cut_off)
                entries.down.update(f"{each}:1" for each in down)
                if expected is None:
                    with self.assertRaises(SeveralVersionsError):
                        await entries.find("b")
                else:
                    self.assertEqual(await entries.find("b"), expected)

    async def test_return_after_a_gap(self):
        """A replica's account makes one version certain again at once."""
        entries = Entries("abcdef", versions=("v1",))
        entries.down.update(f"{each}:1" for each in "adef")
        entries.cover_ms = 600_000
        entries.now_offset += 7.0
        self.assertEqual(await entries.find("b"), SINGLE)

    async def test_election(self):
        """Replicas without a leader answer questions, so streams go on."""
        entries = Entries("abcdef", versions=("v1",))
        entries.is_confirmed = False
        entries.cover_ms = 600_000
        entries.now_offset += 7.0
        self.assertEqual(await entries.find("b"), SINGLE)

    async def test_return_with_a_new_version(self):
        """What an entry missed counts as soon as it hears of it."""
        entries = self.release(cut_off="bc")
        entries.down.update(f"{each}:1" for each in "adef")
        finding = asyncio.create_task(entries.find("b"))
        await asyncio.sleep(0.05)
        self.heal(entries, "b", "c")
        with self.assertRaises(SeveralVersionsError):
            await finding

    async def test_questions_are_few(self):
        """Many streams that are taken up at once need few questions."""
        entries = Entries("abcdef", versions=("v1",))
        streams = [build_stream_key("acme", str(n)) for n in range(100)]
        origins = await asyncio.gather(
            *(entries.find("b", stream=each) for each in streams)
        )
        self.assertEqual(origins, [SINGLE] * len(streams))
        self.assertLessEqual(entries.report_count, 5)
