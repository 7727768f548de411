"""A client of the admin API that goes on to the next replica."""

import http.client
import time
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from carobspring.control.reports import ErrorReport, ErrorResponse

ATTEMPT_TIMEOUT_S = 6.0
#: Seconds in which every replica is tried again and again.
TOTAL_TIMEOUT_S = 12.0
RETRY_INTERVAL_S = 0.25

Answer = TypeVar("Answer")


class ApiError(Exception):
    """The admin API refused a request.

    Args:
        status: The HTTP status.
        report: What it said.
    """

    def __init__(self, *, status: int, report: ErrorReport) -> None:
        super().__init__(report.message)
        self.status = status
        self.report = report


class UnreachableError(Exception):
    """No replica answered in time.

    Args:
        addresses: Those that were tried.
        reason: What the last one said.
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
    """Asks control replicas in turn until one answers.

    A request is sent again as it is, so changes carry an identifier by which
    a resend is known.
    """

    def __init__(self, *, addresses: tuple[str, ...], token: str) -> None:
        self._addresses = addresses
        self._token = token

    def get(
        self, path: str, answer_type: type[Answer], query: dict[str, str] | None = None
    ) -> Answer:
        """Return what a path answers, with the query's values given."""
        target = f"{path}?{urlencode(query)}" if query else path
        return self._ask("GET", target, None, answer_type)

    def post(self, path: str, body: object, answer_type: type[Answer]) -> Answer:
        """Send a body and return the answer."""
        return self._ask("POST", path, msgspec.json.encode(body), answer_type)

    def _ask(
        self, method: str, target: str, body: bytes | None, answer_type: type[Answer]
    ) -> Answer:
        deadline = time.monotonic() + TOTAL_TIMEOUT_S
        reason = ""
        while True:
            for address in self._addresses:
                try:
                    return self._ask_one(address, method, target, body, answer_type)
                except (OSError, http.client.HTTPException) as error:
                    reason = f"{address}: {error}"
                except ApiError as error:
                    if error.status != 503:
                        raise
                    reason = f"{address}: {error}"
            if time.monotonic() + RETRY_INTERVAL_S > deadline:
                raise UnreachableError(addresses=self._addresses, reason=reason)
            time.sleep(RETRY_INTERVAL_S)

    def _ask_one(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes | None,
        answer_type: type[Answer],
    ) -> Answer:
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
            raise ApiError(status=response.status, report=_read_error(content))
        return msgspec.json.decode(content, type=answer_type)


def _read_error(content: bytes) -> ErrorReport:
    try:
        return msgspec.json.decode(content, type=ErrorResponse).error
    except msgspec.MsgspecError:
        text = content[:200].decode(errors="replace")
        return ErrorReport(kind="unexpected", message=text)
