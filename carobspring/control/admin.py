"""The admin API: authentication, dispatch to routes, errors as typed JSON."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl

import msgspec

from carobspring.control.errors import ControlError
from carobspring.control.operators import OperatorTokens
from carobspring.control.reports import ErrorReport, ErrorResponse
from carobspring.ports import HttpRequest, HttpResponder
from carobspring.protocol import DECODE_ERRORS

JSON_HEADERS = (("Content-Type", "application/json"),)

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class AdminRequest:
    """A request of an authenticated operator.

    ``query`` holds the query parameters, each name once.
    """

    operator: str
    body: bytes
    query: dict[str, str]


class AdminError(Exception):
    """A request was rejected by the admin API.

    Args:
        status: The HTTP status.
        kind: A stable identifier of the error, for scripts.
        message: What is wrong and what to do next.
        revision: The current revision of the settings, where relevant.
    """

    def __init__(
        self, *, status: int, kind: str, message: str, revision: int | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.report = ErrorReport(kind=kind, message=message, revision=revision)


RouteHandler = Callable[[AdminRequest], Awaitable[object]]


class AdminApi:
    """Handles operators' requests.

    Args:
        tokens: Tokens of the operators that are allowed to send requests.
        routes: Handlers by method and path.
        is_ready: Returns whether a leader is known and this replica is not
            stopping.
        render_metrics: Returns the metrics as text.
    """

    def __init__(
        self,
        *,
        tokens: OperatorTokens,
        routes: dict[tuple[str, str], RouteHandler],
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self._tokens = tokens
        self._routes = routes
        self._is_ready = is_ready
        self._render_metrics = render_metrics

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Handle one request."""
        if request.path == "/healthz":
            await responder.send(200, (), b"ok\n")
        elif request.path == "/readyz":
            is_ready = self._is_ready()
            text = b"ready\n" if is_ready else b"no leader is known\n"
            await responder.send(200 if is_ready else 503, (), text)
        elif request.path == "/metrics":
            headers = (("Content-Type", "text/plain; version=0.0.4"),)
            await responder.send(200, headers, self._render_metrics())
        else:
            status, body = await self._build_response(request)
            await responder.send(status, JSON_HEADERS, msgspec.json.encode(body))

    async def _build_response(self, request: HttpRequest) -> tuple[int, object]:
        try:
            return 200, await self._dispatch(request)
        except AdminError as error:
            return error.status, ErrorResponse(error=error.report)
        except ControlError as error:
            report = ErrorReport(kind=error.kind, message=error.message)
            return 503, ErrorResponse(error=report)
        except DECODE_ERRORS as error:
            report = ErrorReport(kind="invalid", message=str(error))
            return 400, ErrorResponse(error=report)

    async def _dispatch(self, request: HttpRequest) -> object:
        operator = self._tokens.identify(request)
        if operator is None:
            raise AdminError(
                status=401,
                kind="unauthorized",
                message="no operator has this token; give it by --token or the "
                "variable CAROB_OPERATOR_TOKEN",
            )
        handler = self._routes.get((request.method, request.path))
        if handler is None:
            routes = ", ".join(f"{method} {path}" for method, path in self._routes)
            raise AdminError(
                status=404,
                kind="no_such_route",
                message=f"there is no {request.method} {request.path}; there are "
                f"{routes}",
            )
        query = parse_query(request.query)
        return await handler(
            AdminRequest(operator=operator, body=request.body, query=query)
        )


def parse_query(query: str) -> dict[str, str]:
    """Return the parameters of a query; of a repeated name the last value."""
    return dict(parse_qsl(query))
