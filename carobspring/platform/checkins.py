"""Decoding of the check-ins by which backend servers register themselves."""

from dataclasses import dataclass
from typing import Any, Final

import msgspec

from carobspring.domain import (
    FINAL_SEQUENCE,
    BackendServer,
    InvalidValueError,
    LoadReport,
    ServiceKind,
    parse_address,
)
from carobspring.protocol import DECODE_ERRORS

#: Bytes of a check-in. A model server's has some hundred, and a few more for
#: each of its adapters.
MAX_CHECK_IN_BYTES: Final = 64 * 1024
READY = "ready"
DRAINING = "draining"


class _Registration(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    #: Sequence number; increases with each check-in since the server's start.
    seq: int
    #: Unix time of the server's start in ms, always a whole number.
    born: int
    #: Version of the software; the models have their own.
    version: str = ""
    #: Time for which the server will still be slow after its start.
    cold_left_ms: float = 0.0
    #: The generation phase that a model engine serves; absent for plain
    #: services.
    phase: str | None = None
    models: list[Any] | None = None


@dataclass(frozen=True, kw_only=True)
class CheckIn:
    """The address and state that a backend server reports about itself."""

    server: BackendServer
    load: LoadReport


def decode_check_in(server_id: str, body: bytes) -> CheckIn:
    """Decode a check-in.

    Raises:
        InvalidValueError: The body is unreadable or was not written by a
            backend server, so it names no server.
    """
    if len(body) > MAX_CHECK_IN_BYTES:
        expected = f"up to {MAX_CHECK_IN_BYTES} bytes"
        raise InvalidValueError(field="check-in", value=server_id, expected=expected)
    try:
        registration = msgspec.json.decode(body, type=_Registration)
    except DECODE_ERRORS as error:
        raise InvalidValueError(
            field="check-in", value=server_id, expected=str(error)
        ) from error
    if registration.state not in (READY, DRAINING):
        raise InvalidValueError(
            field="state", value=registration.state, expected=f"{READY} or {DRAINING}"
        )
    address = parse_address("address", registration.address)
    is_model = registration.phase is not None or registration.models is not None
    server = BackendServer(
        server_id=server_id,
        boot=registration.born,
        service=registration.service,
        kind=ServiceKind.MODEL if is_model else ServiceKind.PLAIN,
        zone=registration.zone,
        host=address.host,
        port=address.port,
        slots=registration.slots,
        software_version=registration.version,
    )
    if registration.seq >= FINAL_SEQUENCE:
        raise InvalidValueError(
            field="seq", value=registration.seq, expected=f"less than {FINAL_SEQUENCE}"
        )
    draining = registration.state == DRAINING
    load = LoadReport(
        sequence=registration.seq, limit=registration.slots, draining=draining
    )
    return CheckIn(server=server, load=load)


def encode_check_in_response() -> bytes:
    """Return the body of the response that confirms a check-in."""
    return b"{}"
