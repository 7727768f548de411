"""Watches the node file, which may change with or without a signal."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Generic, TypeVar

from carobspring.adapters.byte_budget import ByteBudget
from carobspring.adapters.memory_plan import plan_memory
from carobspring.platform import InstanceSettings, NodeFileError, read_node_file
from carobspring.programs.options import OptionError

#: Seconds between two reads of the file.
POLL_INTERVAL_S: Final = 1.0

Settings = TypeVar("Settings")

logger = logging.getLogger(__name__)


def read_instance_settings() -> InstanceSettings:
    """Return the content of the node file.

    Raises:
        OptionError: The file is missing, unreadable or invalid.
    """
    try:
        return read_node_file()
    except NodeFileError as error:
        raise OptionError(
            name="settings", source="node file", reason=str(error)
        ) from error


def build_budget(settings: InstanceSettings) -> ByteBudget:
    """Return what a program may hold for its clients."""
    plan = plan_memory(
        memory_mb=settings.memory_mb, max_descriptors=settings.max_descriptors
    )
    return ByteBudget(plan=plan)


class NodeFileWatcher(Generic[Settings]):
    """Applies the file's content whenever it has changed.

    An unreadable file changes nothing and is logged once per error.
    """

    def __init__(
        self, *, read: Callable[[], Settings], apply: Callable[[Settings], None]
    ) -> None:
        self._read = read
        self._apply = apply
        self._applied: Settings | None = None
        self._last_error = ""

    async def run(self) -> None:
        """Read the file at intervals until cancelled."""
        self._applied = self._read_or_log()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.check()

    def check(self, *, log_unchanged: bool = False) -> None:
        """Apply the file's content if it has changed.

        Args:
            log_unchanged: Whether to log that nothing has changed.
        """
        settings = self._read_or_log()
        if settings is None:
            return
        if settings != self._applied:
            self._applied = settings
            self._apply(settings)
            logger.info("settings reloaded", extra={"settings": settings})
        elif log_unchanged:
            logger.info("settings unchanged at reload")

    def _read_or_log(self) -> Settings | None:
        try:
            settings = self._read()
        except NodeFileError as error:
            if str(error) != self._last_error:
                self._last_error = str(error)
                logger.warning("node file unreadable", extra={"reason": str(error)})
            return None
        self._last_error = ""
        return settings
