"""Headers of callers' requests and of backend servers' answers."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from carobspring.domain import CallHeaders

_REQUEST_ID: Final = "carobspring-attempt-id"
_DEADLINE: Final = "carobspring-deadline-ms"
_TOKENS: Final = "carobspring-token-usage"
_PREFIX: Final = "carobspring-prefix-hash"
_LENGTH_HINT: Final = "carobspring-output-length-hint"
_LAST_EVENT: Final = "last-event-id"
_AUTHORIZATION: Final = "authorization"
_EXPECTED: Final = "Carobspring-Expected-Instance"
_WORKSPACE: Final = "Carobspring-Tenant"
_PRIORITY: Final = "Carobspring-Request-Priority"
_PROMPT_SOURCE: Final = "Kv-Fetch"
_LEAST_PRIORITY: Final = 9
_SCHEME: Final = "bearer "

#: What the system alone sets; a caller's own are dropped, in any case.
_SYSTEM_HEADERS: Final = frozenset(
    {
        _AUTHORIZATION,
        _DEADLINE,
        _EXPECTED.lower(),
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


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class RequestMetadata:
    """What a caller says of its request besides method, path and body."""

    request_id: str = ""
    host: str = ""
    api_key: str = ""
    #: Milliseconds that the caller waits; zero when it does not say.
    timeout_ms: float = 0.0
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    #: The caller's guess of the output; zero when it gives none.
    expected_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    #: The event after which a stream goes on; empty for one from its start.
    last_event_id: str = ""


@dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """What a backend server says beside its answer."""

    request_id: str = ""
    #: Proves that a backend server made the answer.
    signature: str = ""
    #: True when the server says that it has not run the request.
    not_run: bool = False
    #: Requests running and waiting there, and its slots; None if not told.
    load: tuple[int, int, int] | None = None
    is_event_stream: bool = False
    #: The server ends the connection after this answer.
    closes_connection: bool = False


def parse_request_headers(headers: CallHeaders) -> RequestMetadata:
    """Return what the headers of a request say; malformed ones say nothing."""
    values = {name.lower(): value.strip() for name, value in headers}
    authorization = values.get(_AUTHORIZATION, "")
    api_key = ""
    if authorization.lower().startswith(_SCHEME):
        api_key = authorization[len(_SCHEME) :].strip()
    tokens = _read_numbers(values.get(_TOKENS, ""))
    return RequestMetadata(
        request_id=values.get(_REQUEST_ID, ""),
        host=values.get("host", ""),
        api_key=api_key,
        timeout_ms=_read_number(values.get(_DEADLINE, "")),
        prompt_tokens=tokens[0] if tokens else 0,
        max_output_tokens=tokens[1] if len(tokens) > 1 else 0,
        expected_output_tokens=int(_read_number(values.get(_LENGTH_HINT, ""))),
        prompt_parts=_read_parts(values.get(_PREFIX, "")),
        last_event_id=values.get(_LAST_EVENT, ""),
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
    """Return the headers of a request as it goes to a backend server.

    Args:
        headers: The caller's, without those of one connection.
        server_id: The server that alone may run it.
        workspace: The workspace that holds the caller's key; may be empty.
        left_ms: Time that is left to the caller.
        priority: Rank at the engine, 0 first; None for plain services.
        last_event_id: Set where a stream goes on after this event.
        prompt_source: Address of a server to copy the prompt's parts from.
    """
    dropped = _SYSTEM_HEADERS | {_LAST_EVENT} if last_event_id else _SYSTEM_HEADERS
    kept = [pair for pair in headers if pair[0].lower() not in dropped]
    kept.append(("Carobspring-Deadline-Ms", str(max(1, int(remaining_ms)))))
    kept.append((_EXPECTED, server_id))
    if workspace:
        kept.append((_WORKSPACE, workspace))
    if priority is not None:
        rank = max(0, min(_LEAST_PRIORITY, priority))
        kept.append((_PRIORITY, str(rank)))
    if last_event_id:
        kept.append(("Last-Event-Id", last_event_id))
    if prompt_source:
        kept.append((_PROMPT_SOURCE, prompt_source))
    return tuple(kept)


def parse_response_headers(status: int, headers: CallHeaders) -> ResponseMetadata:
    """Return what the head of a backend server's answer says."""
    values = {name.lower(): value.strip() for name, value in headers}
    load = _read_numbers(values.get("carobspring-upstream-load", ""))
    # A server of another identity says by 421 that it has not run it.
    not_run = status == 421 or "carobspring-not-executed" in values
    media_type = values.get("content-type", "").partition(";")[0]
    return ResponseMetadata(
        request_id=values.get(_REQUEST_ID, ""),
        signature=values.get("carobspring-upstream-signature", ""),
        not_run=not_run and status >= 400,
        load=(load[0], load[1], load[2]) if len(load) == 3 else None,
        is_event_stream=media_type.strip().lower() == "text/event-stream",
        closes_connection="close" in values.get("connection", "").lower(),
    )


def build_error_headers(*, request_id: str, retry_after_s: float | None) -> CallHeaders:
    """Return the headers of an answer of the system's own."""
    headers = [("Content-Type", "application/json")]
    if request_id:
        headers.append(("Carobspring-Attempt-Id", request_id))
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    return tuple(headers)


def _read_number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0 < value < 1e12 else 0.0


def _read_numbers(text: str) -> Sequence[int]:
    parts = [part.strip() for part in text.split(",")]
    if not all(part.isascii() and part.isdigit() for part in parts):
        return ()
    return [int(part) for part in parts]


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in filter(None, (item.strip() for item in text.split(","))):
        part_id, _, tokens = item.partition(":")
        if not (tokens.isascii() and tokens.isdigit()):
            return ()
        parts.append(PromptPart(part_id=part_id, tokens=int(tokens)))
    return tuple(parts)
