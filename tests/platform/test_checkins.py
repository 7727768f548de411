import json
import unittest
from urllib.parse import urlsplit

from hypothesis import example, given, settings

from carobspring.domain import (
    BackendServer,
    InvalidValueError,
    LoadReport,
    ServiceKind,
)
from carobspring.platform import CheckIn, decode_check_in
from carobspring.platform.checkins import MAX_CHECK_IN_BYTES
from carobspring.protocol import ViewUpdate, decode_soft_state, encode_soft_state
from tests.platform import strategies
from tests.platform.strategies import DEEP_TEXTS

BODY = {
    "service": "svc",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "phase": "unified",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "born": 1787293114537,
}


class CheckInTests(unittest.TestCase):
    def test_ready_engine(self):
        """The boot is the start time; the address and zone are reported."""
        self.assertEqual(
            decode_check_in("i-1", json.dumps(BODY).encode()),
            CheckIn(
                server=BackendServer(
                    server_id="i-1",
                    boot=1787293114537,
                    service="svc",
                    kind=ServiceKind.MODEL,
                    zone="a",
                    host="10.128.0.9",
                    port=8080,
                    slots=64,
                    software_version="v1",
                ),
                load=LoadReport(sequence=4, limit=64, draining=False),
            ),
        )

    def test_draining_plain_server(self):
        """A server without model fields is plain; draining is decoded."""
        body = {k: v for k, v in BODY.items() if k not in ("phase", "models")}
        check_in = decode_check_in(
            "i-1", json.dumps(body | {"state": "draining"}).encode()
        )
        result = (check_in.server.kind, check_in.load.draining)
        self.assertEqual(result, (ServiceKind.PLAIN, True))

    def test_versions(self):
        """A check-in may name no version, but none of another type."""
        unversioned = {k: v for k, v in BODY.items() if k != "version"}
        cases = {
            "named": (BODY, "v1"),
            "empty": ({**BODY, "version": ""}, ""),
            "absent": (unversioned, ""),
        }
        for name, (body, expected) in cases.items():
            with self.subTest(name):
                check_in = decode_check_in("i-1", json.dumps(body).encode())
                self.assertEqual(check_in.server.software_version, expected)

    def test_invalid_check_ins(self):
        """Malformed bodies, and those of other writers, are refused."""
        cases = {
            "not text": b"\xff\xfe",
            "a list": b"[]",
            "no address": json.dumps({**BODY, "address": None}).encode(),
            "a host name as the address": json.dumps(
                {**BODY, "address": "x:1"}
            ).encode(),
            "an unknown state": json.dumps({**BODY, "state": "lost"}).encode(),
            "a start as text": json.dumps({**BODY, "born": "1"}).encode(),
            "a start with a fraction": json.dumps({**BODY, "born": 1.5}).encode(),
            "no start": json.dumps({k: BODY[k] for k in BODY if k != "born"}).encode(),
            "a version as number": json.dumps({**BODY, "version": 2}).encode(),
            "no slots": json.dumps({**BODY, "slots": 0}).encode(),
        }
        for name, body in cases.items():
            with self.subTest(name), self.assertRaises(InvalidValueError):
                decode_check_in("i-1", body)

    def test_values_that_readers_cannot_carry(self):
        """A check-in holds nothing that keeps others from being sent on."""
        cases = {
            "seq": (2**64, 2**53, -1),
            "born": (2**64, 2**63, 10**300, -1),
            "version": ("v" * 257, "v1\x00", "v1\n"),
            "address": (
                "[::1:80",
                "::1]:80",
                "[10.0.0.9]:80",
                "10.0.0.9:" + "9" * 5000,
            ),
        }
        for field, values in cases.items():
            for value in values:
                with self.subTest(field=field, value=str(value)[:20]):
                    with self.assertRaises(InvalidValueError):
                        decode_check_in(
                            "i-1", json.dumps({**BODY, field: value}).encode()
                        )

    def test_size_and_depth(self):
        """A check-in that no server writes costs little, and ends nothing."""
        cases = {
            "too long": json.dumps({**BODY, "x": "y" * MAX_CHECK_IN_BYTES}).encode(),
            **{f"too deep {number}": body for number, body in enumerate(DEEP_TEXTS)},
        }
        for name, body in cases.items():
            with self.subTest(name), self.assertRaises(InvalidValueError):
                decode_check_in("i-1", body)

    @settings(derandomize=True, deadline=None)
    @given(strategies.build_variants(BODY))
    @example(json.dumps({**BODY, "seq": 2**64}).encode())
    @example(json.dumps({**BODY, "born": 10**300}).encode())
    @example(json.dumps({**BODY, "address": "[::1:80"}).encode())
    @example(json.dumps({**BODY, "address": "::1:80"}).encode())
    def test_any_check_in(self, body):
        """A check-in is refused, or can be sent on and used unchanged."""
        try:
            check_in = decode_check_in("i-1", body)
        except InvalidValueError:
            return
        server = check_in.server
        load = {server.server_id: check_in.load}
        update = ViewUpdate(servers=(server,), loads=load)
        data = encode_soft_state(update)
        self.assertEqual(decode_soft_state(data, ViewUpdate), update)
        url = urlsplit(f"http://{server.host}:{server.port}")
        self.assertEqual(url.port, server.port)

    def test_identifiers(self):
        """An identifier is a name."""
        with self.subTest("an identifier with a slash"):
            with self.assertRaisesRegex(InvalidValueError, "server_id"):
                decode_check_in("i/1", json.dumps(BODY).encode())
