import unittest

from carobspring.adapters.memory_plan import (
    BODY_COPIES,
    CONNECTION_BYTES,
    DEFAULT_MEMORY_MB,
    MAX_PROBE_CONNECTIONS,
    MIB,
    PROBE_PLAN,
    PROBE_SERVERS,
    PROCESS_BYTES,
    RESERVE_BYTES,
    compute_budget_bytes,
    plan_memory,
)


class MemoryPlanTests(unittest.TestCase):
    """The division of an instance's memory among the clients of a process."""

    def test_body_bytes(self):
        """The budget leaves room for two programs of an instance."""
        cases = [(0, 8), (96, 8), (128, 8), (300, 36.7)]
        for memory_mb, expected_mib in cases:
            with self.subTest(memory_mb=memory_mb):
                size = compute_budget_bytes(memory_mb) / MIB
                self.assertAlmostEqual(size, expected_mib, 1)

    def test_sum(self):
        """All that clients may hold fits beside the process."""
        for memory_mb in (88, 128, 150, 160, 200, DEFAULT_MEMORY_MB, 1024):
            with self.subTest(memory_mb=memory_mb):
                plan = plan_memory(memory_mb=memory_mb)
                probes = PROBE_SERVERS * MAX_PROBE_CONNECTIONS
                total = (
                    PROCESS_BYTES
                    + plan.body_bytes * BODY_COPIES
                    + plan.held_bytes
                    + (plan.max_connections + probes) * CONNECTION_BYTES
                )
                self.assertLessEqual(total, memory_mb * MIB)

    def test_probes(self):
        """What servers for readiness and metrics hold fits the reserve."""
        server_bytes = PROBE_PLAN.body_bytes * BODY_COPIES + PROBE_PLAN.held_bytes
        self.assertLessEqual(server_bytes * PROBE_SERVERS, RESERVE_BYTES)

    def test_connections(self):
        """Memory and descriptors bound the connections, the less of them."""
        cases = [
            ("little memory", 88, 4_100, 358),
            ("few descriptors", 1_024, 1_000, 600),
            ("no descriptors told", 88, 0, 358),
            ("less memory than is usual", 40, 0, 76),
        ]
        for name, memory_mb, descriptors, expected in cases:
            with self.subTest(name):
                plan = plan_memory(memory_mb=memory_mb, max_descriptors=descriptors)
                self.assertEqual(plan.max_connections, expected)

    def test_default(self):
        """An instance that is told nothing has limits too."""
        self.assertEqual(plan_memory(), plan_memory(memory_mb=DEFAULT_MEMORY_MB))


if __name__ == "__main__":
    unittest.main()
