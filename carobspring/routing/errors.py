"""Errors that routing raises."""


class RoutingError(Exception):
    """Base class of the errors that routing raises."""


class RoutingLimitError(RoutingError):
    """A routing limit has a value outside its valid range.

    Args:
        name: Name of the limit.
        value: The invalid value.
        expected: Description of the valid values.
    """

    def __init__(self, *, name: str, value: float, expected: str) -> None:
        super().__init__(f"{name}: got {value}, expected {expected}")
        self.name = name
        self.value = value
        self.expected = expected
