import unittest

from carobspring.domain import InvalidValueError
from carobspring.domain.routes import (
    EngineTraits,
    KeyOwner,
    Repeatability,
    Route,
    RoutedService,
    RoutingTable,
    WeightedService,
)

ENGINE = EngineTraits(slots=8, kv_capacity_tokens=1000)


def build_route(prefix="/", host="h", priority=0, weights=(1,)):
    weighted_services = tuple(
        WeightedService(service=f"s{index}", weight=weight)
        for index, weight in enumerate(weights)
    )
    return Route(
        name=f"{host}{prefix}",
        host=host,
        path_prefix=prefix,
        repeatability=Repeatability.IDEMPOTENT,
        weighted_services=weighted_services,
        timeout_ms=1000,
        priority=priority,
    )


def build_table(*routes, owners=()):
    services = {f"s{n}": RoutedService(name=f"s{n}") for n in range(3)}
    return RoutingTable(version=1, routes=routes, services=services, owners=owners)


class EngineRankTests(unittest.TestCase):
    def test_engine_ranks(self):
        """Ranks that differ stay apart, as far as there are levels."""
        cases = {
            "few": ((0, 2), (None, 1), {0: 0, 2: 2, 3: 3, 5: 5}),
            "three by four": (
                (0, 1, 2),
                (0, 1, 2, 3),
                dict(enumerate((0, 0, 1, 2, 3, 4, 5, 5, 6, 7, 8, 9))),
            ),
            "with gaps": (
                (0, 5),
                (0, 2, 40),
                {0: 0, 5: 1, 12: 2, 17: 3, 240: 4, 245: 5},
            ),
            "no route to an engine": ((), (7,), {0: 0, 70: 70}),
        }
        for name, (of_routes, priorities, expected) in cases.items():
            with self.subTest(name):
                table = RoutingTable(
                    version=1,
                    routes=tuple(
                        build_route(f"/{priority}/", priority=priority)
                        for priority in of_routes
                    ),
                    services={"s0": RoutedService(name="s0", engine=ENGINE)},
                    owners=tuple(
                        KeyOwner(name=f"w{n}", keys=(f"k{n}",), priority=priority)
                        for n, priority in enumerate(priorities)
                    ),
                )
                ranks = {rank: table.compute_engine_rank(rank, 10) for rank in expected}
                self.assertEqual(ranks, expected)


class RoutingTableTests(unittest.TestCase):
    def test_longest_prefix(self):
        """Of the routes of a host, the one with the longest prefix applies."""
        table = build_table(
            build_route("/"),
            build_route("/a/"),
            build_route("/a/b/"),
            build_route("/a/", host="other"),
        )
        cases = {
            ("h", "/a/b/c"): "h/a/b/",
            ("h", "/a/b"): "h/a/",
            ("h", "/a"): "h/",
            ("other", "/a/x"): "other/a/",
            ("other", "/"): None,
            ("none", "/"): None,
        }
        for (host, path), expected in cases.items():
            with self.subTest(host=host, path=path):
                route = table.find_route(host, path)
                self.assertEqual(route.name if route else None, expected)

    def test_weights(self):
        """Services are chosen by weight; weight 0 is never chosen."""
        route = build_route(weights=(90, 0, 10))
        chosen = [route.choose_service(point) for point in (0.0, 0.89, 0.9, 0.999)]
        self.assertEqual(chosen, ["s0", "s0", "s2", "s2"])
        self.assertEqual(build_route(weights=(1, 0)).choose_service(0.9999999), "s0")

    def test_rank(self):
        """Ranks order by priority of the workspace, then of the route."""
        table = build_table(build_route("/a/", priority=2), build_route("/b/"))
        low_route, high_route = table.routes
        cases = {
            (None, 0): 0,
            (None, 2): 2,
            (0, 2): 2,
            (1, 0): 3,
            (1, 2): 5,
        }
        for (owner_priority, route_priority), rank in cases.items():
            with self.subTest(owner=owner_priority, route=route_priority):
                route = low_route if route_priority else high_route
                owner = KeyOwner(name="w", priority=owner_priority)
                self.assertEqual(table.compute_rank(route, owner), rank)
        self.assertEqual(table.compute_rank(low_route, None), 2)

    def test_keys(self):
        """A key identifies its owner; a table without owners needs no key."""
        owner = KeyOwner(name="w", keys=("k1", "k2"))
        table = build_table(owners=(owner,))
        self.assertIs(table.find_owner("k2"), owner)
        self.assertIsNone(table.find_owner("k3"))
        requirements = (table.requires_keys, build_table().requires_keys)
        self.assertEqual(requirements, (True, False))

    def test_invalid_tables(self):
        """An inconsistent table can't be constructed."""
        cases = {
            "duplicate route": lambda: build_table(build_route(), build_route()),
            "unknown service": lambda: build_table(build_route(weights=(1,) * 4)),
            "key of two workspaces": lambda: build_table(
                owners=(
                    KeyOwner(name="a", keys=("k",)),
                    KeyOwner(name="b", keys=("k",)),
                )
            ),
            "zero weights": lambda: build_route(weights=(0, 0)),
            "negative weight": lambda: build_route(weights=(2, -1)),
            "prefix without final slash": lambda: build_route("/a"),
        }
        for name, build in cases.items():
            with self.subTest(name), self.assertRaises(InvalidValueError):
                build()
