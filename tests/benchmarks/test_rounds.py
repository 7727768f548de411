import unittest

from bench.rounds import DayResult, format_table, read_days

DAY = {
    "name": "quiet-1",
    "G": 0.78,
    "rules": {"LOST": 1},
    "fault": None,
    "parts": [["whole day", 0.75, 0.9], ["worst windows", 0.25, 1.0]],
    "prices": [["machine-seconds", 336.0, 0.023], ["probes", 0.0, 0.0]],
}


class RoundsTests(unittest.TestCase):
    def test_losses_by_cause(self):
        """Losses are fractions of the full score, largest first."""
        (day,) = read_days({"site": "s", "days": [DAY]})
        self.assertEqual(
            day,
            DayResult(
                site="s",
                name="quiet-1",
                score=0.78,
                violations="LOST 1",
                losses=(
                    ("whole day not served in time", day.losses[0][1]),
                    ("machine-seconds", 0.023),
                ),
            ),
        )
        self.assertAlmostEqual(day.losses[0][1], 0.075)

    def test_table(self):
        """Each day is a row; the entry of an aborted run has none."""
        days = read_days({"site": "s", "days": [DAY]}) + read_days({"site": None})
        self.assertEqual(
            format_table(days).splitlines()[2:],
            [
                "| s | quiet-1 | 0.780 | LOST 1 | whole day not served in time 0.075, "
                "machine-seconds 0.023 |"
            ],
        )
