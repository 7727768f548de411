import unittest

from carobspring.protocol import ServiceVersions, StreamRecord
from carobspring.resumption import SeveralVersionsError, StreamOrigin, find_origin

SINGLE = {"svc": ServiceVersions(is_single=True, version="v1")}
SINGLE_OTHER = {"svc": ServiceVersions(is_single=True, version="v2")}
MIXED = {"svc": ServiceVersions(is_mixed=True)}
UNSURE = {"svc": ServiceVersions()}


def build_record(version, service="svc"):
    return StreamRecord(stream=b"s", service=service, version=version, left_ms=1)


class FindOriginTests(unittest.TestCase):
    def test_known_origins(self):
        """A record binds a stream, or a service that had one version."""
        cases = {
            # name: (services, records, opinions, origin)
            "a record": (
                ["svc"],
                [build_record("v2")],
                [MIXED],
                StreamOrigin(service="svc", versions={"svc": "v2"}),
            ),
            "the same record twice": (
                ["svc"],
                [build_record("v2"), build_record("v2")],
                [],
                StreamOrigin(service="svc", versions={"svc": "v2"}),
            ),
            "a record of unnamed versions": (
                ["svc"],
                [build_record("")],
                [],
                StreamOrigin(service="svc", versions={"svc": ""}),
            ),
            "one of the route's services": (
                ["svc", "other"],
                [build_record("v3", "other")],
                [],
                StreamOrigin(service="other", versions={"other": "v3"}),
            ),
            "both of the route's services": (
                ["svc", "other"],
                [build_record("v1"), build_record("v3", "other")],
                [],
                StreamOrigin(service="other", versions={"svc": "v1", "other": "v3"}),
            ),
            "a service that the route has left": (
                ["svc"],
                [build_record("v3", "former")],
                [MIXED],
                StreamOrigin(),
            ),
            "a service that the route has left, and its own": (
                ["svc"],
                [build_record("v1"), build_record("v3", "former")],
                [MIXED],
                StreamOrigin(service="svc", versions={"svc": "v1"}),
            ),
            "one version": (
                ["svc"],
                [],
                [SINGLE],
                StreamOrigin(versions={"svc": "v1"}),
            ),
            "one version by another's knowledge": (
                ["svc"],
                [],
                [UNSURE, SINGLE, {}],
                StreamOrigin(versions={"svc": "v1"}),
            ),
        }
        for name, (services, records, opinions, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(find_origin(services, records, opinions), expected)

    def test_unknown_origins(self):
        """Nothing is guessed where several versions are possible."""
        cases = {
            # name: (services, records, opinions)
            "several versions": (["svc"], [], [MIXED]),
            "others know of several": (["svc"], [], [SINGLE, MIXED]),
            "others know of another one": (["svc"], [], [SINGLE, SINGLE_OTHER]),
            "nobody is certain": (["svc"], [], [UNSURE, UNSURE]),
            "nobody knows the service": (["svc"], [], [{}]),
            "one of two services is uncertain": (["svc", "other"], [], [SINGLE]),
            "a record of several versions": (["svc"], [build_record(None)], [SINGLE]),
            "different records": (
                ["svc"],
                [build_record("v1"), build_record("v2")],
                [SINGLE],
            ),
        }
        for name, (services, records, opinions) in cases.items():
            with self.subTest(name), self.assertRaises(SeveralVersionsError):
                find_origin(services, records, opinions)
