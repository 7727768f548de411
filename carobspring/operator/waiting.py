"""Waits until a revision is in force in all zones."""

import time
from collections.abc import Callable

from carobspring.control.reports import StatusReport, ZoneStatus
from carobspring.operator.client import AdminClient

POLL_INTERVAL_S = 0.2


class NotInForceError(Exception):
    """A revision was not in force in all zones before the timeout.

    Args:
        revision: The expected revision.
        zones: The zones that have an older revision.
    """

    def __init__(self, *, revision: int, zones: tuple[str, ...]) -> None:
        behind = ", ".join(zones)
        super().__init__(
            f"revision {revision} is accepted but not in force yet in: {behind}; "
            "it will be as soon as their entries hear of it: see `carobctl status`"
        )
        self.revision = revision
        self.zones = zones


def wait_until_in_force(
    client: AdminClient,
    *,
    revision: int,
    timeout_s: float,
    show: Callable[[str], None],
) -> StatusReport:
    """Wait until all zones apply a revision or a later one.

    Returns the status that shows it.

    Args:
        client: The client of the admin API.
        revision: The revision to wait for.
        timeout_s: Seconds until the timeout.
        show: Called with a progress message whenever it changes.

    Raises:
        NotInForceError: A zone has an older revision after the timeout.
    """
    deadline = time.monotonic() + timeout_s
    last_line = ""
    while True:
        status = client.get("/v1/status", StatusReport)
        line = _format_progress(status.zones, revision)
        if line != last_line:
            show(line)
            last_line = line
        behind = tuple(zone.zone for zone in status.zones if zone.revision < revision)
        if not behind and status.revision >= revision:
            return status
        if time.monotonic() >= deadline:
            raise NotInForceError(revision=revision, zones=behind)
        time.sleep(POLL_INTERVAL_S)


def _format_progress(zones: tuple[ZoneStatus, ...], revision: int) -> str:
    if not zones:
        return f"revision {revision} stands; no entry reports to control"
    ready = sum(zone.revision >= revision for zone in zones)
    return f"revision {revision} in force in {ready} of {len(zones)} zones"
