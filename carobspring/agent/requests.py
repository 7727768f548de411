"""The request that goes to the backend server for a call."""

import msgspec

from carobspring.domain import ServiceKind
from carobspring.ports import BackendRequest
from carobspring.protocol import RunCall

FENCING_HEADER = "X-Carob-Fencing-Token"

_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


def build_backend_request(
    call: RunCall, *, kind: ServiceKind, engine_priority: int
) -> BackendRequest:
    """Return the request of a call, with its priority and fencing token.

    A caller's own fencing header is dropped, and so is its own ``priority``
    in the body of a model's request: both are the system's to set.
    """
    headers = tuple(
        pair for pair in call.headers if pair[0].lower() != FENCING_HEADER.lower()
    )
    if call.claim:
        headers += ((FENCING_HEADER, str(call.claim)),)
    body = call.body
    if kind is ServiceKind.MODEL and body.lstrip()[:1] == b"{":
        body = add_priority(body, engine_priority)
    return BackendRequest(
        method=call.method, path=call.path, headers=headers, body=body
    )


def add_priority(body: bytes, priority: int) -> bytes:
    """Return a JSON object with this priority, its other values untouched."""
    try:
        fields = _decoder.decode(body)
    except msgspec.DecodeError:
        return body
    fields["priority"] = msgspec.Raw(str(priority).encode())
    return msgspec.json.encode(fields)
