"""Waits until a revision is in force in every zone."""

import time
from collections.abc import Callable

from carobspring.control.reports import StatusReport, ZoneStatus
from carobspring.operator.client import AdminClient

POLL_INTERVAL_S = 0.2


class NotInForceError(Exception):
    """A revision was not in force everywhere when the wait ended.

    Args:
        revision: The revision waited for.
        zones: The zones that are behind.
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
    """Return the status once every zone serves by this revision or later.

    Args:
        client: Asks the admin API.
        revision: What to wait for.
        timeout_s: Seconds to wait.
        show: Called with a line of progress whenever it changes.

    Raises:
        NotInForceError: A zone is still behind when the time is over.
    """
    deadline = time.monotonic() + timeout_s
    shown = ""
    while True:
        status = client.get("/v1/status", StatusReport)
        line = _write_progress(status.zones, revision)
        if line != shown:
            show(line)
            shown = line
        behind = tuple(z.zone for z in status.zones if z.revision < revision)
        if not behind and status.revision >= revision:
            return status
        if time.monotonic() >= deadline:
            raise NotInForceError(revision=revision, zones=behind)
        time.sleep(POLL_INTERVAL_S)


def _write_progress(zones: tuple[ZoneStatus, ...], revision: int) -> str:
    if not zones:
        return f"revision {revision} stands; no entry reports to control"
    ready = sum(zone.revision >= revision for zone in zones)
    return f"revision {revision} in force in {ready} of {len(zones)} zones"
