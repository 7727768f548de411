"""The errors returned to callers and their JSON representation."""

from dataclasses import dataclass
from typing import Final

import msgspec

from carobspring.domain import CallHeaders, RunStatus


@dataclass(frozen=True, kw_only=True)
class ErrorKind:
    """The HTTP status and the type shared by all errors with one code."""

    status: int
    #: The ``type`` in the JSON body, as in errors of the OpenAI API.
    type: str


INVALID: Final = "invalid_request_error"
SERVER: Final = "server_error"
OVERLOADED: Final = "overloaded_error"

ERROR_KINDS: Final = {
    "invalid_api_key": ErrorKind(status=401, type="authentication_error"),
    "model_not_found": ErrorKind(status=404, type=INVALID),
    "service_not_found": ErrorKind(status=404, type=INVALID),
    "path_not_found": ErrorKind(status=404, type=INVALID),
    "method_not_allowed": ErrorKind(status=405, type=INVALID),
    "unknown_class": ErrorKind(status=400, type=INVALID),
    "invalid_json": ErrorKind(status=400, type=INVALID),
    "invalid_header": ErrorKind(status=400, type=INVALID),
    "idempotency_key_needed": ErrorKind(status=400, type=INVALID),
    "idempotency_conflict": ErrorKind(status=422, type=INVALID),
    "request_quarantined": ErrorKind(status=422, type=INVALID),
    "workspace_limit": ErrorKind(status=429, type="rate_limit_error"),
    "overloaded": ErrorKind(status=503, type=OVERLOADED),
    "no_backend": ErrorKind(status=503, type=OVERLOADED),
    "settings_behind": ErrorKind(status=503, type=SERVER),
    "not_ready": ErrorKind(status=503, type=SERVER),
    "claim_unavailable": ErrorKind(status=503, type=SERVER),
    "still_running": ErrorKind(status=409, type=SERVER),
    "outcome_unknown": ErrorKind(status=409, type=SERVER),
    "answer_not_kept": ErrorKind(status=410, type=SERVER),
    "backend_lost": ErrorKind(status=502, type=SERVER),
    "internal": ErrorKind(status=500, type=SERVER),
}


class CallError(Exception):
    """A call ended without a response from the backend server.

    Args:
        code: A key of ``ERROR_KINDS``; stable, for programs.
        message: What happened and what to do, for people.
        ran: Whether the call ran.
        retry_after_ms: Delay after which a retry may succeed; zero if
            unknown.
        reason: The reason given by the agent, if any.
    """

    def __init__(
        self,
        *,
        code: str,
        message: str,
        ran: RunStatus = RunStatus.NOT_RUN,
        retry_after_ms: int = 0,
        reason: str = "",
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.ran = ran
        self.retry_after_ms = retry_after_ms
        self.reason = reason

    @property
    def status(self) -> int:
        """The HTTP status of the error response."""
        return ERROR_KINDS[self.code].status

    def build_headers(self) -> CallHeaders:
        """Return the headers of the error response."""
        headers: CallHeaders = (("Content-Type", "application/json"),)
        if self.retry_after_ms:
            seconds = -(-self.retry_after_ms // 1000)
            headers += (
                ("Retry-After", str(seconds)),
                ("Retry-After-Ms", str(self.retry_after_ms)),
            )
        return headers

    def build_body(self) -> bytes:
        """Return the JSON body of the error response."""
        error: dict[str, object] = {
            "message": self.message,
            "type": ERROR_KINDS[self.code].type,
            "code": self.code,
            "param": None,
            "ran": self.ran.value,
        }
        if self.retry_after_ms:
            error["retry_after_ms"] = self.retry_after_ms
        if self.reason:
            error["reason"] = self.reason
        return msgspec.json.encode({"error": error})
