"""Parsing callers' requests and checking them against the settings."""

from dataclasses import dataclass

import msgspec
import xxhash

from carobspring.domain import (
    CallHeaders,
    ServiceClass,
    ServiceKind,
    Settings,
    Workspace,
    hash_request,
)
from carobspring.entry.errors import CallError
from carobspring.ports import HttpRequest

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICES_PREFIX = "/services/"
#: Length of the prompt prefix that the affinity hash covers.
AFFINITY_PREFIX_BYTES = 1024
MAX_IDEMPOTENCY_KEY_LENGTH = 256
#: Methods that HTTP defines as idempotent (RFC 9110, 9.2.2).
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})

#: Request headers that are not forwarded: hop-by-hop headers and those meant
#: for the entry only.
STRIPPED_REQUEST_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-carob-class",
        "x-carob-revision",
    }
)


class CompletionBody(msgspec.Struct):
    """The fields of a completion request that the entry reads."""

    model: str
    stream: bool | None = None
    messages: msgspec.Raw = msgspec.Raw(b"")
    prompt: msgspec.Raw = msgspec.Raw(b"")


COMPLETION_DECODER = msgspec.json.Decoder(CompletionBody)


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A parsed call of one caller."""

    workspace: Workspace
    service_class: ServiceClass
    kind: ServiceKind
    #: Name of the model or of the plain service.
    target: str
    method: str
    path: str
    headers: CallHeaders
    body: bytes
    stream: bool = False
    idempotency_key: str = ""
    #: Whether the call must run at most once.
    unique: bool = False
    request_hash: str = ""
    #: Hash of the idempotency key, or else of the start of the prompt; 0 if
    #: the call has neither.
    affinity: int = 0
    #: Time at which the entry received the call, in monotonic seconds.
    received_at: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Whether the call may run again after a run with unknown outcome."""
        if self.kind is ServiceKind.MODEL:
            return True
        return not self.unique and self.method in IDEMPOTENT_METHODS


def parse_call(
    request: HttpRequest, settings: Settings, workspace: Workspace, now: float
) -> CallerRequest:
    """Return the call described by an HTTP request.

    Raises:
        CallError: The path, a header, the method or the body is invalid.
    """
    key = _read_idempotency_key(request)
    service_class = _find_class(request, settings, workspace)
    headers = tuple(
        (name, value)
        for name, value in request.headers
        if name.lower() not in STRIPPED_REQUEST_HEADERS
    )
    if request.path in MODEL_PATHS:
        _check_method(request, "POST")
        body = _read_completion(request.body)
        prompt = bytes(body.messages) or bytes(body.prompt)
        return CallerRequest(
            workspace=workspace,
            service_class=service_class,
            kind=ServiceKind.MODEL,
            target=body.model,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            stream=bool(body.stream),
            idempotency_key=key,
            request_hash=hash_request(request.method, request.path, request.body),
            affinity=_hash_prefix(workspace.name, key.encode() or prompt),
            received_at=now,
        )
    name, path = split_service_path(request.path)
    service = settings.services.get(name)
    if service is None or service.kind is not ServiceKind.PLAIN:
        message = f"There is no plain service named {name!r}."
        raise CallError(code="service_not_found", message=message)
    unrepeatable = service.is_unrepeatable(request.method, path)
    if unrepeatable and not key:
        message = (
            "Calls to this route run at most once: send an Idempotency-Key "
            "header, and the same one when you ask again."
        )
        raise CallError(code="idempotency_key_needed", message=message)
    full_path = f"{path}?{request.query}" if request.query else path
    return CallerRequest(
        workspace=workspace,
        service_class=service_class,
        kind=ServiceKind.PLAIN,
        target=name,
        method=request.method,
        path=full_path,
        headers=headers,
        body=request.body,
        idempotency_key=key,
        unique=bool(key),
        request_hash=hash_request(request.method, full_path, request.body),
        received_at=now,
    )


def split_service_path(path: str) -> tuple[str, str]:
    """Return the service name and the rest of a ``/services/NAME/...`` path.

    Raises:
        CallError: The path has another form.
    """
    if not path.startswith(SERVICES_PREFIX):
        message = f"There is nothing at {path!r}."
        raise CallError(code="path_not_found", message=message)
    name, slash, rest = path[len(SERVICES_PREFIX) :].partition("/")
    return name, slash + rest if slash else "/"


def _read_completion(body: bytes) -> CompletionBody:
    try:
        return COMPLETION_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        message = f"The body is not a completion request: {error}"
        raise CallError(code="invalid_json", message=message) from error


def _find_class(
    request: HttpRequest, settings: Settings, workspace: Workspace
) -> ServiceClass:
    name = request.find_header("X-Carob-Class") or workspace.default_class
    service_class = settings.classes.get(name)
    if service_class is None:
        class_names = ", ".join(sorted(settings.classes))
        message = f"There is no class {name!r}; there are: {class_names}."
        raise CallError(code="unknown_class", message=message)
    return service_class


def _read_idempotency_key(request: HttpRequest) -> str:
    key = request.find_header("Idempotency-Key") or ""
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        message = "Idempotency-Key: send up to 256 printable characters."
        raise CallError(code="invalid_header", message=message)
    return key


def _check_method(request: HttpRequest, method: str) -> None:
    if request.method != method:
        message = f"Use {method} for {request.path!r}."
        raise CallError(code="method_not_allowed", message=message)


def _hash_prefix(workspace: str, prompt: bytes) -> int:
    if not prompt:
        return 0
    start = workspace.encode() + prompt[:AFFINITY_PREFIX_BYTES]
    return xxhash.xxh3_64_intdigest(start) or 1
