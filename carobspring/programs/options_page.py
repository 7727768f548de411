"""Generates docs/OPTIONS.md: the flags and variables of the daemons.

Example:
    ``python -m carobspring.programs.options_page > docs/OPTIONS.md``
"""

import dataclasses
import inspect
import re
from typing import Annotated, Any, Literal, get_args, get_origin, get_type_hints

from msgspec import Meta

from carobspring.programs.agent_program import AgentOptions
from carobspring.programs.control_program import ControlOptions
from carobspring.programs.entry_program import EntryOptions
from carobspring.programs.options import SECRET_OPTIONS, VARIABLE_PREFIX

PROGRAMS: dict[str, type[Any]] = {
    "carob-entry": EntryOptions,
    "carob-agent": AgentOptions,
    "carob-control": ControlOptions,
}

INTRODUCTION = """# Options

Made by `python -m carobspring.programs.options_page`; don't edit by hand. A flag
goes before its variable, the variable before the default. A wrong value ends the
program at start with exit code 2 and a line that names the flag or variable, the
value and the range. `carobctl` reads `CAROB_ADMIN` and `CAROB_OPERATOR_TOKEN`; its
commands are in `carobctl --help`.
"""


def render_page() -> str:
    """Return the page as Markdown."""
    sections = [INTRODUCTION]
    for name, options_type in PROGRAMS.items():
        sections.append(_render_section(name, options_type))
    return "\n".join(sections)


def _render_section(name: str, options_type: type[Any]) -> str:
    hints = get_type_hints(options_type, include_extras=True)
    descriptions = parse_field_descriptions(options_type)
    lines = [
        f"## {name}\n",
        "| flag | variable | value | default | meaning |",
        "|---|---|---|---|---|",
    ]
    for field in dataclasses.fields(options_type):
        flag = field.name.replace("_", "-")
        variable = VARIABLE_PREFIX + field.name.upper()
        value = _format_type(hints[field.name])
        default = _format_default(field)
        description = descriptions.get(field.name, "")
        lines.append(
            f"| `--{flag}` | `{variable}` | {value} | {default} | {description} |"
        )
    return "\n".join(lines) + "\n"


def _format_default(field: "dataclasses.Field[Any]") -> str:
    if field.default is dataclasses.MISSING:
        return "needed"
    if field.name in SECRET_OPTIONS and field.default:
        return "set (for trials on loopback)"
    return f"`{field.default}`" if field.default != "" else "empty"


def _format_type(hint: Any) -> str:
    if get_origin(hint) is Literal:
        return " or ".join(f"`{choice}`" for choice in get_args(hint))
    if get_origin(hint) is Annotated:
        base, *metadata = get_args(hint)
        return f"{base.__name__}{_format_range(metadata)}"
    return str(hint.__name__)


def _format_range(metadata: list[Any]) -> str:
    bounds = next((item for item in metadata if isinstance(item, Meta)), None)
    if bounds is None:
        return ""
    if bounds.pattern:
        choices = bounds.pattern.strip("^$()").replace("|", " or ")
        return f": {choices}"
    low = bounds.ge if bounds.ge is not None else bounds.min_length
    high = bounds.le if bounds.le is not None else bounds.max_length
    unit = " characters" if bounds.min_length is not None else ""
    if high is None:
        return f", at least {low}{unit}"
    return f", {low} to {high}{unit}"


def parse_field_descriptions(options_type: type[Any]) -> dict[str, str]:
    """Return the description of each field from the class's doc comment."""
    text = inspect.getdoc(options_type) or ""
    _, _, fields = text.partition("Args:\n")
    descriptions: dict[str, str] = {}
    for match in re.finditer(r"^ {4}(\w+): (.*(?:\n {8}.*)*)", fields, re.MULTILINE):
        descriptions[match.group(1)] = re.sub(r"\s+", " ", match.group(2)).strip()
    return descriptions


if __name__ == "__main__":
    print(render_page(), end="")
