"""A client of the admin API with failover between control replicas."""

import http.client
import time
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from carobspring.control.reports import ErrorReport, ErrorResponse

ATTEMPT_TIMEOUT_S = 6.0
#: Seconds until the client gives up after retrying all replicas.
TOTAL_TIMEOUT_S = 12.0
RETRY_INTERVAL_S = 0.25

Response = TypeVar("Response")


class ApiError(Exception):
    """The admin API responded with an error.

    Args:
        status: The HTTP status.
        report: The error in the body of the response.
    """

    def __init__(self, *, status: int, report: ErrorReport) -> None:
        super().__init__(report.message)
        self.status = status
        self.report = report


class UnreachableError(Exception):
    """No replica responded in time.

    Args:
        addresses: The addresses of the replicas that were tried.
        reason: The error of the last attempt.
    """

    def __init__(self, *, addresses: tuple[str, ...], reason: str) -> None:
        tried = ", ".join(addresses)
        super().__init__(
            f"no control replica answered ({tried}): {reason}; check --admin or "
            "CAROB_ADMIN"
        )
        self.addresses = addresses
        self.reason = reason


class AdminClient:
    """Sends requests to the control replicas in turn until one succeeds.

    A failed request is resent unchanged. A change therefore contains an
    identifier by which replicas detect that it was resent.
    """

    def __init__(self, *, addresses: tuple[str, ...], token: str) -> None:
        self._addresses = addresses
        self._token = token

    def get(
        self,
        path: str,
        response_type: type[Response],
        query: dict[str, str] | None = None,
    ) -> Response:
        """Send a GET request and return the decoded response."""
        target = f"{path}?{urlencode(query)}" if query else path
        return self._request("GET", target, None, response_type)

    def post(self, path: str, body: object, response_type: type[Response]) -> Response:
        """Send a POST request and return the decoded response."""
        return self._request("POST", path, msgspec.json.encode(body), response_type)

    def _request(
        self,
        method: str,
        target: str,
        body: bytes | None,
        response_type: type[Response],
    ) -> Response:
        deadline = time.monotonic() + TOTAL_TIMEOUT_S
        reason = ""
        while True:
            for address in self._addresses:
                try:
                    return self._request_replica(
                        address, method, target, body, response_type
                    )
                except (OSError, http.client.HTTPException) as error:
                    reason = f"{address}: {error}"
                except ApiError as error:
                    if error.status != 503:
                        raise
                    reason = f"{address}: {error}"
            if time.monotonic() + RETRY_INTERVAL_S > deadline:
                raise UnreachableError(addresses=self._addresses, reason=reason)
            time.sleep(RETRY_INTERVAL_S)

    def _request_replica(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes | None,
        response_type: type[Response],
    ) -> Response:
        connection = http.client.HTTPConnection(address, timeout=ATTEMPT_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self._token}"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            connection.request(method, target, body, headers)
            response = connection.getresponse()
            content = response.read()
        finally:
            connection.close()
        if response.status != 200:
            raise ApiError(status=response.status, report=_parse_error(content))
        return msgspec.json.decode(content, type=response_type)


def _parse_error(content: bytes) -> ErrorReport:
    try:
        return msgspec.json.decode(content, type=ErrorResponse).error
    except msgspec.MsgspecError:
        text = content[:200].decode(errors="replace")
        return ErrorReport(kind="unexpected", message=text)
