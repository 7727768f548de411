import copy
import json
import unittest

import msgspec
from hypothesis import example, given, settings

from carobspring.domain.routes import (
    CallerLimits,
    EngineTraits,
    KeyOwner,
    Repeatability,
    Route,
    RoutedService,
    RoutingTable,
    WeightedService,
)
from carobspring.platform import (
    ConfigurationError,
    decode_routing_table,
    decode_version,
)
from tests.platform import strategies
from tests.platform.strategies import DEEP_TEXTS

BODY = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "path_prefix": "/a/",
            "route_type": "streaming",
            "timeout_ms": 4000,
            "slo_ms": 1200,
            "priority": 2,
            "backends": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "attempts": 2,
            "public": False,
            "affinity": True,
            "resumable": True,
            "itl_target_ms": 600,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path_prefix": "/b/",
            "route_type": "non_idempotent",
            "timeout_ms": 1000,
            "service": "s2",
            "attempts": 1,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "s1",
            "health_path": "/healthz",
            "max_conns": 370,
            "engine": {"slots": 64, "kv_capacity": 336890, "stride": 6},
        },
        {"name": "s2", "health_path": "/healthz", "max_conns": 110},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
}


def replace(path, value):
    """Return the body with one value replaced, at a path of keys."""
    body = copy.deepcopy(BODY)
    container = body
    for step in path[:-1]:
        container = container[step]
    container[path[-1]] = value
    return json.dumps(body).encode()


class ConfigurationTests(unittest.TestCase):
    def test_all_fields(self):
        """Every field is decoded into the project's types."""
        self.assertEqual(
            decode_routing_table(json.dumps(BODY).encode()),
            RoutingTable(
                version=7,
                routes=(
                    Route(
                        name="r1",
                        host="h.example",
                        path_prefix="/a/",
                        repeatability=Repeatability.RESUMABLE_STREAM,
                        weighted_services=(
                            WeightedService(service="s1", weight=90),
                            WeightedService(service="s2", weight=10),
                        ),
                        timeout_ms=4000,
                        latency_target_ms=1200,
                        event_gap_target_ms=600,
                        priority=2,
                        max_attempts=2,
                        prefix_affinity=True,
                    ),
                    Route(
                        name="r2",
                        host="h.example",
                        path_prefix="/b/",
                        repeatability=Repeatability.ONCE,
                        weighted_services=(WeightedService(service="s2", weight=100),),
                        timeout_ms=1000,
                        public=True,
                    ),
                ),
                services={
                    "s1": RoutedService(
                        name="s1",
                        health_path="/healthz",
                        max_connections=370,
                        engine=EngineTraits(
                            slots=64, kv_capacity_tokens=336890, tokens_per_event=6
                        ),
                    ),
                    "s2": RoutedService(
                        name="s2", health_path="/healthz", max_connections=110
                    ),
                },
                owners=(KeyOwner(name="t1", keys=("k1", "k2"), priority=1),),
                limits=CallerLimits(
                    max_header_bytes=16384,
                    max_body_bytes=4194304,
                    header_timeout_s=3.0,
                    idle_timeout_s=15.0,
                ),
            ),
        )

    def test_repeatability(self):
        """A route's type sets its repeatability; unknown types run once."""
        cases = {
            ("idempotent", False): Repeatability.IDEMPOTENT,
            ("idempotent", True): Repeatability.IDEMPOTENT,
            ("non_idempotent", True): Repeatability.ONCE,
            ("streaming", True): Repeatability.RESUMABLE_STREAM,
            ("streaming", False): Repeatability.STREAM_ONCE,
            ("to come", True): Repeatability.ONCE,
        }
        for (kind, resumable), expected in cases.items():
            with self.subTest(kind=kind, resumable=resumable):
                body = copy.deepcopy(BODY)
                body["routes"][0] |= {"route_type": kind, "resumable": resumable}
                table = decode_routing_table(json.dumps(body).encode())
                self.assertIs(table.routes[0].repeatability, expected)

    def test_invalid(self):
        """An invalid configuration is refused with a reason."""
        cases = {
            "truncated": (json.dumps(BODY).encode()[:-9], "truncated|malformed|JSON"),
            "an unknown service": (
                replace(["routes", 0, "backends", 1, "service"], "s9"),
                "s9",
            ),
            "the same host and prefix twice": (
                replace(["routes", 1, "path_prefix"], "/a/"),
                "one route for each",
            ),
            "weights of zero": (
                replace(
                    ["routes", 0, "backends"],
                    [{"service": "s1", "weight": 0}, {"service": "s2", "weight": 0}],
                ),
                "weight",
            ),
            "no timeout": (replace(["routes", 0, "timeout_ms"], 0), "timeout"),
            "a key of two workspaces": (
                replace(
                    ["tenants"],
                    [
                        {"name": "t1", "api_keys": ["k1"]},
                        {"name": "t2", "api_keys": ["k1"]},
                    ],
                ),
                "one workspace",
            ),
            "no service": (replace(["routes", 1, "service"], None), "weight"),
            "a negative version": (replace(["version"], -1), "version"),
            "a version that is text": (replace(["version"], "7"), "version"),
        }
        for name, (body, reason) in cases.items():
            with self.subTest(name):
                with self.assertRaisesRegex(ConfigurationError, reason):
                    decode_routing_table(body)

    def test_version(self):
        """The version can be decoded without the rest."""
        self.assertEqual(decode_version(b'{"version": 9, "routes": 1}'), 9)
        with self.assertRaises(ConfigurationError):
            decode_version(b"[]")


class OtherContentTests(unittest.TestCase):
    """Contents that no operator's tool writes."""

    def check(self, body):
        """Check that a body is refused, or that the log can carry it."""
        try:
            table = decode_routing_table(body)
        except ConfigurationError:
            return
        self.assertEqual(decode_version(body), table.version)
        msgspec.msgpack.encode(table.version)

    def test_depth(self):
        """A configuration nested without end is invalid."""
        for body in DEEP_TEXTS:
            with self.subTest(body=body[:10]), self.assertRaises(ConfigurationError):
                decode_routing_table(body)

    @settings(derandomize=True, deadline=None)
    @given(strategies.build_variants(BODY))
    @example(json.dumps({**BODY, "version": 2**64}).encode())
    def test_any_field(self, body):
        """Any field may have any value."""
        self.check(body)

    @settings(derandomize=True, deadline=None)
    @given(strategies.build_variants(BODY["routes"][0]))
    def test_any_route(self, route):
        """The same for the fields of a route."""
        self.check(json.dumps({**BODY, "routes": [json.loads(route)]}).encode())
