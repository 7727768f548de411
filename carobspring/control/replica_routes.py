"""Admin routes to replace a replica: learners, votes, removal."""

from abc import abstractmethod
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from carobspring.consensus import ConsensusError
from carobspring.control.admin import AdminError, AdminRequest, RouteHandler
from carobspring.control.reports import CountReport, ReplicaRequestBody
from carobspring.ports import NotLeaderError, QuorumLostError


class Reconfigurable(Protocol):
    """A replica whose set of voters an operator may change."""

    @abstractmethod
    def is_leader(self) -> bool:
        """Say whether this replica leads at present."""

    @abstractmethod
    def find_leader(self) -> str:
        """Return the name of the leader, or empty when not known."""

    @abstractmethod
    async def add_learner(self, name: str) -> None:
        """Let an empty replica that said hello get the log."""

    @abstractmethod
    async def promote(self, name: str) -> None:
        """Give a learner that caught up its vote."""

    @abstractmethod
    async def remove(self, name: str) -> None:
        """Take a replica out of the configuration."""


class ReplicaRoutes:
    """Answers on the leader; another replica names the leader to ask."""

    def __init__(self, *, replica: Reconfigurable) -> None:
        self._replica = replica

    def list_routes(self) -> dict[tuple[str, str], RouteHandler]:
        """Return each route by method and path."""
        return {
            ("POST", "/v1/replicas/add"): self._make_route(self._replica.add_learner),
            ("POST", "/v1/replicas/promote"): self._make_route(self._replica.promote),
            ("POST", "/v1/replicas/remove"): self._make_route(self._replica.remove),
        }

    def _make_route(self, change: Callable[[str], Awaitable[None]]) -> RouteHandler:
        async def answer(request: AdminRequest) -> CountReport:
            order = msgspec.json.decode(request.body, type=ReplicaRequestBody)
            try:
                if not self._replica.is_leader():
                    raise NotLeaderError(leader=self._replica.find_leader())
                await change(order.name)
            except NotLeaderError as error:
                # The client goes on to the next replica at this status.
                raise AdminError(
                    status=503, kind="not_leader", message=str(error)
                ) from error
            except QuorumLostError as error:
                raise AdminError(
                    status=503, kind="no_quorum", message=str(error)
                ) from error
            except ConsensusError as error:
                raise AdminError(
                    status=409, kind="refused", message=str(error)
                ) from error
            return CountReport(count=1)

        return answer
