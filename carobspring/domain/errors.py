"""Errors and checks of the value types."""

from typing import Final


class DomainError(Exception):
    """The base class of the errors raised by value types."""


class InvalidValueError(DomainError):
    """A field of a value type has an invalid value.

    Args:
        field: The name of the field, as the operator or caller knows it.
        value: The invalid value.
        expected: A description of the valid values, with their unit.
    """

    def __init__(self, *, field: str, value: object, expected: str) -> None:
        super().__init__(f"{field}: got {value!r}, expected {expected}")
        self.field = field
        self.value = value
        self.expected = expected


#: Longest text that another process may give for a version or the like.
MAX_TEXT_LENGTH: Final = 256
#: Largest counter that every encoding and reader of the system can carry.
MAX_COUNTER: Final = 2**63 - 1


def check_name(field: str, value: str) -> None:
    """Raise InvalidValueError unless the value is a valid name.

    Names are used in paths, headers and metric labels, so a name consists of
    1 to 63 ASCII letters, digits, dots, dashes and underscores.
    """
    letters = value.replace("-", "").replace("_", "").replace(".", "")
    if not (1 <= len(value) <= 63 and letters.isascii() and letters.isalnum()):
        expected = "1 to 63 ASCII letters, digits, '.', '-' or '_'"
        raise InvalidValueError(field=field, value=value, expected=expected)


def check_range(field: str, value: float, low: float, high: float, unit: str) -> None:
    """Raise InvalidValueError unless low <= value <= high."""
    if not low <= value <= high:
        expected = f"{low} to {high} {unit}".rstrip()
        raise InvalidValueError(field=field, value=value, expected=expected)


def check_text(field: str, value: str) -> None:
    """Raise InvalidValueError unless the value is a short, printable text."""
    if not (len(value) <= MAX_TEXT_LENGTH and value.isprintable()):
        expected = f"up to {MAX_TEXT_LENGTH} printable characters"
        value = value[:MAX_TEXT_LENGTH]
        raise InvalidValueError(field=field, value=value, expected=expected)


def check_counter(field: str, value: int) -> None:
    """Raise InvalidValueError unless the value is a counter of 63 bits."""
    check_range(field, value, 0, MAX_COUNTER, "")
