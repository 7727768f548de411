"""Validated options of a program, from flags and environment variables.

A program declares a frozen data class. Each field is a flag of the same name
and an environment variable: ``CAROB_`` plus the name in capitals. A flag takes
precedence over the variable, the variable over the default. Field metadata of
msgspec (``Annotated[int, Meta(ge=1, le=65535)]``) defines the range.
"""

import dataclasses
import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, TypeVar, get_type_hints

import msgspec

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

VARIABLE_PREFIX = "CAROB_"

#: Secret options; no error message, page or log line shows their values.
SECRET_OPTIONS = frozenset({"secret", "operator_token", "operators"})

Options = TypeVar("Options", bound="DataclassInstance")


class OptionError(Exception):
    """A flag or variable is unknown, missing or invalid.

    Args:
        name: The name of the option.
        source: The source of the value: ``--port`` or ``CAROB_PORT``.
        reason: What is wrong, with the valid range.
    """

    def __init__(self, *, name: str, source: str, reason: str) -> None:
        super().__init__(f"{source}: {reason}")
        self.name = name
        self.source = source
        self.reason = reason


def load_options(
    options_type: type[Options],
    flags: Mapping[str, object],
    environ: Mapping[str, str] | None = None,
) -> Options:
    """Return the validated options of a program.

    Raises:
        OptionError: A flag is unknown, or a value is missing or invalid.
    """
    environ = os.environ if environ is None else environ
    fields = {field.name: field for field in dataclasses.fields(options_type)}
    _check_flags(flags, fields)
    hints = get_type_hints(options_type, include_extras=True)
    values: dict[str, object] = {}
    for name, field in fields.items():
        variable = VARIABLE_PREFIX + name.upper()
        if name in flags:
            values[name] = _convert(f"--{name}", name, flags[name], hints[name])
        elif variable in environ:
            values[name] = _convert(variable, name, environ[variable], hints[name])
        elif field.default is dataclasses.MISSING:
            reason = f"is needed (or the variable {variable})"
            raise OptionError(name=name, source=f"--{name}", reason=reason)
    return options_type(**values)


def _check_flags(flags: Mapping[str, object], known: Mapping[str, object]) -> None:
    for flag in flags:
        if flag not in known:
            names = ", ".join(f"--{name}" for name in known)
            reason = f"no such flag; there are {names}"
            raise OptionError(name=flag, source=f"--{flag}", reason=reason)


def _convert(source: str, name: str, value: object, hint: object) -> object:
    if isinstance(value, tuple | list):
        value = ",".join(str(item) for item in value)
    text = str(value).lower() if isinstance(value, bool) else str(value)
    try:
        return msgspec.convert(text, hint, strict=False)  # type: ignore[call-overload]
    except msgspec.ValidationError as error:
        shown_value = "(hidden)" if name in SECRET_OPTIONS else repr(value)
        reason = f"got {shown_value}: {error}"
        raise OptionError(name=name, source=source, reason=reason) from error
