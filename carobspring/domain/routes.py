"""The routing table: routes by host and path, services, keys and limits."""

import bisect
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from carobspring.domain.errors import InvalidValueError, check_counter


class Repeatability(Enum):
    """Whether a request may be retried after a failed attempt."""

    #: The request may run more than once.
    IDEMPOTENT = "idempotent"
    #: The request runs at most once.
    ONCE = "once"
    #: An event stream that another backend server can resume.
    RESUMABLE_STREAM = "resumable_stream"
    #: An event stream that runs at most once.
    STREAM_ONCE = "stream_once"

    @property
    def is_stream(self) -> bool:
        """Return whether the response is an event stream."""
        return self in (Repeatability.RESUMABLE_STREAM, Repeatability.STREAM_ONCE)

    @property
    def can_repeat(self) -> bool:
        """Return whether a request that may have run can be sent again."""
        return self in (Repeatability.IDEMPOTENT, Repeatability.RESUMABLE_STREAM)


@dataclass(frozen=True, kw_only=True)
class WeightedService:
    """A service and its weight among the services of a route."""

    service: str
    weight: int


@dataclass(frozen=True, kw_only=True)
class Route:
    """The services and limits for requests to one host and path prefix.

    Among the routes of a host, the one with the longest matching prefix
    applies.
    """

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    repeatability: Repeatability
    weighted_services: tuple[WeightedService, ...]
    #: Longest time from the arrival of a request to the end of its response.
    timeout_ms: float
    #: Target time to the response, or to the first event of a stream.
    latency_target_ms: float = 0.0
    #: Target for the longest gap between events of a stream.
    event_gap_target_ms: float = 0.0
    #: Smaller priorities are served first.
    priority: int = 0
    #: Largest number of backend servers that a request is sent to.
    max_attempts: int = 1
    #: True if requests need no key.
    public: bool = False
    #: True if requests carry hashes of the parts of their prompt.
    prefix_affinity: bool = False

    def __post_init__(self) -> None:
        """Validate the weights, the timeout and the path prefix."""
        if (
            not self.weighted_services
            or sum(target.weight for target in self.weighted_services) <= 0
        ):
            _reject("weight", self.name, "weights of a route that add up to over 0")
        if min(target.weight for target in self.weighted_services) < 0:
            _reject("weight", self.name, "weights of 0 or more")
        if not self.timeout_ms > 0:
            _reject("timeout", self.timeout_ms, "over 0 ms")
        if not (self.path_prefix.startswith("/") and self.path_prefix.endswith("/")):
            _reject("prefix", self.path_prefix, "a path between slashes")

    def choose_service(self, point: float) -> str:
        """Return the service that a number in [0, 1) selects by weight."""
        total_weight = sum(target.weight for target in self.weighted_services)
        cumulative_share = 0.0
        for target in self.weighted_services:
            cumulative_share += target.weight / total_weight
            if target.weight and point < cumulative_share:
                return target.service
        return next(t.service for t in reversed(self.weighted_services) if t.weight)


@dataclass(frozen=True, kw_only=True)
class EngineTraits:
    """The properties of the model engines of a service."""

    #: Requests that an engine processes concurrently.
    slots: int
    #: Tokens of running requests and cached prompts that fit in the KV cache.
    kv_capacity_tokens: int
    #: Largest number of tokens in one event of a stream.
    tokens_per_event: int = 1


@dataclass(frozen=True, kw_only=True)
class RoutedService:
    """A service that routes refer to."""

    name: str
    health_path: str = "/"
    #: Largest number of connections to one backend server, over all callers.
    max_connections: int = 0
    #: None if the service does not consist of model engines.
    engine: EngineTraits | None = None


@dataclass(frozen=True, kw_only=True)
class KeyOwner:
    """A workspace that owns API keys.

    Requests of a workspace with a smaller priority are served first,
    whatever the priority of their route. Among workspaces of equal priority
    the priority of the route decides.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Size limits and timeouts for the connections of callers."""

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 30.0
    idle_timeout_s: float = 120.0


@dataclass(frozen=True, kw_only=True)
class RoutingTable:
    """One version of all routes, which a new version replaces completely.

    Example:
        ``table.find_route("shop.example", "/chat/2f")``
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, RoutedService] = field(default_factory=dict)
    owners: tuple[KeyOwner, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    _route_ranks: int = field(init=False, repr=False, compare=False)
    #: Every rank that a request to an engine may have, in order.
    _engine_ranks: tuple[int, ...] = field(init=False, repr=False, compare=False)
    _by_host: dict[str, list[Route]] = field(init=False, repr=False, compare=False)
    _by_key: dict[str, KeyOwner] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Validate the table and build the indexes of routes and keys."""
        check_counter("version", self.version)
        ranks = 1 + max((route.priority for route in self.routes), default=0)
        object.__setattr__(self, "_route_ranks", ranks)
        object.__setattr__(self, "_engine_ranks", self._list_engine_ranks())
        object.__setattr__(self, "_by_host", self._index_routes())
        object.__setattr__(self, "_by_key", self._index_keys(self.owners))

    def compute_rank(self, route: Route, owner: KeyOwner | None) -> int:
        """Return the rank of a request; rank 0 is served first."""
        priority = owner.priority if owner is not None else None
        return (priority or 0) * self._route_ranks + route.priority

    def compute_engine_rank(self, rank: int, levels: int) -> int:
        """Return a rank for engines, which know that many from 0 on.

        Ranks that the table tells apart stay apart, as far as the levels
        suffice, and none goes before one that it is behind.
        """
        ranks = self._engine_ranks
        if not ranks or ranks[-1] < levels:
            return rank
        position = bisect.bisect_left(ranks, rank)
        return position * levels // max(levels, len(ranks))

    @property
    def requires_keys(self) -> bool:
        """Return whether routes that aren't public require a key."""
        return bool(self.owners)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_owner(self, key: str) -> KeyOwner | None:
        """Return the workspace that owns a key, or None."""
        return self._by_key.get(key)

    def _list_engine_ranks(self) -> tuple[int, ...]:
        priorities = {0, *(owner.priority or 0 for owner in self.owners)}
        of_routes = {
            route.priority
            for route in self.routes
            for target in route.weighted_services
            if target.service in self.services and self.services[target.service].engine
        }
        return tuple(
            sorted(
                priority * self._route_ranks + of_route
                for priority in priorities
                for of_route in of_routes
            )
        )

    def _index_routes(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        seen: set[tuple[str, str]] = set()
        for route in self.routes:
            location = (route.host, route.path_prefix)
            if location in seen:
                _reject("route", route.name, "one route for each host and prefix")
            seen.add(location)
            for target in route.weighted_services:
                if target.service not in self.services:
                    _reject("service", target.service, "a service that is listed")
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        return by_host

    @staticmethod
    def _index_keys(owners: Sequence[KeyOwner]) -> dict[str, KeyOwner]:
        by_key: dict[str, KeyOwner] = {}
        for owner in owners:
            for key in owner.keys:
                if key in by_key and by_key[key] is not owner:
                    _reject("key", owner.name, "keys that one workspace holds")
                by_key[key] = owner
        return by_key


def _reject(field_name: str, value: object, expected: str) -> None:
    raise InvalidValueError(field=field_name, value=value, expected=expected)
