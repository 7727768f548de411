"""Decoding of the operator's configuration into a routing table."""

from typing import Final

import msgspec

from carobspring.domain.routes import (
    CallerLimits,
    EngineTraits,
    KeyOwner,
    Repeatability,
    Route,
    RoutedService,
    RoutingTable,
    WeightedService,
)
from carobspring.protocol import DECODE_ERRORS

#: Weight of the only service of a route.
SINGLE_SERVICE_WEIGHT: Final = 100


class ConfigurationError(Exception):
    """A configuration is malformed or contradicts itself.

    Args:
        reason: What is wrong, for the operator.
    """

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"the configuration can't be used: {reason}")
        self.reason = reason


class _ServiceWeight(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    #: The only service; absent if ``backends`` splits the route.
    service: str | None = None
    #: Weights of services; these are not backend servers.
    backends: list[_ServiceWeight] | None = None
    slo_ms: float = 0.0
    priority: int = 0
    #: Limits backend servers, not sends: several sends to one count once.
    attempts: int = 1
    public: bool = False
    #: True if requests name the parts of their prompt; does not force a
    #: placement.
    affinity: bool = False
    resumable: bool = False
    itl_target_ms: float = 0.0


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity: int
    #: Maximum number of tokens in an event of a stream.
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
    """Return the version of a configuration.

    Raises:
        ConfigurationError: The version can't be decoded.
    """
    try:
        return _decode_version(body).version
    except DECODE_ERRORS as error:
        raise ConfigurationError(reason=str(error)) from error


def decode_routing_table(body: bytes) -> RoutingTable:
    """Return the routing table of a configuration.

    Raises:
        ConfigurationError: The configuration is malformed or invalid.
    """
    try:
        decoded = _decode(body)
        return RoutingTable(
            version=decoded.version,
            routes=tuple(_convert_route(route) for route in decoded.routes),
            services={
                service.name: _convert_service(service) for service in decoded.services
            },
            owners=tuple(
                KeyOwner(
                    name=tenant.name,
                    keys=tuple(tenant.api_keys),
                    priority=tenant.priority,
                )
                for tenant in decoded.tenants
            ),
            limits=CallerLimits(
                max_header_bytes=decoded.limits.max_header_bytes,
                max_body_bytes=decoded.limits.max_body_bytes,
                header_timeout_s=decoded.limits.header_timeout_ms / 1000,
                idle_timeout_s=decoded.limits.idle_timeout_ms / 1000,
            ),
        )
    except DECODE_ERRORS as error:
        raise ConfigurationError(reason=str(error)) from error


def _convert_route(route: _Route) -> Route:
    if route.backends:
        weighted_services = tuple(
            WeightedService(service=backend.service, weight=backend.weight)
            for backend in route.backends
        )
    elif route.service is not None:
        weighted_services = (
            WeightedService(service=route.service, weight=SINGLE_SERVICE_WEIGHT),
        )
    else:
        weighted_services = ()
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        repeatability=_convert_repeatability(route),
        weighted_services=weighted_services,
        timeout_ms=route.timeout_ms,
        latency_target_ms=route.slo_ms,
        event_gap_target_ms=route.itl_target_ms,
        priority=route.priority,
        max_attempts=max(1, route.attempts),
        public=route.public,
        prefix_affinity=route.affinity,
    )


def _convert_repeatability(route: _Route) -> Repeatability:
    if route.route_type == "idempotent":
        return Repeatability.IDEMPOTENT
    if route.route_type == "streaming":
        resumable = Repeatability.RESUMABLE_STREAM
        return resumable if route.resumable else Repeatability.STREAM_ONCE
    # An unknown type is treated like the most restrictive one.
    return Repeatability.ONCE


def _convert_service(service: _Service) -> RoutedService:
    engine = None
    if service.engine is not None:
        engine = EngineTraits(
            slots=service.engine.slots,
            kv_capacity_tokens=service.engine.kv_capacity,
            tokens_per_event=max(1, service.engine.stride),
        )
    return RoutedService(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_conns,
        engine=engine,
    )
