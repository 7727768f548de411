"""What an entry knows: settings, whether they are in force, and strikes."""

import asyncio
from typing import Final

from carobspring.domain import Settings
from carobspring.entry.authentication import KeyDirectory
from carobspring.protocol import Strike

#: Strikes after which a request is refused.
STRIKE_LIMIT: Final = 2
MAX_STRUCK_REQUESTS = 10_000


class StrikeBook:
    """Counts the crashes that each request was running at.

    One backend server's crash is one strike, however often it is told.
    """

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, str], set[tuple[str, int]]] = {}

    def record(self, strike: Strike) -> None:
        """Take a strike that was told or seen."""
        key = (strike.workspace, strike.request_hash)
        if key not in self._crashes and len(self._crashes) >= MAX_STRUCK_REQUESTS:
            del self._crashes[next(iter(self._crashes))]
        crashes = self._crashes.setdefault(key, set())
        crashes.add((strike.server_id, strike.boot))

    def count(self, workspace: str, request_hash: str) -> int:
        """Return the strikes of a request."""
        return len(self._crashes.get((workspace, request_hash), ()))


class EntryState:
    """Settings and strikes as they were last heard of.

    ``settings`` never goes back to an older revision. ``heard_revision`` is
    the highest that any message or caller named: while it is above the
    settings' own, new calls are not served by them.
    """

    def __init__(self) -> None:
        self.settings = Settings()
        self.keys = KeyDirectory(self.settings)
        self.strikes = StrikeBook()
        self.heard_revision = 0
        self.has_view = False
        self.stopping = False
        self.changed = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """True when new calls are welcome."""
        return self.has_view and not self.stopping

    @property
    def is_behind(self) -> bool:
        """True while a newer revision than that of the settings is known."""
        return self.heard_revision > self.settings.revision

    def take_settings(self, settings: Settings) -> bool:
        """Put newer settings in force; say whether they were newer."""
        self.hear_revision(settings.revision)
        if settings.revision <= self.settings.revision and self.settings.revision:
            return False
        self.settings = settings
        self.keys = KeyDirectory(settings)
        self.changed.set()
        self.changed = asyncio.Event()
        return True

    def hear_revision(self, revision: int) -> None:
        """Note that a revision exists."""
        self.heard_revision = max(self.heard_revision, revision)

    async def wait_current(self, timeout_s: float) -> bool:
        """Wait until the settings are the newest heard of; say if they are."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.is_behind:
                    await self.changed.wait()
        except TimeoutError:
            return False
        return True
