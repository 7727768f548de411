"""Admin routes that change the cluster's members: add, promote, remove."""

from abc import abstractmethod
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from carobspring.consensus import ConsensusError
from carobspring.control.admin import AdminError, AdminRequest, RouteHandler
from carobspring.control.reports import CountReport, ReplicaRequestBody
from carobspring.ports import NotLeaderError, QuorumLostError


class Reconfigurable(Protocol):
    """A replica through which an operator can change the cluster's members."""

    @abstractmethod
    def is_leader(self) -> bool:
        """Return whether this replica is the leader."""

    @abstractmethod
    def find_leader(self) -> str:
        """Return the name of the leader, or an empty string if unknown."""

    @abstractmethod
    async def add_learner(self, name: str) -> None:
        """Add an empty replica that has announced itself, as a learner."""

    @abstractmethod
    async def promote(self, name: str) -> None:
        """Make a learner that has caught up a voter."""

    @abstractmethod
    async def remove(self, name: str) -> None:
        """Remove a replica from the configuration."""


class ReplicaRoutes:
    """Handles membership changes on the leader.

    Other replicas reject them with an error that names the leader.
    """

    def __init__(self, *, replica: Reconfigurable) -> None:
        self._replica = replica

    def list_routes(self) -> dict[tuple[str, str], RouteHandler]:
        """Return the handlers by method and path."""
        return {
            ("POST", "/v1/replicas/add"): self._make_handler(self._replica.add_learner),
            ("POST", "/v1/replicas/promote"): self._make_handler(self._replica.promote),
            ("POST", "/v1/replicas/remove"): self._make_handler(self._replica.remove),
        }

    def _make_handler(self, change: Callable[[str], Awaitable[None]]) -> RouteHandler:
        async def handle(request: AdminRequest) -> CountReport:
            body = msgspec.json.decode(request.body, type=ReplicaRequestBody)
            try:
                if not self._replica.is_leader():
                    raise NotLeaderError(leader=self._replica.find_leader())
                await change(body.name)
            except NotLeaderError as error:
                # On this status the client tries the next replica.
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

        return handle
