"""Starts ``carob-entry`` on an instance of a platform.

Listens before it loads the other modules, so that callers are not refused in
the meantime.
"""

import contextlib

from carobspring.programs.start import hold_signals, start_program


def main() -> None:
    """Listen for callers, load the entry, and run it."""
    hold_signals()
    _listen_for_callers()
    start_program("instance_entry_program")


def _listen_for_callers() -> None:
    from carobspring.adapters.listeners import open_listener
    from carobspring.platform.node import NodeFileError, read_node_file

    # The entry reports an invalid file or address itself.
    with contextlib.suppress(NodeFileError, OSError):
        address = read_node_file().frontend_address
        if address is not None:
            open_listener(address.host, address.port)


if __name__ == "__main__":
    main()
