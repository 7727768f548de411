"""What backend servers say of themselves when they check in."""

from dataclasses import dataclass
from typing import Any

import msgspec

from carobspring.domain import (
    BackendServer,
    InvalidValueError,
    LoadReport,
    ServiceKind,
    parse_address,
)

READY = "ready"
DRAINING = "draining"


class _Registration(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    #: Grows with each call of one start.
    seq: int
    #: Unix time of the start in ms, always a whole number.
    born: int
    version: str = ""
    #: Time for which the server remains slow after its start.
    cold_left_ms: float = 0.0
    #: The stage of generation that a model engine does; absent elsewhere.
    phase: str | None = None
    models: list[Any] | None = None


@dataclass(frozen=True, kw_only=True)
class CheckIn:
    """A backend server's own word on its place and state."""

    server: BackendServer
    load: LoadReport


def decode_check_in(server_id: str, body: bytes) -> CheckIn:
    """Return a check-in.

    Raises:
        InvalidValueError: Another writer's, or unreadable: it names no server.
    """
    try:
        told = msgspec.json.decode(body, type=_Registration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidValueError(
            field="check-in", value=server_id, expected=str(error)
        ) from error
    if told.state not in (READY, DRAINING):
        raise InvalidValueError(
            field="state", value=told.state, expected=f"{READY} or {DRAINING}"
        )
    address = parse_address("address", told.address)
    is_model = told.phase is not None or told.models is not None
    server = BackendServer(
        server_id=server_id,
        boot=told.born,
        service=told.service,
        kind=ServiceKind.MODEL if is_model else ServiceKind.PLAIN,
        zone=told.zone,
        host=address.host,
        port=address.port,
        slots=told.slots,
    )
    draining = told.state == DRAINING
    load = LoadReport(sequence=told.seq, limit=told.slots, draining=draining)
    return CheckIn(server=server, load=load)


def encode_check_in_response() -> bytes:
    """Return the body of an answer that confirms a check-in."""
    return b"{}"
