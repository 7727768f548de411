import unittest
from dataclasses import fields, replace

import msgspec
from hypothesis import given, settings, strategies

from carobspring.domain import BackendServer, LoadReport, ServiceKind
from carobspring.membership import EntryGossip, GossipMessage, MemberGossip
from carobspring.protocol import (
    DECODE_ERRORS,
    AgentReport,
    EntryReport,
    StreamMessage,
    Strike,
    ViewUpdate,
    decode_soft_state,
    encode_soft_state,
)

SERVER = BackendServer(
    server_id="s1",
    boot=1,
    service="svc",
    kind=ServiceKind.MODEL,
    zone="a",
    host="10.0.0.1",
    port=80,
)
OTHER = replace(SERVER, server_id="s2", host="10.0.0.2")
STRIKE = Strike(workspace="w", request_hash="h", server_id="s1", boot=1, at_ms=1)
MEMBER = MemberGossip(server_id="s1", boot=1, sequence=1, age_ms=0, server=SERVER)
ENTRY = EntryGossip(report=EntryReport(entry_id="e", zone="a"), age_ms=0)

#: Whatever MessagePack can carry.
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text("ab-\x00\xe9", max_size=20)
    | strategies.binary(max_size=20),
    lambda each: strategies.lists(each, max_size=3)
    | strategies.dictionaries(strategies.text("ab", max_size=10), each, max_size=3),
    max_leaves=10,
)


MESSAGE_TYPES = (ViewUpdate, GossipMessage, EntryReport, StreamMessage)


def build_contents(message_type):
    """Return a strategy of a message type with any values in its fields."""
    names = [each.name for each in fields(message_type)]
    contents = strategies.dictionaries(strategies.sampled_from(names), VALUES)
    return strategies.tuples(strategies.just(message_type), contents)


def break_fields(value, **changes):
    """Return a message as a mapping, with other values in some fields."""
    return msgspec.to_builtins(value, builtin_types=(bytes,)) | changes


class EncodingTests(unittest.TestCase):
    def test_items_that_cannot_be_encoded(self):
        """An item that can't be encoded is left out; the others arrive."""
        too_large = replace(STRIKE, at_ms=2**64)
        cases = {
            "gossip": (
                GossipMessage(
                    members=(replace(MEMBER, sequence=2**64), MEMBER), view=3
                ),
                GossipMessage(members=(MEMBER,), view=3),
            ),
            "nested": (
                GossipMessage(
                    entries=(
                        replace(
                            ENTRY, report=replace(ENTRY.report, strikes=(too_large,))
                        ),
                    )
                ),
                GossipMessage(entries=(ENTRY,)),
            ),
            "view": (
                ViewUpdate(
                    servers=(OTHER,),
                    loads={"s1": LoadReport(running=2**64), "s2": LoadReport()},
                ),
                ViewUpdate(servers=(OTHER,), loads={"s2": LoadReport()}),
            ),
            "report": (
                EntryReport(entry_id="e", zone="a", strikes=(too_large, STRIKE)),
                EntryReport(entry_id="e", zone="a", strikes=(STRIKE,)),
            ),
        }
        for name, (message, expected) in cases.items():
            with self.subTest(name):
                data = encode_soft_state(message)
                self.assertEqual(decode_soft_state(data, type(message)), expected)


class DecodingTests(unittest.TestCase):
    def test_items_that_the_reader_rejects(self):
        """An item that can't be read is left out; the others are applied."""
        cases = {
            "a server of another release": (
                {"servers": [break_fields(SERVER, host="x["), break_fields(OTHER)]},
                ViewUpdate(servers=(OTHER,)),
            ),
            "a load of another type": (
                {"loads": {"s1": 3, "s2": break_fields(LoadReport())}},
                ViewUpdate(loads={"s2": LoadReport()}),
            ),
            "a member": (
                {"members": [break_fields(MEMBER, boot="x"), break_fields(MEMBER)]},
                GossipMessage(members=(MEMBER,)),
            ),
            "a strike within a report": (
                {
                    "entries": [
                        break_fields(
                            ENTRY, report={"entry_id": "e", "zone": "a", "strikes": [1]}
                        )
                    ]
                },
                GossipMessage(entries=(ENTRY,)),
            ),
        }
        for name, (content, expected) in cases.items():
            with self.subTest(name):
                data = msgspec.msgpack.encode(content)
                self.assertEqual(decode_soft_state(data, type(expected)), expected)

    def test_fields_without_items(self):
        """A message that lacks a field it needs is refused as a whole."""
        cases = {
            "required field": (EntryReport, {"zone": "a"}),
            "single value": (AgentReport, {"server": break_fields(SERVER, port=0)}),
            "no mapping": (ViewUpdate, [1]),
        }
        for name, (message_type, content) in cases.items():
            with self.subTest(name), self.assertRaises(DECODE_ERRORS):
                decode_soft_state(msgspec.msgpack.encode(content), message_type)

    def test_depth(self):
        """Data nested without end is refused, in fields of any name."""
        for name in (b"\xa7servers", b"\xa7unknown"):
            with self.subTest(name=name), self.assertRaises(DECODE_ERRORS):
                decode_soft_state(b"\x81" + name + b"\x91" * 100_000, ViewUpdate)

    @settings(derandomize=True, deadline=None)
    @given(strategies.sampled_from(MESSAGE_TYPES).flatmap(build_contents))
    def test_any_content(self, typed_content):
        """Any content gives a typed error, or a message that is sent again."""
        message_type, content = typed_content
        try:
            message = decode_soft_state(msgspec.msgpack.encode(content), message_type)
        except DECODE_ERRORS:
            return
        encoded = encode_soft_state(message)
        again = decode_soft_state(encoded, message_type)
        self.assertEqual(encode_soft_state(again), encoded)
