"""Which of several servers that name one address has it."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from carobspring.domain import BackendServer

Place = tuple[str, int]


@dataclass(frozen=True, kw_only=True)
class _Claim:
    server: BackendServer
    #: Number of the last response by which another server had the address;
    #: zero if there was none.
    refuted: int = 0


class AddressClaims:
    """Decides which server has an address that several name.

    A record proves nothing by itself, since anyone can check in. So a server
    that answers under its identifier keeps its address until a response
    shows that it is gone, and whoever was refuted last comes last. Where
    neither is known, the latest start has the address.

    ``is_serving`` returns whether a server answers at its address.
    """

    def __init__(self, *, is_serving: Callable[[BackendServer], bool]) -> None:
        self._is_serving = is_serving
        self._claims: dict[Place, dict[str, _Claim]] = {}
        self._places: dict[str, Place] = {}
        #: Addresses that several servers name.
        self.contested: set[Place] = set()
        self._refutations = itertools.count(1)

    def claim(self, server: BackendServer) -> Place:
        """Record that a server names its address, and return that."""
        name, place = server.server_id, get_place(server)
        if self._places.get(name) != place:
            self.withdraw(name)
        claims = self._claims.setdefault(place, {})
        known = claims.get(name)
        if known is None or known.server.boot != server.boot:
            claims[name] = _Claim(server=server)
        else:
            claims[name] = _Claim(server=server, refuted=known.refuted)
        self._places[name] = place
        if len(claims) > 1:
            self.contested.add(place)
        return place

    def withdraw(self, name: str) -> Place | None:
        """Remove a server's claim, and return the address that it named."""
        place = self._places.pop(name, None)
        if place is None:
            return None
        claims = self._claims[place]
        del claims[name]
        if not claims:
            del self._claims[place]
        if len(claims) < 2:
            self.contested.discard(place)
        return place

    def refute(self, server: BackendServer) -> Place | None:
        """Record that another server answered at a server's address."""
        place = self._places.get(server.server_id)
        if place is None:
            return None
        claim = self._claims[place][server.server_id]
        if claim.server.boot != server.boot:
            return None
        refuted = _Claim(server=claim.server, refuted=next(self._refutations))
        self._claims[place][server.server_id] = refuted
        return place

    def list_claimants(self, place: Place) -> tuple[str, ...]:
        """Return the servers that name an address."""
        return tuple(self._claims.get(place, ()))

    def find_holder(self, place: Place, *, refuted_now: str = "") -> str | None:
        """Return the server that has an address, or None.

        ``refuted_now`` is the server that a response has just refuted.
        """
        claims = self._claims.get(place)
        if not claims:
            return None
        if len(claims) == 1:
            return next(iter(claims))

        def build_key(name: str) -> tuple[bool, int, int, str]:
            claim = claims[name]
            serves = name != refuted_now and self._is_serving(claim.server)
            return serves, -claim.refuted, claim.server.boot, name

        return max(claims, key=build_key)


def get_place(server: BackendServer) -> Place:
    """Return the host and port of a server."""
    return server.host, server.port
