"""Errors of the value types."""


class DomainError(Exception):
    """The root of the errors that value types raise."""


class InvalidValueError(DomainError):
    """A value type was given a field that it can't take.

    Args:
        field: The name of the field, as the operator or caller knows it.
        value: What was given.
        expected: What would have been right, as a phrase with its unit.
    """

    def __init__(self, *, field: str, value: object, expected: str) -> None:
        super().__init__(f"{field}: got {value!r}, expected {expected}")
        self.field = field
        self.value = value
        self.expected = expected


def check_name(field: str, value: str) -> None:
    """Raise InvalidValueError unless the value is a plain identifier.

    Names go into paths, headers and metric labels, so only ASCII letters,
    digits, dots, dashes and underscores are taken, 1 to 63 of them.
    """
    allowed = value.replace("-", "").replace("_", "").replace(".", "")
    if not (1 <= len(value) <= 63 and allowed.isascii() and allowed.isalnum()):
        expected = "1 to 63 ASCII letters, digits, '.', '-' or '_'"
        raise InvalidValueError(field=field, value=value, expected=expected)


def check_range(field: str, value: float, low: float, high: float, unit: str) -> None:
    """Raise InvalidValueError unless low <= value <= high."""
    if not low <= value <= high:
        expected = f"{low} to {high} {unit}".rstrip()
        raise InvalidValueError(field=field, value=value, expected=expected)
