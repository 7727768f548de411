import unittest
from dataclasses import replace

from carobspring.domain import LoadReport
from carobspring.membership import MembershipTable, VersionLog
from carobspring.membership.versions import MAX_SIGHTINGS, RETENTION_S
from carobspring.protocol import AgentReport, VersionSighting
from tests.control.harness import make_server

V1 = VersionSighting(service="svc", version="v1", age_ms=0)


class VersionLogTests(unittest.TestCase):
    def test_retention(self):
        """A version is remembered for longer than any stream lasts."""
        log = VersionLog(known_since=0.0)
        log.record("svc", "v1", 5.0)
        self.assertEqual(log.list_sightings(5.0), (V1,))
        self.assertEqual(log.list_sightings(5.0 + RETENTION_S), ())

    def test_merge(self):
        """The latest time counts, whoever has it."""
        log = VersionLog(known_since=0.0)
        log.record("svc", "v1", 5.0)
        log.merge([replace_age(V1, 8_000)], 10.0)
        self.assertEqual(log.list_sightings(10.0), (replace_age(V1, 5_000),))
        log.merge([replace_age(V1, 1_000)], 10.0)
        self.assertEqual(log.list_sightings(10.0), (replace_age(V1, 1_000),))

    def test_eviction(self):
        """A log that forgot a version does not claim to know it."""
        log = VersionLog(known_since=0.0)
        for number in range(MAX_SIGHTINGS + 1):
            log.record("svc", str(number), float(number + 1))
        self.assertEqual(log.known_since, 1.0)

    def test_cover(self):
        """An account is as old as the log, and as what is remembered."""
        cases = {
            "just started": (50.0, 1),
            "for a while": (20.0, 30_000),
            "since the first start": (float("-inf"), round(RETENTION_S * 1000)),
        }
        for name, (known_since, expected) in cases.items():
            with self.subTest(name):
                log = VersionLog(known_since=known_since)
                self.assertEqual(log.compute_cover_ms(50.0), expected)

    def test_members(self):
        """Servers that leave, expire or start again differently are logged."""
        cases = {
            "leaves": (AgentReport(server=make_server("s"), leaving=True), 1.0),
            "another version": (
                AgentReport(server=make_server("s", boot=8, software_version="v2")),
                1.0,
            ),
            "lease": (None, 10.0),
        }
        for name, (report, at) in cases.items():
            with self.subTest(name):
                table = MembershipTable(now=0.0)
                server = make_server("s", software_version="v1")
                table.apply_report(AgentReport(server=server), 0.0)
                if report is not None:
                    load = LoadReport(sequence=1)
                    table.apply_report(replace(report, load=load), at)
                table.expire(at)
                logged = [each.version for each in table.versions.list_sightings(at)]
                self.assertEqual(logged, ["v1"])


def replace_age(sighting, age_ms):
    return replace(sighting, age_ms=age_ms)
