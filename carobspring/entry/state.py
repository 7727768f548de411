"""The entry's state: settings, readiness and strikes against requests."""

import asyncio
from dataclasses import dataclass
from typing import Final

from carobspring.domain import Settings
from carobspring.entry.authentication import KeyDirectory
from carobspring.protocol import Strike

#: Number of strikes at which a request is rejected.
QUARANTINE_STRIKES: Final = 2
MAX_TRACKED_REQUESTS = 10_000
#: A crash observed here and one reported by control are treated as the same
#: if they are less than this far apart.
SAME_CRASH_WINDOW_MS: Final = 5_000
#: How long a failure counts as a crash without a report from control.
UNCONFIRMED_TTL_MS: Final = 30_000


@dataclass(frozen=True, kw_only=True)
class Crash:
    """A crash of a backend server during the run of a request."""

    server_id: str
    boot: int
    at_ms: int
    #: Whether control reported the crash or only this entry observed it.
    reported: bool


class StrikeTracker:
    """Counts the crashes during which each request was running.

    A crash that this entry observes and control then reports counts once. An
    observed crash that control doesn't report expires after a while, since
    the entry can't distinguish a crash from another broken response.
    """

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, str], list[Crash]] = {}

    def record_reported(self, strike: Strike) -> None:
        """Record a strike that control reported."""
        crash = Crash(
            server_id=strike.server_id,
            boot=strike.boot,
            at_ms=strike.at_ms,
            reported=True,
        )
        crashes = self._find_or_create(strike.workspace, strike.request_hash)
        if crash in crashes:
            return
        for index, other in enumerate(crashes):
            if not other.reported and _is_same_crash(other, crash, False):
                crashes[index] = crash
                return
        crashes.append(crash)

    def record_observed(
        self,
        *,
        workspace: str,
        request_hash: str,
        server_id: str,
        boot: int,
        at_ms: int,
        may_be_earlier_run: bool,
    ) -> None:
        """Record a failure observed by this entry that may be a crash.

        With ``may_be_earlier_run`` the failure may be the end of an earlier
        run that a resend attached to, so any crash with the same boot number
        counts as the same crash.
        """
        crash = Crash(server_id=server_id, boot=boot, at_ms=at_ms, reported=False)
        crashes = self._find_or_create(workspace, request_hash)
        if not any(
            _is_same_crash(other, crash, may_be_earlier_run) for other in crashes
        ):
            crashes.append(crash)

    def release(self, workspace: str, request_hash: str) -> None:
        """Remove the strikes of a request."""
        self._crashes.pop((workspace, request_hash), None)

    def count(self, workspace: str, request_hash: str, now_ms: int) -> int:
        """Return the number of strikes of a request."""
        crashes = self._crashes.get((workspace, request_hash), ())
        oldest_ms = now_ms - UNCONFIRMED_TTL_MS
        return sum(1 for crash in crashes if crash.reported or crash.at_ms > oldest_ms)

    def _find_or_create(self, workspace: str, request_hash: str) -> list[Crash]:
        key = (workspace, request_hash)
        if key not in self._crashes and len(self._crashes) >= MAX_TRACKED_REQUESTS:
            del self._crashes[next(iter(self._crashes))]
        return self._crashes.setdefault(key, [])


def _is_same_crash(one: Crash, other: Crash, ignore_time: bool) -> bool:
    if (one.server_id, one.boot) != (other.server_id, other.boot):
        return False
    return ignore_time or abs(one.at_ms - other.at_ms) < SAME_CRASH_WINDOW_MS


class EntryState:
    """The latest settings and strikes known to this entry.

    ``settings`` never returns to an older revision.
    ``highest_known_revision`` is the highest one that any message named. While
    it is above the revision of ``settings``, no new call is served.
    """

    def __init__(self) -> None:
        self.settings = Settings()
        self.keys = KeyDirectory(self.settings)
        self.strikes = StrikeTracker()
        self.highest_known_revision = 0
        self.has_view = False
        self.stopping = False
        self.settings_changed = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether the entry should be sent new calls."""
        return self.has_view and not self.stopping

    def apply_settings(self, settings: Settings) -> bool:
        """Apply settings; return False if they are not newer."""
        self.record_revision(settings.revision)
        if settings.revision <= self.settings.revision and self.settings.revision:
            return False
        self.settings = settings
        self.keys = KeyDirectory(settings)
        self.settings_changed.set()
        self.settings_changed = asyncio.Event()
        return True

    def record_revision(self, revision: int) -> None:
        """Record that a revision exists."""
        self.highest_known_revision = max(self.highest_known_revision, revision)

    async def wait_for_revision(self, revision: int, timeout_s: float) -> bool:
        """Wait for a revision or a later one; return False on timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.settings.revision < revision:
                    await self.settings_changed.wait()
        except TimeoutError:
            return False
        return True
