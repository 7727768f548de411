"""Watches a settings file that may change with or without a signal."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Generic, TypeVar

from carobspring.platform import InstanceSettings, NodeFileError, read_node_file
from carobspring.programs.options import OptionError

#: Seconds between two looks at the file.
POLL_INTERVAL_S: Final = 1.0

Settings = TypeVar("Settings")

logger = logging.getLogger(__name__)


def read_instance_settings() -> InstanceSettings:
    """Return the settings file's content.

    Raises:
        OptionError: The file can't be used.
    """
    try:
        return read_node_file()
    except NodeFileError as error:
        raise OptionError(
            name="settings", source="settings file", reason=str(error)
        ) from error


class SettingsFileWatcher(Generic[Settings]):
    """Applies the file's content whenever it differs from what was applied.

    An unreadable file changes nothing; that is logged once.
    """

    def __init__(
        self, *, read: Callable[[], Settings], apply: Callable[[Settings], None]
    ) -> None:
        self._read = read
        self._apply = apply
        self._applied: Settings | None = None
        self._problem = ""

    async def run(self) -> None:
        """Look at the file until cancelled."""
        self._applied = self._read_checked()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.check()

    def check(self, *, log_unchanged: bool = False) -> None:
        """Apply the file's content if it has changed."""
        settings = self._read_checked()
        if settings is None:
            return
        if settings != self._applied:
            self._applied = settings
            self._apply(settings)
            logger.info("settings reloaded", extra={"settings": settings})
        elif log_unchanged:
            logger.info("settings unchanged at reload")

    def _read_checked(self) -> Settings | None:
        try:
            settings = self._read()
        except NodeFileError as error:
            if str(error) != self._problem:
                self._problem = str(error)
                logger.warning("settings file unreadable", extra={"reason": str(error)})
            return None
        self._problem = ""
        return settings
