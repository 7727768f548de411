"""Network addresses of the system's own processes."""

import ipaddress
from dataclasses import dataclass

from carobspring.domain.errors import InvalidValueError, check_range

EXPECTED_ADDRESS = "an IP number and a port, like 10.0.0.1:7100"


@dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and port; its string form is ``host:port``."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(field: str, text: str) -> Address:
    """Parse an address of the form ``host:port``.

    Raises:
        InvalidValueError: The text is not an IP address and a port. The
            error names ``field``.
    """
    host, _, port = text.strip().rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise InvalidValueError(
            field=field, value=text, expected=EXPECTED_ADDRESS
        ) from error
    if not (port.isascii() and port.isdigit()):
        raise InvalidValueError(field=field, value=text, expected=EXPECTED_ADDRESS)
    check_range(field, int(port), 1, 65535, "as the port")
    return Address(host=host, port=int(port))


def parse_addresses(field: str, text: str) -> tuple[Address, ...]:
    """Parse addresses separated by commas; empty text gives no addresses.

    Raises:
        InvalidValueError: An item is not an address. The error names
            ``field``.
    """
    items = (item.strip() for item in text.split(","))
    return tuple(parse_address(field, item) for item in items if item)
