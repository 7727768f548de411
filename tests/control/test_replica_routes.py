import unittest

from carobspring.consensus import MembershipChangeRefusedError
from carobspring.control import ReplicaRoutes
from carobspring.control.admin import AdminError, AdminRequest
from carobspring.control.reports import CountReport
from carobspring.ports import NotLeaderError, QuorumLostError

ORDER = AdminRequest(operator="anna", body=b'{"name": "c2"}', query={})


class ScriptedReplica:
    """A replica that leads or not, and refuses or not."""

    def __init__(self, *, leads: bool, error: Exception | None) -> None:
        self.leads = leads
        self.error = error
        self.orders: list[str] = []

    def is_leader(self) -> bool:
        return self.leads

    def find_leader(self) -> str:
        return "c3"

    async def add_learner(self, name: str) -> None:
        self.orders.append(name)
        if self.error is not None:
            raise self.error

    promote = remove = add_learner


class ReplicaRouteTests(unittest.IsolatedAsyncioTestCase):
    async def test_orders(self):
        """The leader carries orders out; any other names it, untried."""
        refused = MembershipChangeRefusedError(reason="c2 has not caught up")
        cases = {
            "done": (True, None, None),
            "not the leader": (False, None, (503, "not_leader")),
            "lost the lead": (True, NotLeaderError(leader=""), (503, "not_leader")),
            "no quorum": (True, QuorumLostError(waited_s=1.0), (503, "no_quorum")),
            "refused": (True, refused, (409, "refused")),
        }
        for name, (leads, error, expected) in cases.items():
            for action in ("add", "promote", "remove"):
                with self.subTest(f"{name} {action}"):
                    replica = ScriptedReplica(leads=leads, error=error)
                    routes = ReplicaRoutes(replica=replica).list_routes()
                    route = routes["POST", f"/v1/replicas/{action}"]
                    if expected is None:
                        self.assertEqual(await route(ORDER), CountReport(count=1))
                    else:
                        with self.assertRaises(AdminError) as caught:
                            await route(ORDER)
                        found = caught.exception
                        self.assertEqual((found.status, found.report.kind), expected)
                    self.assertEqual(replica.orders, ["c2"] if leads else [])
