"""What an entry knows: settings, whether they are in force, and strikes."""

import asyncio
from dataclasses import dataclass
from typing import Final

from carobspring.domain import Settings
from carobspring.entry.authentication import KeyDirectory
from carobspring.protocol import Strike

#: Strikes after which a request is refused.
STRIKE_LIMIT: Final = 2
MAX_TRACKED_REQUESTS = 10_000
#: A crash seen here and one told of are the same when this near in time.
SAME_CRASH_WINDOW_MS: Final = 5_000
#: How long a failure counts as a crash without anybody confirming it.
UNCONFIRMED_TTL_MS: Final = 30_000


@dataclass(frozen=True, kw_only=True)
class Crash:
    """One crash that a request was running at."""

    server_id: str
    boot: int
    at_ms: int
    #: True when control told of it, false when only this entry saw it.
    reported: bool


class StrikeTracker:
    """Counts the crashes that each request was running at.

    A crash that this entry saw and then is told of counts once. One that it
    saw and nobody confirms is forgotten after a while, since the entry can't
    tell a crash from another cut.
    """

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, str], list[Crash]] = {}

    def record_reported(self, strike: Strike) -> None:
        """Take a strike that control told of."""
        crash = Crash(
            server_id=strike.server_id,
            boot=strike.boot,
            at_ms=strike.at_ms,
            reported=True,
        )
        crashes = self._find(strike.workspace, strike.request_hash)
        if crash in crashes:
            return
        for index, other in enumerate(crashes):
            if not other.reported and _is_same(other, crash, False):
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
        """Take a failure that this entry saw and that may be a crash.

        With ``may_be_former`` it may be the end of a former run that a resend
        attached to, so any crash of that boot counts as the same.
        """
        crash = Crash(server_id=server_id, boot=boot, at_ms=at_ms, reported=False)
        crashes = self._find(workspace, request_hash)
        if not any(_is_same(other, crash, may_be_earlier_run) for other in crashes):
            crashes.append(crash)

    def release(self, workspace: str, request_hash: str) -> None:
        """Forget a request's strikes."""
        self._crashes.pop((workspace, request_hash), None)

    def count(self, workspace: str, request_hash: str, now_ms: int) -> int:
        """Return the strikes of a request."""
        crashes = self._crashes.get((workspace, request_hash), ())
        after = now_ms - UNCONFIRMED_TTL_MS
        return sum(1 for crash in crashes if crash.reported or crash.at_ms > after)

    def _find(self, workspace: str, request_hash: str) -> list[Crash]:
        key = (workspace, request_hash)
        if key not in self._crashes and len(self._crashes) >= MAX_TRACKED_REQUESTS:
            del self._crashes[next(iter(self._crashes))]
        return self._crashes.setdefault(key, [])


def _is_same(one: Crash, other: Crash, at_any_time: bool) -> bool:
    if (one.server_id, one.boot) != (other.server_id, other.boot):
        return False
    return at_any_time or abs(one.at_ms - other.at_ms) < SAME_CRASH_WINDOW_MS


class EntryState:
    """Settings and strikes as they were last heard of.

    ``settings`` never goes back to an older revision. ``heard_revision`` is
    the highest that any message or caller named: while it is above the
    settings' own, new calls are not served by them.
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
        """True when new calls are welcome."""
        return self.has_view and not self.stopping

    def apply_settings(self, settings: Settings) -> bool:
        """Put newer settings in force; say whether they were newer."""
        self.record_revision(settings.revision)
        if settings.revision <= self.settings.revision and self.settings.revision:
            return False
        self.settings = settings
        self.keys = KeyDirectory(settings)
        self.settings_changed.set()
        self.settings_changed = asyncio.Event()
        return True

    def record_revision(self, revision: int) -> None:
        """Note that a revision exists."""
        self.highest_known_revision = max(self.highest_known_revision, revision)

    async def wait_for_revision(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision, or a later one, is in force; say if it is."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.settings.revision < revision:
                    await self.settings_changed.wait()
        except TimeoutError:
            return False
        return True
