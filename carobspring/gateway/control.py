"""Streams to several control replicas, whose addresses may change."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Final

from carobspring.adapters.entry_control_stream import EntryControlStream
from carobspring.adapters.metrics import Metrics
from carobspring.adapters.rpc import ChannelOpener
from carobspring.adapters.tasks import start_service_task
from carobspring.domain import Address, parse_address
from carobspring.gateway.replicas import KnownReplicas
from carobspring.protocol import EntryReport, ViewUpdate

#: Replicas followed at a time. This covers all replicas of today's
#: deployments, so that a drain is received from the replica that confirmed it
#: even if the replicas have just lost contact with each other.
MAX_FOLLOWED_REPLICAS: Final = 8
#: Seconds before a broken stream is opened again.
RECONNECT_DELAY_S: Final = 0.1
#: Seconds after which a replica that does not respond is replaced.
REPLACE_AFTER_S: Final = 1.5
CHECK_INTERVAL_S: Final = 0.5

logger = logging.getLogger(__name__)


class ControlStreams:
    """Follows several control replicas, the nearest ones first.

    A replica accepts a stream only while it can read through the quorum, so
    one that is cut off is replaced after its stream breaks.
    """

    def __init__(
        self,
        *,
        seeds: Iterable[str],
        open_channel: ChannelOpener,
        build_report: Callable[[], EntryReport],
        apply_update: Callable[[str, ViewUpdate], None],
        remove_replica: Callable[[str], None],
        rank_replica: Callable[[str], int],
        update_replicas: Callable[[Iterable[str]], None],
        metrics: Metrics,
    ) -> None:
        self._open_channel = open_channel
        self._build_report = build_report
        self._apply_update = apply_update
        self._remove_replica = remove_replica
        self._rank_replica = rank_replica
        self._update_replicas = update_replicas
        self._connected_gauge = metrics.add_gauge(
            "carob_entry_control_connected", "1 while a control replica is followed."
        )
        self._seeds = tuple(seeds)
        self._replicas = KnownReplicas()
        self._streams: dict[
            str, tuple[EntryControlStream, asyncio.Task[None], float]
        ] = {}
        self._avoided_until: dict[str, float] = {}

    @property
    def is_connected(self) -> bool:
        """Whether the stream to any replica is connected."""
        return any(stream.connected for stream, _, _ in self._streams.values())

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seed addresses."""
        self._seeds = tuple(seeds)

    async def run(self) -> None:
        """Maintain the streams until cancelled."""
        try:
            while True:
                self._replace_disconnected(asyncio.get_running_loop().time())
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for _, task, _ in self._streams.values():
                task.cancel()

    def _list_candidates(self, now: float) -> list[str]:
        names = dict.fromkeys((*self._replicas.names, *self._seeds))
        ranked = sorted(names, key=self._rank_replica)
        return sorted(ranked, key=lambda name: self._avoided_until.get(name, 0.0) > now)

    def _replace_disconnected(self, now: float) -> None:
        """Replace streams that don't connect by streams to other replicas."""
        candidates = self._list_candidates(now)
        for name, (stream, task, disconnected_since) in list(self._streams.items()):
            if stream.connected:
                self._streams[name] = (stream, task, now)
                continue
            spare = [
                candidate for candidate in candidates if candidate not in self._streams
            ]
            if now - disconnected_since > REPLACE_AFTER_S and spare:
                task.cancel()
                del self._streams[name]
                self._avoided_until[name] = now + 2 * REPLACE_AFTER_S
                self._replicas.remove_replica(name)
                self._remove_replica(name)
        for name in candidates:
            if len(self._streams) >= MAX_FOLLOWED_REPLICAS:
                break
            if name not in self._streams:
                self._follow(name, now)

    def _follow(self, name: str, now: float) -> None:
        address: Address = parse_address("replica", name)

        def apply(update: ViewUpdate) -> None:
            if self._replicas.apply_update(name, update):
                self._update_replicas(self._replicas.names)
            self._apply_update(name, update)

        stream = EntryControlStream(
            addresses=(address,),
            open_channel=self._open_channel,
            build_report=self._build_report,
            apply_update=apply,
            connected_gauge=self._connected_gauge,
            reconnect_delay_s=RECONNECT_DELAY_S,
        )
        task = start_service_task(stream.run, name=f"control stream {name}")
        self._streams[name] = (stream, task, now)
