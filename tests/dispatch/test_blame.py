import unittest

from carobspring.dispatch.blame import (
    Explanation,
    explain_crashes,
    is_explained_elsewhere,
)


def build_runs(*numbers):
    return frozenset((f"s{number}", 1) for number in numbers)


def build_parts(names):
    return frozenset(("", f"part:{name}") for name in names)


def build_explanation(names, *numbers):
    return Explanation(parts=build_parts(names), crashes=build_runs(*numbers))


class ExplainCrashesTests(unittest.TestCase):
    def check(self, crashes, expected, requests=(), proven=""):
        part_crashes = {
            ("", f"part:{name}"): build_runs(*numbers)
            for name, numbers in crashes.items()
        }
        request_crashes = [build_runs(*numbers) for numbers in requests]
        self.assertEqual(
            explain_crashes(part_crashes, request_crashes, build_parts(proven)),
            expected,
        )

    def test_parts_that_are_blamed(self):
        """The fewest parts that explain the crashes are blamed."""
        cases = {
            "no crash": ({}, ()),
            "two crashes": ({"a": (1, 2)}, ()),
            "three crashes": ({"a": (1, 2, 3)}, (build_explanation("a", 1, 2, 3),)),
            "a part beside it": (
                {"a": (1, 2, 3, 4), "b": (1, 2, 3)},
                (build_explanation("a", 1, 2, 3, 4),),
            ),
            "nothing tells them apart": (
                {"a": (1, 2, 3), "b": (1, 2, 3), "c": (1, 2)},
                (build_explanation("ab", 1, 2, 3),),
            ),
            "two causes": (
                {"a": (1, 3, 5), "b": (2, 4, 6, 7), "c": (1, 2, 3)},
                (build_explanation("b", 2, 4, 6, 7), build_explanation("a", 1, 3, 5)),
            ),
            "little is left to explain": (
                {"a": (1, 2, 3, 4), "b": (2, 3, 4, 5, 6)},
                (build_explanation("b", 2, 3, 4, 5, 6),),
            ),
        }
        for name, (crashes, expected) in cases.items():
            with self.subTest(name):
                self.check(crashes, expected)

    def test_part_of_one_request(self):
        """A part is not blamed for what one request does again and again."""
        crashes = {"a": (1, 2, 3)}
        self.check(crashes, (), requests=[(1, 2, 3)])
        self.check(
            {"a": (1, 2, 3, 4)},
            (build_explanation("a", 1, 2, 3, 4),),
            requests=[(1, 2, 3)],
        )

    def test_parts_that_were_answered(self):
        """Parts that were answered are blamed for what others leave."""
        cases = {
            "with a new part": (
                {"g": (1, 2, 3, 4, 5), "a": (1, 2, 3)},
                (build_explanation("a", 1, 2, 3),),
            ),
            "with two new parts": (
                {"g": (1, 2, 3, 4, 5, 6), "a": (1, 3, 5), "b": (2, 4, 6)},
                (build_explanation("b", 2, 4, 6), build_explanation("a", 1, 3, 5)),
            ),
            "at the same crashes": (
                {"g": (1, 2, 3), "a": (1, 2, 3)},
                (build_explanation("a", 1, 2, 3),),
            ),
            "alone at four crashes": ({"g": (1, 2, 3, 4)}, ()),
            "alone at five": (
                {"g": (1, 2, 3, 4, 5)},
                (
                    Explanation(
                        parts=build_parts("g"),
                        crashes=build_runs(1, 2, 3, 4, 5),
                        is_proven=True,
                    ),
                ),
            ),
        }
        for name, (crashes, expected) in cases.items():
            with self.subTest(name):
                self.check(crashes, expected, proven="g")

    def test_order_of_evidence(self):
        """All entries choose the same of two parts with as many crashes."""
        crashes = {"a": (1, 2, 3), "b": (2, 3, 4)}
        expected = (build_explanation("b", 2, 3, 4),)
        self.check(crashes, expected)
        self.check(dict(reversed(crashes.items())), expected)

    def test_requests_beside_the_cause(self):
        """A request is not held for crashes that parts of others explain."""
        cases = {
            "without the part": ((1, 2), "c", True),
            "with the part": ((1, 2), "a", False),
            "without it, and one more crash": ((1, 2, 9), "c", False),
        }
        explanations = (build_explanation("ab", 1, 2, 3),)
        for name, (numbers, parts, expected) in cases.items():
            with self.subTest(name):
                is_explained = is_explained_elsewhere(
                    build_runs(*numbers), build_parts(parts), explanations
                )
                self.assertIs(is_explained, expected)
