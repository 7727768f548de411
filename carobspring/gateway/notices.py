"""Log lines and counters of servers that want no requests."""

import logging

from carobspring.adapters.metrics import Metrics
from carobspring.dispatch import NoticeChange
from carobspring.domain import BackendServer

logger = logging.getLogger(__name__)


class NoticeLog:
    """Logs and counts when a server is set aside, and when it returns."""

    def __init__(self, metrics: Metrics) -> None:
        self._changes = metrics.add_counter(
            "carob_gateway_server_notices_total",
            "Servers that asked for rest or said that they leave.",
        )
        self._returns = metrics.add_counter(
            "carob_gateway_server_returns_total",
            "Servers that got a request again after a rest.",
        )

    def record_change(
        self,
        server: BackendServer,
        change: NoticeChange,
        rest_s: float | None,
        request_id: str,
    ) -> None:
        """Record what a response to a request announced."""
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

    def record_return(self, server: BackendServer, request_id: str) -> None:
        """Record the first request after a rest."""
        self._returns.inc({})
        logger.info(
            "backend server returns from rest",
            extra={
                "server": server.server_id,
                "boot": server.boot,
                "request": request_id,
            },
        )
