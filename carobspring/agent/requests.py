"""Construction of the request to the backend server for a call."""

import msgspec

from carobspring.domain import ServiceKind
from carobspring.ports import BackendRequest
from carobspring.protocol import RunCall

FENCING_HEADER = "X-Carob-Fencing-Token"

_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


def build_backend_request(
    call: RunCall, *, kind: ServiceKind, engine_priority: int
) -> BackendRequest:
    """Return the request of a call with its priority and fencing token.

    A fencing header from the caller is dropped, and a ``priority`` in the
    body of a request to a model is replaced, because only the system may set
    them.
    """
    headers = tuple(
        header for header in call.headers if header[0].lower() != FENCING_HEADER.lower()
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
    """Return a JSON object with its priority set and the rest unchanged.

    A body that is not a JSON object is returned as it is.
    """
    try:
        fields = _decoder.decode(body)
    except msgspec.DecodeError:
        return body
    fields["priority"] = msgspec.Raw(str(priority).encode())
    return msgspec.json.encode(fields)
