import unittest

import msgspec

from carobspring.adapters.rpc import MessagePackCodec
from carobspring.domain import BackendServer, LoadReport, ServiceKind
from carobspring.protocol import (
    AdmissionReport,
    AdmissionUpdate,
    EngineLoad,
    EntryReport,
    RoutingConfiguration,
    ViewUpdate,
)

SERVER = BackendServer(
    server_id="m1",
    boot=7,
    service="llama",
    kind=ServiceKind.MODEL,
    zone="a",
    host="127.0.0.1",
    port=9000,
)
MESSAGES = {
    "empty": ViewUpdate(),
    "view": ViewUpdate(
        view=3,
        complete=True,
        servers=(SERVER,),
        loads={"m1": LoadReport(sequence=5, draining=True)},
        routing=RoutingConfiguration(version=2, body=b"x"),
        confirmed=False,
    ),
    "required fields": EntryReport(entry_id="e", zone="a"),
    "admission": AdmissionUpdate(loads={"m1": EngineLoad(reading_tokens=5)}),
}


class CodecTests(unittest.TestCase):
    def test_round_trip(self):
        """Each message is decoded as it was encoded."""
        codec = MessagePackCodec()
        for name, message in MESSAGES.items():
            with self.subTest(name):
                data = codec.encode(message, type(message))
                self.assertEqual(codec.decode(data, type(message)), message)

    def test_heartbeats_are_small(self):
        """A message without content takes a byte."""
        codec = MessagePackCodec()
        for message in (ViewUpdate(), AdmissionReport(), AdmissionUpdate()):
            with self.subTest(type(message).__name__):
                self.assertEqual(len(codec.encode(message, type(message))), 1)

    def test_messages_of_the_former_release(self):
        """A message with every field written out is decoded alike."""
        codec = MessagePackCodec()
        for name, message in MESSAGES.items():
            with self.subTest(name):
                data = msgspec.msgpack.encode(message)
                self.assertEqual(codec.decode(data, type(message)), message)
