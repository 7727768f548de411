"""Network addresses of the system's own processes."""

import functools
import ipaddress
import re
from dataclasses import dataclass
from typing import Final

from carobspring.domain.errors import MAX_TEXT_LENGTH, InvalidValueError, check_range

EXPECTED_ADDRESS = "an IP number and a port, like 10.0.0.1:7100"
MAX_PORT_DIGITS: Final = 5
HOST_NAME: Final = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?")


@dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and port; its string form is ``host:port``."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(field: str, text: str) -> Address:
    """Parse an address of the form ``host:port``.

    An IP address of the sixth version stands in brackets.

    Raises:
        InvalidValueError: The text is not an IP address and a port. The
            error names ``field``.
    """
    text = text.strip()
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not (_is_host(host) and is_port):
        value = text[:MAX_TEXT_LENGTH]
        raise InvalidValueError(field=field, value=value, expected=EXPECTED_ADDRESS)
    check_range(field, int(port), 1, 65535, "as the port")
    return Address(host=host, port=int(port))


def check_host(field: str, host: str) -> None:
    """Raise InvalidValueError unless the text names a host.

    That is an IP address, one of the sixth version with brackets or without,
    or a host name.
    """
    is_name = len(host) <= MAX_TEXT_LENGTH and HOST_NAME.fullmatch(host)
    if not (is_name or _is_host(host) or _is_host(f"[{host}]")):
        value = host[:MAX_TEXT_LENGTH]
        raise InvalidValueError(field=field, value=value, expected="a host")


def parse_addresses(field: str, text: str) -> tuple[Address, ...]:
    """Parse addresses separated by commas; empty text gives no addresses.

    Raises:
        InvalidValueError: An item is not an address. The error names
            ``field``.
    """
    items = (item.strip() for item in text.split(","))
    return tuple(parse_address(field, item) for item in items if item)


@functools.lru_cache(maxsize=10_000)
def _is_host(host: str) -> bool:
    try:
        if host.startswith("[") and host.endswith("]"):
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
