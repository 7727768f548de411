"""Checked options of a program, from flags and environment variables.

A program declares a frozen data class; each field is a flag of the same name
and a variable ``CAROB_`` plus the name in capitals. A flag goes before the
variable, the variable before the default. Field metadata of msgspec
(``Annotated[int, Meta(ge=1, le=65535)]``) gives the range.
"""

import dataclasses
import os
from collections.abc import Mapping
from typing import TypeVar, get_type_hints

import msgspec

PREFIX = "CAROB_"

Options = TypeVar("Options")


class OptionError(Exception):
    """A flag or variable has a value that can't be taken.

    Args:
        name: The flag's name.
        source: Where the value came from, such as ``--port`` or ``CAROB_PORT``.
        reason: What is wrong, with the allowed range.
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
    """Return the options of a program, checked.

    Raises:
        OptionError: A flag is not known, a value is missing or out of range.
    """
    environ = os.environ if environ is None else environ
    fields = {field.name: field for field in dataclasses.fields(options_type)}  # type: ignore[arg-type]
    for flag in flags:
        if flag not in fields:
            known = ", ".join(f"--{name}" for name in fields)
            reason = f"no such flag; there are {known}"
            raise OptionError(name=flag, source=f"--{flag}", reason=reason)
    hints = {field.name: field for field in msgspec.inspect.type_info(options_type).fields}  # type: ignore[attr-defined]
    values: dict[str, object] = {}
    for name in fields:
        variable = PREFIX + name.upper()
        if name in flags:
            source, value = f"--{name}", flags[name]
        elif variable in environ:
            source, value = variable, environ[variable]
        elif hints[name].required:
            reason = f"is needed (or the variable {variable})"
            raise OptionError(name=name, source=f"--{name}", reason=reason)
        else:
            continue
        values[name] = _convert_value(options_type, name, source, value)
    return options_type(**values)


def _convert_value(options_type: type, name: str, source: str, value: object) -> object:
    if isinstance(value, tuple | list):
        value = ",".join(str(item) for item in value)
    if isinstance(value, bool):
        value = "true" if value else "false"
    hint = _read_hint(options_type, name)
    try:
        return msgspec.convert(str(value), hint, strict=False)
    except msgspec.ValidationError as error:
        reason = f"got {value!r}: {error}"
        raise OptionError(name=name, source=source, reason=reason) from error


def _read_hint(options_type: type, name: str) -> object:
    return get_type_hints(options_type, include_extras=True)[name]
