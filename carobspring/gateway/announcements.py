"""What responses announce about the requests that their server wants."""

import logging
from collections.abc import Callable

from carobspring import platform
from carobspring.adapters.metrics import Metrics
from carobspring.dispatch import Dispatcher, NoticeChange
from carobspring.domain import BackendServer
from carobspring.gateway.crashes import CrashDetector

#: Status of another server's response, which has the address now.
MISDIRECTED_STATUS = 421

logger = logging.getLogger(__name__)


class AnnouncementRecorder:
    """Passes announcements to the dispatcher, and logs what they change.

    One line tells when a server is set aside, and one when it returns.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        crash_detector: CrashDetector,
        handle_misdirected: Callable[[BackendServer], None],
        read_clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._crash_detector = crash_detector
        self._handle_misdirected = handle_misdirected
        self._read_clock = read_clock
        self._changes = metrics.add_counter(
            "carob_gateway_server_notices_total",
            "Servers that asked for rest or said that they leave.",
        )
        self._returns = metrics.add_counter(
            "carob_gateway_server_returns_total",
            "Servers that got a request again after a rest.",
        )

    def record(
        self,
        metadata: platform.ResponseMetadata,
        server: BackendServer,
        *,
        status: int,
        request_id: str,
    ) -> None:
        """Record what a response says about the server that sent it."""
        if status == MISDIRECTED_STATUS:
            # One with another identifier tells of an earlier request.
            if metadata.request_id in ("", request_id):
                self._handle_misdirected(server)
            return
        if metadata.request_id == request_id:
            self._dispatcher.record_presence(server, self._read_clock())
            self._crash_detector.handle_answer(server)
        if metadata.asks_for_rest:
            change = self._dispatcher.record_rest(
                server, metadata.rest_s, self._read_clock()
            )
            self._log_change(server, change, metadata.rest_s, request_id)
        if metadata.is_leaving:
            change = self._dispatcher.record_leaving(server)
            self._crash_detector.handle_leaving(server)
            self._log_change(server, change, None, request_id)
        if metadata.rate_limit is not None or metadata.request_id:
            self._record_rate_limit(metadata.rate_limit, server, request_id)

    def record_send(self, server: BackendServer, request_id: str) -> None:
        """Record that a server gets a request, perhaps after a rest."""
        if not self._dispatcher.take_return(server, self._read_clock()):
            return
        self._returns.inc({})
        logger.info(
            "backend server returns from rest",
            extra={
                "server": server.server_id,
                "boot": server.boot,
                "request": request_id,
            },
        )

    def _record_rate_limit(
        self, rate_limit: float | None, server: BackendServer, request_id: str
    ) -> None:
        if self._dispatcher.record_rate_limit(server, rate_limit):
            logger.info(
                "backend server changed its rate limit",
                extra={
                    "server": server.server_id,
                    "boot": server.boot,
                    "rate_limit": rate_limit,
                    "request": request_id,
                },
            )

    def _log_change(
        self,
        server: BackendServer,
        change: NoticeChange | None,
        rest_s: float | None,
        request_id: str,
    ) -> None:
        if change is None:
            return
        self._changes.inc({"change": change.value})
        logger.info(
            "backend server set aside",
            extra={
                "server": server.server_id,
                "boot": server.boot,
                "change": change.value,
                "rest_s": rest_s,
                "request": request_id,
            },
        )
