import unittest

from carobspring.dispatch import DispatchQuery
from carobspring.gateway.identity import MAX_PARTS, RequestIdentity
from carobspring.membership import build_part_key
from carobspring.ports import HttpRequest


def build_identity(*parts, body=b"x", workspace="w"):
    request = HttpRequest(method="POST", path="/a", query="q=1", headers=(), body=body)
    query = DispatchQuery(
        request_id="r",
        service="svc",
        deadline=1.0,
        parts=tuple((part, 10) for part in parts),
    )
    return RequestIdentity(request=request, workspace=workspace, query=query)


class RequestIdentityTests(unittest.TestCase):
    def test_parts_that_are_shared(self):
        """All parts but the last are, each once, however it is written."""
        long_part = "f" * 500
        cases = {
            "no prompt": ((), ()),
            "one part": (("own",), ()),
            "two": (("a", "own"), ("a",)),
            "repeated": (("a", "b", "a", "own"), ("a", "b")),
            "case and spaces": (("AB", " ab ", "own"), ("ab",)),
            "long": ((long_part, "own"), (long_part,)),
        }
        for name, (parts, expected) in cases.items():
            with self.subTest(name):
                _, *keys = build_identity(*parts).list_causes()
                self.assertEqual(keys, [build_part_key(part) for part in expected])

    def test_bounds(self):
        """Neither many parts nor long ones make keys without bound."""
        parts = [f"{number:03d}" * 100 for number in range(200)]
        _, *keys = build_identity(*parts).list_causes()
        self.assertEqual(len(keys), MAX_PARTS)
        self.assertLess(max(len(key[1]) for key in keys), 50)

    def test_request(self):
        """A request is the same with other parts, in its own workspace."""
        first = build_identity("a", "own")
        self.assertEqual(first.list_causes()[0], ("w", first.digest))
        cases = {
            "other parts": (build_identity("b", "own"), True),
            "another body": (build_identity("a", "own", body=b"y"), False),
            "another workspace": (build_identity("a", "own", workspace="x"), False),
        }
        for name, (second, expected) in cases.items():
            with self.subTest(name):
                is_same = second.list_causes()[0] == first.list_causes()[0]
                self.assertIs(is_same, expected)

    def test_parts_in_the_log(self):
        """The parts that requests may share are named, in bounded length."""
        many = [f"{number:040d}" for number in range(20)]
        cases = {
            "shared": (("5c1e", "91bd", "e440"), "5c1e,91bd"),
            "none": ((), ""),
            "many": (many, ",".join(part[:24] for part in many[:8])),
        }
        for name, (parts, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(build_identity(*parts).format_parts(), expected)
