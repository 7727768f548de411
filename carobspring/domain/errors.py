"""Errors and checks of the value types."""


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
