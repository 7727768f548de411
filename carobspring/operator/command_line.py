"""Parsing of the flags that all commands of ``carobctl`` share."""

import argparse
from collections.abc import Mapping, Sequence

from fire.parser import DefaultParseValue

from carobspring.operator.client import AdminClient
from carobspring.operator.editing import SettingsEditor
from carobspring.operator.session import Session

DEFAULT_ADMIN = "127.0.0.1:7101"


def parse_common_flags(
    arguments: Sequence[str], environ: Mapping[str, str]
) -> tuple[Session, list[str]]:
    """Return the session that the common flags set, and other arguments.

    Fire runs the command given by the other arguments, so its help does not
    list the common flags.
    """
    parser = argparse.ArgumentParser(
        prog="carobctl", add_help=False, allow_abbrev=False
    )
    parser.add_argument("--admin", default=environ.get("CAROB_ADMIN", DEFAULT_ADMIN))
    parser.add_argument("--token", default=environ.get("CAROB_OPERATOR_TOKEN", ""))
    parser.add_argument("--change-id", default="")
    parser.add_argument("--base-revision", type=int, default=-1)
    parser.add_argument("--dry-run", action="store_true")
    parser.add_argument("--wait", action="store_true")
    parser.add_argument("--wait-timeout-s", type=float, default=15.0)
    flags, command_arguments = parser.parse_known_args(list(arguments))
    addresses = tuple(filter(None, (a.strip() for a in flags.admin.split(","))))
    client = AdminClient(addresses=addresses, token=flags.token)
    editor = SettingsEditor(
        client=client,
        change_id=flags.change_id,
        base_revision=flags.base_revision,
        dry_run=flags.dry_run,
    )
    session = Session(
        client=client,
        editor=editor,
        wait=flags.wait,
        wait_timeout_s=flags.wait_timeout_s,
    )
    return session, [quote_argument(argument) for argument in command_arguments]


def quote_argument(argument: str) -> str:
    """Return an argument, quoted if fire would not parse it as a string.

    Fire would parse the key ``1_000`` as 1000 and the name ``1e5`` as a float.
    """
    flag, equals, value = argument.partition("=")
    if argument.startswith("--") and equals:
        quoted = quote_argument(value)
        return f"{flag}={quoted}"
    if argument.startswith("--") or DefaultParseValue(argument) == argument:
        return argument
    return repr(argument)
