"""The operator's configuration as it comes over the wire."""

from typing import Final

import msgspec

from carobspring.domain import InvalidValueError
from carobspring.domain.routes import (
    CallerLimits,
    EngineTraits,
    KeyOwner,
    Repeatability,
    Route,
    RoutedService,
    RouteShare,
    RoutingTable,
)

FULL_WEIGHT: Final = 100


class ConfigurationError(Exception):
    """A configuration is malformed or contradicts itself.

    Args:
        reason: What is wrong, for the operator.
    """

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"the configuration can't be used: {reason}")
        self.reason = reason


class _Share(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    #: One service; absent where ``backends`` splits the route.
    service: str | None = None
    #: Names services, not backend servers.
    backends: list[_Share] | None = None
    slo_ms: float = 0.0
    priority: int = 0
    #: Backend servers, not sends: several sends to one count once.
    attempts: int = 1
    public: bool = False
    #: Says that requests name their prompt's parts; forces no placement.
    affinity: bool = False
    resumable: bool = False
    itl_target_ms: float = 0.0


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity: int
    #: Tokens an event of a stream may hold.
    stride: int = 1


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/"
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_ms: float = 30_000.0
    idle_timeout_ms: float = 120_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Version(msgspec.Struct):
    version: int


_decode = msgspec.json.Decoder(_Configuration).decode
_decode_version = msgspec.json.Decoder(_Version).decode


def decode_version(body: bytes) -> int:
    """Return the version that a configuration bears.

    Raises:
        ConfigurationError: It can't be read.
    """
    try:
        return _decode_version(body).version
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigurationError(reason=str(error)) from error


def decode_routing_table(body: bytes) -> RoutingTable:
    """Return the routing table of a configuration.

    Raises:
        ConfigurationError: It can't be read in full, or is invalid.
    """
    try:
        told = _decode(body)
        return RoutingTable(
            version=told.version,
            routes=tuple(_read_route(route) for route in told.routes),
            services={each.name: _read_service(each) for each in told.services},
            owners=tuple(
                KeyOwner(
                    name=each.name, keys=tuple(each.api_keys), priority=each.priority
                )
                for each in told.tenants
            ),
            limits=CallerLimits(
                max_header_bytes=told.limits.max_header_bytes,
                max_body_bytes=told.limits.max_body_bytes,
                header_timeout_s=told.limits.header_timeout_ms / 1000,
                idle_timeout_s=told.limits.idle_timeout_ms / 1000,
            ),
        )
    except (msgspec.MsgspecError, UnicodeDecodeError, InvalidValueError) as error:
        raise ConfigurationError(reason=str(error)) from error


def _read_route(told: _Route) -> Route:
    if told.backends:
        shares = tuple(
            RouteShare(service=each.service, weight=each.weight)
            for each in told.backends
        )
    elif told.service is not None:
        shares = (RouteShare(service=told.service, weight=FULL_WEIGHT),)
    else:
        shares = ()
    return Route(
        name=told.name,
        host=told.host,
        path_prefix=told.path_prefix,
        repeatability=_read_repeatability(told),
        shares=shares,
        time_limit_ms=told.timeout_ms,
        target_ms=told.slo_ms,
        pause_target_ms=told.itl_target_ms,
        priority=told.priority,
        max_attempts=max(1, told.attempts),
        public=told.public,
        prefix_affinity=told.affinity,
    )


def _read_repeatability(told: _Route) -> Repeatability:
    if told.route_type == "idempotent":
        return Repeatability.IDEMPOTENT
    if told.route_type == "streaming":
        resumable = Repeatability.RESUMABLE_STREAM
        return resumable if told.resumable else Repeatability.STREAM_ONCE
    # An unknown type is treated as the one that allows the least.
    return Repeatability.ONCE


def _read_service(told: _Service) -> RoutedService:
    engine = None
    if told.engine is not None:
        engine = EngineTraits(
            slots=told.engine.slots,
            kv_capacity_tokens=told.engine.kv_capacity,
            tokens_per_event=max(1, told.engine.stride),
        )
    return RoutedService(
        name=told.name,
        health_path=told.health_path,
        max_connections=told.max_conns,
        engine=engine,
    )
