"""Errors of routing."""


class RoutingError(Exception):
    """The root of the errors that routing raises."""


class RoutingLimitError(RoutingError):
    """A limit of routing was given a value that it can't take.

    Args:
        name: The limit's name.
        value: What was given.
        expected: What would have been right.
    """

    def __init__(self, *, name: str, value: float, expected: str) -> None:
        super().__init__(f"{name}: got {value}, expected {expected}")
        self.name = name
        self.value = value
        self.expected = expected
