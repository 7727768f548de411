import unittest

from carobspring.consensus import MembershipChangeRefusedError
from carobspring.control import ReplicaRoutes
from carobspring.control.admin import AdminError, AdminRequest
from carobspring.control.reports import CountReport
from carobspring.ports import NotLeaderError, QuorumLostError

REQUEST = AdminRequest(operator="anna", body=b'{"name": "c2"}', query={})


class ScriptedReplica:
    """A replica that leads or not, and raises an error or not."""

    def __init__(self, *, is_leading: bool, error: Exception | None) -> None:
        self.is_leading = is_leading
        self.error = error
        self.changed_names: list[str] = []

    def is_leader(self) -> bool:
        return self.is_leading

    def find_leader(self) -> str:
        return "c3"

    async def add_learner(self, name: str) -> None:
        self.changed_names.append(name)
        if self.error is not None:
            raise self.error

    promote = remove = add_learner


class ReplicaRouteTests(unittest.IsolatedAsyncioTestCase):
    async def test_membership_changes(self):
        """The leader executes changes; other replicas reject them untried."""
        refused = MembershipChangeRefusedError(reason="c2 has not caught up")
        cases = {
            "done": (True, None, None),
            "not the leader": (False, None, (503, "not_leader")),
            "lost leadership": (True, NotLeaderError(leader=""), (503, "not_leader")),
            "no quorum": (True, QuorumLostError(waited_s=1.0), (503, "no_quorum")),
            "refused": (True, refused, (409, "refused")),
        }
        for name, (is_leading, error, expected) in cases.items():
            for action in ("add", "promote", "remove"):
                with self.subTest(f"{name} {action}"):
                    replica = ScriptedReplica(is_leading=is_leading, error=error)
                    routes = ReplicaRoutes(replica=replica).list_routes()
                    route = routes["POST", f"/v1/replicas/{action}"]
                    if expected is None:
                        self.assertEqual(await route(REQUEST), CountReport(count=1))
                    else:
                        with self.assertRaises(AdminError) as caught:
                            await route(REQUEST)
                        found = caught.exception
                        self.assertEqual((found.status, found.report.kind), expected)
                    self.assertEqual(
                        replica.changed_names, ["c2"] if is_leading else []
                    )
