"""Addresses of the system's own processes, by IP number and port."""

import ipaddress
from dataclasses import dataclass

from carobspring.domain.errors import InvalidValueError, check_range

EXPECTED = "an IP number and a port, like 10.0.0.1:7100"


@dataclass(frozen=True, kw_only=True)
class Address:
    """Where a process listens; prints as ``host:port``."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(field: str, text: str) -> Address:
    """Return the address of ``host:port``.

    Raises:
        InvalidValueError: The text is none; it names ``field``.
    """
    host, _, port = text.strip().rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise InvalidValueError(field=field, value=text, expected=EXPECTED) from error
    if not (port.isascii() and port.isdigit()):
        raise InvalidValueError(field=field, value=text, expected=EXPECTED)
    check_range(field, int(port), 1, 65535, "as the port")
    return Address(host=host, port=int(port))


def parse_addresses(field: str, text: str) -> tuple[Address, ...]:
    """Return the addresses of ``host:port,host:port``; none for empty text.

    Raises:
        InvalidValueError: An item is no address; it names ``field``.
    """
    items = (item.strip() for item in text.split(","))
    return tuple(parse_address(field, item) for item in items if item)
