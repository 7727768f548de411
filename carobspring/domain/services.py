"""Services: groups of interchangeable backend servers."""

from dataclasses import dataclass

from carobspring.domain.backends import ServiceKind
from carobspring.domain.errors import InvalidValueError, check_name

HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


@dataclass(frozen=True, kw_only=True)
class UnrepeatableRoute:
    """A route of a plain service whose calls run at most once.

    The route matches every path that starts with ``path``. Calls to it
    require an ``Idempotency-Key`` header.
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
    """A service declared by the operator, with its unrepeatable routes."""

    name: str
    kind: ServiceKind
    unrepeatable: tuple[UnrepeatableRoute, ...] = ()

    def __post_init__(self) -> None:
        check_name("service", self.name)

    def is_unrepeatable(self, method: str, path: str) -> bool:
        """Return whether calls with this method and path run at most once."""
        return any(
            route.method == method and path.startswith(route.path)
            for route in self.unrepeatable
        )
