"""Starts ``carob-entry`` on an instance of a platform.

Listens before it loads the other modules, so that callers are not refused in
the meantime.
"""

import contextlib

from carobspring.adapters.listeners import open_listener
from carobspring.platform.node import NodeFileError, read_node_file


def main() -> None:
    """Listen for callers, load the entry, and run it."""
    # The entry reports an invalid file or address itself.
    with contextlib.suppress(NodeFileError, OSError):
        address = read_node_file().frontend_address
        if address is not None:
            open_listener(address.host, address.port)
    from carobspring.programs.instance_entry import main as run_entry

    run_entry()


if __name__ == "__main__":
    main()
