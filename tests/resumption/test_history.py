import unittest

from carobspring.domain import BackendServer, ServiceKind
from carobspring.protocol import ServiceVersions, VersionSighting
from carobspring.resumption import VersionHistory

LIFETIME_S = 12.0
UNKNOWN = ServiceVersions()
MIXED = ServiceVersions(is_mixed=True)


def build_single(version):
    return ServiceVersions(is_single=True, version=version)


def build_server(name, version, *, boot=1, service="svc"):
    return BackendServer(
        server_id=name,
        boot=boot,
        service=service,
        kind=ServiceKind.PLAIN,
        zone="a",
        host="10.0.0.1",
        port=80,
        software_version=version,
    )


class VersionHistoryTests(unittest.TestCase):
    def describe(self, changes, now, *, contacts=None):
        """Apply changes of servers in order of time, with contact each second.

        A change is (time, name, version); without a version the server is
        removed.
        """
        history = VersionHistory()
        if contacts is None:
            contacts = range(int(now) + 1)
        events = [(at, 0, ()) for at in contacts]
        events += [(at, 1, (name, version)) for at, name, version in changes]
        for at, _, change in sorted(events):
            if not change:
                history.record_contact(float(at))
            elif change[1] is None:
                history.record_removed(change[0], float(at))
            else:
                history.record_listed(build_server(*change), float(at))
        return history.describe("svc", float(now), stream_lifetime_s=LIFETIME_S)

    def test_descriptions(self):
        """One version is certain after as long as a stream may last."""
        one, two = (0, "s1", "v1"), (0, "s2", "v1")
        cases = {
            # name: (changes, time, description)
            "no server": ((), 20, UNKNOWN),
            "one version, lately started": ((one, two), 11, UNKNOWN),
            "one version": ((one, two), 12, build_single("v1")),
            "no version is named": (((0, "s1", ""),), 12, build_single("")),
            "another one joins": ((one, (20, "s2", "v2")), 20, MIXED),
            "both for long": ((one, (0, "s2", "v2")), 90, MIXED),
            "the former leaves": (
                (one, (5, "s2", "v2"), (20, "s1", None)),
                31,
                MIXED,
            ),
            "the former has left": (
                (one, (5, "s2", "v2"), (20, "s1", None)),
                32,
                build_single("v2"),
            ),
            "one of two leaves": (
                (one, two, (20, "s1", None)),
                20,
                build_single("v1"),
            ),
            "all leave": ((one, (20, "s1", None)), 20, build_single("v1")),
            "all leave, others come": (
                (one, (20, "s1", None), (25, "s2", "v2")),
                30,
                MIXED,
            ),
            "all leave, the same come": (
                (one, (20, "s1", None), (25, "s2", "v1")),
                30,
                build_single("v1"),
            ),
            "a start with another version": ((one, (20, "s1", "v2")), 25, MIXED),
            "another service": ((one, (20, "x", "v2")), 25, MIXED),
        }
        for name, (changes, now, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.describe(changes, now), expected)

    def test_contact(self):
        """Without contact, nothing is certain; after a gap, not at once."""
        servers = ((0, "s1", "v1"),)
        cases = {
            # name: (times of contact, time, description)
            "contact is lost": (range(21), 23, UNKNOWN),
            "contact is as old as it may be": (range(21), 22, build_single("v1")),
            "after a gap": ([*range(10), *range(15, 40)], 26, UNKNOWN),
            "long after a gap": ([*range(10), *range(15, 40)], 27, build_single("v1")),
            "never": ((), 30, UNKNOWN),
        }
        for name, (contacts, now, expected) in cases.items():
            with self.subTest(name):
                description = self.describe(servers, now, contacts=contacts)
                self.assertEqual(description, expected)

    def test_account_of_a_replica(self):
        """An entry that has just started knows what a replica remembers.

        A sighting is (version, seconds since its last server was listed).
        """
        cases = {
            # name: (seconds that the replica covers, sightings, description)
            "no account": (0.0, (), UNKNOWN),
            "too short": (11.0, (), UNKNOWN),
            "one version": (12.0, (), build_single("v2")),
            "the former has just left": (90.0, (("v1", 0),), MIXED),
            "it left as long ago as a stream lasts": (
                90.0,
                (("v1", 12),),
                build_single("v2"),
            ),
            "it left a little later": (90.0, (("v1", 11),), MIXED),
            "three versions": (90.0, (("v0", 5), ("v1", 3)), MIXED),
            "the same version left": (90.0, (("v2", 0),), build_single("v2")),
        }
        for name, (cover_s, versions, expected) in cases.items():
            with self.subTest(name):
                history = VersionHistory()
                history.record_listed(build_server("s2", "v2"), 50.0)
                sightings = (
                    VersionSighting(service="svc", version=each, age_ms=age_s * 1000)
                    for each, age_s in versions
                )
                history.record_sightings(sightings, 50.0)
                history.record_contact(50.0, cover_s=cover_s)
                description = history.describe(
                    "svc", 50.0, stream_lifetime_s=LIFETIME_S
                )
                self.assertEqual(description, expected)

    def test_account_before_a_gap(self):
        """What a replica knew before a gap says nothing of the gap."""
        history = VersionHistory()
        history.record_listed(build_server("s1", "v1"), 50.0)
        history.record_contact(50.0, cover_s=90.0)
        history.record_contact(60.0)
        description = history.describe("svc", 60.0, stream_lifetime_s=LIFETIME_S)
        self.assertEqual(description, UNKNOWN)

    def test_services_are_apart(self):
        """Another service's versions tell nothing."""
        history = VersionHistory()
        for at in range(21):
            history.record_contact(float(at))
        history.record_listed(build_server("s1", "v1"), 0.0)
        history.record_listed(build_server("s2", "v2", service="other"), 20.0)
        description = history.describe("svc", 20.0, stream_lifetime_s=LIFETIME_S)
        self.assertEqual(description, build_single("v1"))
        self.assertEqual(history.record_removed("s2", 20.0), "other")
        self.assertIsNone(history.record_removed("s2", 20.0))
