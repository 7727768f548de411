"""Headers of callers' requests and of backend servers' responses."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from carobspring.domain import CallHeaders, ServerLoad

_REQUEST_ID: Final = "carobspring-attempt-id"
_DEADLINE: Final = "carobspring-deadline-ms"
_TOKEN_USAGE: Final = "carobspring-token-usage"
_PROMPT_PREFIX: Final = "carobspring-prefix-hash"
_OUTPUT_LENGTH_HINT: Final = "carobspring-output-length-hint"
_LAST_EVENT_ID: Final = "last-event-id"
_RESUMED_REQUEST: Final = "resumes"
_AUTHORIZATION: Final = "authorization"
_EXPECTED_SERVER: Final = "Carobspring-Expected-Instance"
_WORKSPACE: Final = "Carobspring-Tenant"
_PRIORITY: Final = "Carobspring-Request-Priority"
_PROMPT_SOURCE: Final = "Kv-Fetch"
_RATE_LIMIT: Final = "server-limit"
_LEAVING: Final = "server-leaving"
_RETRY_AFTER: Final = "retry-after"
_SERVER_LOAD: Final = "carobspring-upstream-load"
#: Figures of a load that must be there, and those that are read. Servers may
#: append others.
_REQUIRED_LOAD_FIGURES: Final = 3
_READ_LOAD_FIGURES: Final = 4
#: The fourth figure of a load on a host whose work takes as long as usual.
_USUAL_PERCENT: Final = 100.0
#: Ranks that engines tell apart, from 0 on.
PRIORITY_LEVELS: Final = 10
#: Digits of a number in a header; one with more is malformed.
_MAX_DIGITS: Final = 15
_BEARER_PREFIX: Final = "bearer "

#: Headers that only this system may set. They are removed from callers'
#: requests, whatever the case of their names.
_SYSTEM_HEADERS: Final = frozenset(
    {
        _AUTHORIZATION,
        _DEADLINE,
        _EXPECTED_SERVER.lower(),
        _WORKSPACE.lower(),
        _PRIORITY.lower(),
        "carobspring-expected-version",
        "carobspring-cache-pin-ms",
        "carobspring-cache-retention",
        "carobspring-kv-replica",
        "kv-from",
        "kv-fetch",
    }
)


#: Headers that reach the other end whatever a ``Connection`` header says, in
#: lower case: those that the system sets, and those that both ends rely on.
END_TO_END_HEADERS: Final = _SYSTEM_HEADERS | {
    _REQUEST_ID,
    _TOKEN_USAGE,
    _PROMPT_PREFIX,
    _OUTPUT_LENGTH_HINT,
    _LAST_EVENT_ID,
    _RESUMED_REQUEST,
    _RATE_LIMIT,
    _LEAVING,
    _RETRY_AFTER,
    "carobspring-model",
    "carobspring-not-executed",
    "carobspring-upstream-instance",
    _SERVER_LOAD,
    "carobspring-upstream-signature",
    "carobspring-weight-versions",
    "content-encoding",
    "content-type",
}


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt's prefix that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class RequestMetadata:
    """What the headers of a caller's request say about it."""

    request_id: str = ""
    host: str = ""
    api_key: str = ""
    #: Time for which the caller waits; zero if it gives none.
    timeout_ms: float = 0.0
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    #: The caller's estimate of the output; zero if it gives none.
    expected_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    #: The event after which the stream resumes; empty for a new stream.
    last_event_id: str = ""
    #: The request that brought the first event of the stream that resumes;
    #: empty if the caller names none. Several different ones are joined, which
    #: names no stream.
    resumed_request_id: str = ""


@dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """What the status and headers of a backend server's response say."""

    #: The request that is answered; empty if none is named. Several different
    #: ones are joined, which names no request.
    request_id: str = ""
    #: Proves that a backend server generated the response.
    signature: str = ""
    #: True if the server reports that it has not run the request.
    not_run: bool = False
    #: The load of the server, or None if the response reports none.
    load: ServerLoad | None = None
    is_event_stream: bool = False
    #: Requests a second that the server takes from all instances together for
    #: now; None if it announces no limit.
    rate_limit: float | None = None
    #: True if the server is about to leave and wants no further requests.
    is_leaving: bool = False
    #: True if the server turned the request away and asks for rest.
    asks_for_rest: bool = False
    #: Seconds for which it wants no requests from this instance; None if what
    #: it names is no number.
    rest_s: float | None = None
    #: True if the server closes the connection after this response.
    closes_connection: bool = False


def parse_request_headers(headers: CallHeaders) -> RequestMetadata:
    """Parse the headers of a request; malformed values are ignored."""
    values = {name.lower(): value.strip() for name, value in headers}
    resumed = {v.strip() for name, v in headers if name.lower() == _RESUMED_REQUEST}
    authorization = values.get(_AUTHORIZATION, "")
    api_key = ""
    if authorization.lower().startswith(_BEARER_PREFIX):
        api_key = authorization[len(_BEARER_PREFIX) :].strip()
    tokens = _parse_integers(values.get(_TOKEN_USAGE, ""))
    return RequestMetadata(
        request_id=values.get(_REQUEST_ID, ""),
        host=values.get("host", ""),
        api_key=api_key,
        timeout_ms=_parse_positive_number(values.get(_DEADLINE, "")),
        prompt_tokens=tokens[0] if tokens else 0,
        max_output_tokens=tokens[1] if len(tokens) > 1 else 0,
        expected_output_tokens=int(
            _parse_positive_number(values.get(_OUTPUT_LENGTH_HINT, ""))
        ),
        prompt_parts=_parse_prompt_parts(values.get(_PROMPT_PREFIX, "")),
        last_event_id=values.get(_LAST_EVENT_ID, ""),
        resumed_request_id=",".join(sorted(resumed)),
    )


def build_backend_headers(
    headers: CallHeaders,
    *,
    server_id: str,
    workspace: str,
    remaining_ms: float,
    priority: int | None,
    last_event_id: str = "",
    prompt_source: str = "",
) -> CallHeaders:
    """Return the headers of a request that is sent to a backend server.

    Args:
        headers: The caller's headers, without hop-by-hop headers.
        server_id: The only server that may run the request.
        workspace: The workspace that owns the caller's key; may be empty.
        remaining_ms: Time until the deadline of the request.
        priority: Rank at the engine, 0 first; None for plain services.
        last_event_id: The event after which a stream resumes, or empty.
        prompt_source: Address of a server to copy cached prompt parts from.
    """
    removed_names = (
        _SYSTEM_HEADERS | {_LAST_EVENT_ID} if last_event_id else _SYSTEM_HEADERS
    )
    backend_headers = [pair for pair in headers if pair[0].lower() not in removed_names]
    backend_headers.append(("Carobspring-Deadline-Ms", str(max(1, int(remaining_ms)))))
    backend_headers.append((_EXPECTED_SERVER, server_id))
    if workspace:
        backend_headers.append((_WORKSPACE, workspace))
    if priority is not None:
        rank = max(0, min(PRIORITY_LEVELS - 1, priority))
        backend_headers.append((_PRIORITY, str(rank)))
    if last_event_id:
        backend_headers.append(("Last-Event-Id", last_event_id))
    if prompt_source:
        backend_headers.append((_PROMPT_SOURCE, prompt_source))
    return tuple(backend_headers)


def parse_response_headers(status: int, headers: CallHeaders) -> ResponseMetadata:
    """Parse the status and headers of a backend server's response."""
    values = {name.lower(): value.strip() for name, value in headers}
    request_ids = {v.strip() for name, v in headers if name.lower() == _REQUEST_ID}
    # A server with another identifier responds 421 and does not run it.
    not_run = status == 421 or "carobspring-not-executed" in values
    media_type = values.get("content-type", "").partition(";")[0]
    return ResponseMetadata(
        request_id=",".join(sorted(request_ids)),
        signature=values.get("carobspring-upstream-signature", ""),
        not_run=not_run and status >= 400,
        load=_parse_load(values.get(_SERVER_LOAD, "")),
        is_event_stream=media_type.strip().lower() == "text/event-stream",
        rate_limit=_parse_rate_limit(values.get(_RATE_LIMIT, "")),
        is_leaving=values.get(_LEAVING, "") == "1",
        asks_for_rest=status == 503 and _RETRY_AFTER in values,
        rest_s=_parse_finite_number(values.get(_RETRY_AFTER, "")),
        closes_connection="close" in values.get("connection", "").lower(),
    )


def build_error_headers(*, request_id: str, retry_after_s: float | None) -> CallHeaders:
    """Return the headers of an error response of the gateway itself."""
    headers = [("Content-Type", "application/json")]
    if request_id:
        headers.append(("Carobspring-Attempt-Id", request_id))
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    return tuple(headers)


def _parse_load(text: str) -> ServerLoad | None:
    """Parse a load of three or more figures; the rest is optional.

    A fourth figure that can't be used doesn't invalidate the others: placement
    needs those, and a server may report no speed at times.
    """
    figures = text.split(",", _READ_LOAD_FIGURES)[:_READ_LOAD_FIGURES]
    counts = [figure.strip() for figure in figures[:_REQUIRED_LOAD_FIGURES]]
    if len(counts) < _REQUIRED_LOAD_FIGURES or not all(map(_is_number, counts)):
        return None
    percent = 0.0
    if len(figures) > _REQUIRED_LOAD_FIGURES:
        percent = _parse_positive_number(figures[_REQUIRED_LOAD_FIGURES])
    return ServerLoad(
        running=int(counts[0]),
        waiting=int(counts[1]),
        slots=int(counts[2]),
        slowdown=percent / _USUAL_PERCENT if percent else None,
    )


def _parse_positive_number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0 < value < 1e12 else 0.0


def _parse_rate_limit(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e9 else None


def _parse_finite_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None


def _parse_integers(text: str) -> Sequence[int]:
    parts = [part.strip() for part in text.split(",")]
    if not all(_is_number(part) for part in parts):
        return ()
    return [int(part) for part in parts]


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in filter(None, (item.strip() for item in text.split(","))):
        part_id, _, tokens = item.partition(":")
        if not _is_number(tokens):
            return ()
        parts.append(PromptPart(part_id=part_id, tokens=int(tokens)))
    return tuple(parts)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
