"""Starts ``carob-entry`` on the users' machines: listens first, then loads."""

import contextlib

from carobspring.adapters.listeners import open_listener
from carobspring.platform.node import NodeFileError, read_node_file


def main() -> None:
    """Listen for callers, load the entry, and run it."""
    # What is wrong with the file or the address, the entry itself reports.
    with contextlib.suppress(NodeFileError, OSError):
        callers = read_node_file().frontend_address
        if callers is not None:
            open_listener(callers.host, callers.port)
    from carobspring.programs.instance_entry import main as run_entry

    run_entry()


if __name__ == "__main__":
    main()
