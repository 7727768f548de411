"""Services: groups of backend servers that callers name."""

from dataclasses import dataclass

from carobspring.domain.backends import ServiceKind
from carobspring.domain.errors import InvalidValueError, check_name

HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


@dataclass(frozen=True, kw_only=True)
class UnrepeatableRoute:
    """A route of a plain service whose calls run at most once.

    The route covers every path that starts with ``path``. Calls to it need
    an ``Idempotency-Key`` header.
    """

    method: str
    path: str

    def __post_init__(self) -> None:
        if self.method not in HTTP_METHODS:
            raise InvalidValueError(
                field="method", value=self.method, expected="an HTTP method"
            )
        if not self.path.startswith("/"):
            raise InvalidValueError(
                field="path", value=self.path, expected="a path that starts with /"
            )


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service that the operator declared, with its unrepeatable routes."""

    name: str
    kind: ServiceKind
    unrepeatable: tuple[UnrepeatableRoute, ...] = ()

    def __post_init__(self) -> None:
        check_name("service", self.name)

    def is_unrepeatable(self, method: str, path: str) -> bool:
        """Say whether a call by this method to this path runs at most once."""
        return any(
            route.method == method and path.startswith(route.path)
            for route in self.unrepeatable
        )
