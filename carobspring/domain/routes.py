"""Routes by host and path, with their services, workspaces and limits."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from carobspring.domain.errors import InvalidValueError


class Repeatability(Enum):
    """What may be done again when an attempt at a request failed."""

    #: The request may run any number of times.
    IDEMPOTENT = "idempotent"
    #: The request runs at most once.
    ONCE = "once"
    #: An event stream that another backend server may go on with.
    RESUMABLE_STREAM = "resumable_stream"
    #: An event stream that runs at most once.
    STREAM_ONCE = "stream_once"

    @property
    def is_stream(self) -> bool:
        """Say whether the answer is an event stream."""
        return self in (Repeatability.RESUMABLE_STREAM, Repeatability.STREAM_ONCE)

    @property
    def can_repeat(self) -> bool:
        """Say whether a request may be sent again after it may have run."""
        return self in (Repeatability.IDEMPOTENT, Repeatability.RESUMABLE_STREAM)


@dataclass(frozen=True, kw_only=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    service: str
    weight: int


@dataclass(frozen=True, kw_only=True)
class Route:
    """Where requests of one host and path prefix go, and what is promised.

    Of the routes of a host, the one with the longest matching prefix applies.
    """

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    repeatability: Repeatability
    weighted_services: tuple[WeightedService, ...]
    #: Longest time from the request's arrival to its final answer, ms.
    timeout_ms: float
    #: Time to the answer, or a stream's first event, at full benefit, ms.
    latency_target_ms: float = 0.0
    #: Longest pause between events of a stream that is on time, ms.
    event_gap_target_ms: float = 0.0
    #: Rank; 0 goes first.
    priority: int = 0
    #: Backend servers that one request may be sent to, at most.
    max_attempts: int = 1
    #: True when no key is needed.
    public: bool = False
    #: True when requests name the parts of their prompt.
    prefix_affinity: bool = False

    def __post_init__(self) -> None:
        """Refuse a route that can't be served."""
        if (
            not self.weighted_services
            or sum(share.weight for share in self.weighted_services) <= 0
        ):
            _refuse("weight", self.name, "weights of a route that add up to over 0")
        if min(share.weight for share in self.weighted_services) < 0:
            _refuse("weight", self.name, "weights of 0 or more")
        if not self.timeout_ms > 0:
            _refuse("timeout", self.timeout_ms, "over 0 ms")
        if not (self.path_prefix.startswith("/") and self.path_prefix.endswith("/")):
            _refuse("prefix", self.path_prefix, "a path between slashes")

    def choose_service(self, point: float) -> str:
        """Return the service at a point from [0, 1) of the weights."""
        total = sum(share.weight for share in self.weighted_services)
        reached = 0.0
        for share in self.weighted_services:
            reached += share.weight / total
            if share.weight and point < reached:
                return share.service
        return next(s.service for s in reversed(self.weighted_services) if s.weight)


@dataclass(frozen=True, kw_only=True)
class EngineTraits:
    """What the operator says of the model engines of a service."""

    slots: int
    #: Tokens of running requests and cached prompts together.
    kv_capacity_tokens: int
    #: Tokens in one event of a stream, at most.
    tokens_per_event: int = 1


@dataclass(frozen=True, kw_only=True)
class RoutedService:
    """A service that routes name."""

    name: str
    health_path: str = "/"
    #: Connections that one backend server takes from all callers together.
    max_connections: int = 0
    #: None for services that are no model engines.
    engine: EngineTraits | None = None


@dataclass(frozen=True, kw_only=True)
class KeyOwner:
    """A workspace with its keys.

    Requests of a workspace with a smaller priority go before all others;
    inside one priority the routes' own decide.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 30.0
    idle_timeout_s: float = 120.0


@dataclass(frozen=True, kw_only=True)
class RoutingTable:
    """One version of all routes; a new version replaces it whole.

    Example:
        ``table.find_route("shop.example", "/chat/2f")``
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, RoutedService] = field(default_factory=dict)
    owners: tuple[KeyOwner, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    _route_ranks: int = field(init=False, repr=False, compare=False)
    _by_host: dict[str, list[Route]] = field(init=False, repr=False, compare=False)
    _by_key: dict[str, KeyOwner] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Refuse contradictions and index the routes and keys."""
        if self.version < 0:
            _refuse("version", self.version, "a whole number of 0 or more")
        ranks = 1 + max((route.priority for route in self.routes), default=0)
        object.__setattr__(self, "_route_ranks", ranks)
        object.__setattr__(self, "_by_host", self._index_routes())
        object.__setattr__(self, "_by_key", self._index_keys(self.owners))

    def compute_rank(self, route: Route, owner: KeyOwner | None) -> int:
        """Return the place of a request in the order of service, 0 first."""
        priority = owner.priority if owner is not None else None
        return (priority or 0) * self._route_ranks + route.priority

    @property
    def requires_keys(self) -> bool:
        """Say whether routes that aren't public need a workspace's key."""
        return bool(self.owners)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_owner(self, key: str) -> KeyOwner | None:
        """Return the workspace that holds a key."""
        return self._by_key.get(key)

    def _index_routes(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        seen: set[tuple[str, str]] = set()
        for route in self.routes:
            place = (route.host, route.path_prefix)
            if place in seen:
                _refuse("route", route.name, "one route for each host and prefix")
            seen.add(place)
            for share in route.weighted_services:
                if share.service not in self.services:
                    _refuse("service", share.service, "a service that is listed")
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
                    _refuse("key", owner.name, "keys that one workspace holds")
                by_key[key] = owner
        return by_key


def _refuse(what: str, value: object, expected: str) -> None:
    raise InvalidValueError(field=what, value=value, expected=expected)
