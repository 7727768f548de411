"""``carobctl``: the operators' command line for the admin API."""

import os
import sys

import fire

from carobspring.domain import DomainError
from carobspring.operator import (
    ApiError,
    NotInForceError,
    UnreachableError,
)
from carobspring.operator.command_line import parse_common_flags
from carobspring.operator.commands import Carobctl

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_IN_FORCE = 5
EXIT_UNAUTHORIZED = 6
EXIT_BY_STATUS = {401: EXIT_UNAUTHORIZED, 409: EXIT_CONFLICT}


def main() -> None:
    """Run ``carobctl``."""
    try:
        session, arguments = parse_common_flags(sys.argv[1:], os.environ)
        fire.Fire(Carobctl(session), command=arguments, name="carobctl")
    except ApiError as error:
        exit_with_error(error, EXIT_BY_STATUS.get(error.status, EXIT_REFUSED))
    except UnreachableError as error:
        exit_with_error(error, EXIT_UNREACHABLE)
    except NotInForceError as error:
        exit_with_error(error, EXIT_NOT_IN_FORCE)
    except DomainError as error:
        exit_with_error(error, EXIT_REFUSED)


def exit_with_error(error: Exception, code: int) -> None:
    """Print an error and exit with the code."""
    print(f"carobctl: {error}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    main()
