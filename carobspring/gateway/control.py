"""Streams to several control replicas, whose addresses change."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Final

from carobspring.adapters.control_watch import ControlWatch
from carobspring.adapters.metrics import Metrics
from carobspring.adapters.rpc import ChannelOpener
from carobspring.domain import Address, parse_address
from carobspring.gateway.replicas import KnownReplicas
from carobspring.protocol import EntryReport, ViewUpdate

#: Replicas that are followed at a time, which is all of a deployment of today:
#: a drain is then heard from the very replica that confirmed it, also while
#: replicas have just lost each other.
FOLLOWED_REPLICAS: Final = 8
#: Seconds until a stream that broke is opened again.
RECONNECT_PAUSE_S: Final = 0.1
#: Seconds after which a replica that does not answer is exchanged.
EXCHANGE_AFTER_S: Final = 1.5
CHECK_INTERVAL_S: Final = 0.5

logger = logging.getLogger(__name__)


class ControlStreams:
    """Follows a few control replicas, those nearest first.

    A stream opens only at a replica that can read through the quorum, so a
    replica that is cut off is exchanged for another when its stream breaks.
    """

    def __init__(
        self,
        *,
        seeds: Iterable[str],
        open_channel: ChannelOpener,
        build_report: Callable[[], EntryReport],
        apply_update: Callable[[str, ViewUpdate], None],
        forget_replica: Callable[[str], None],
        rank_replica: Callable[[str], int],
        update_replicas: Callable[[Iterable[str]], None],
        metrics: Metrics,
    ) -> None:
        self._open_channel = open_channel
        self._build_report = build_report
        self._apply_update = apply_update
        self._forget = forget_replica
        self._prefer = rank_replica
        self._take_replicas = update_replicas
        self._gauge = metrics.add_gauge(
            "carob_entry_control_connected", "1 while a control replica is followed."
        )
        self._seeds = tuple(seeds)
        self._replicas = KnownReplicas()
        self._watches: dict[str, tuple[ControlWatch, asyncio.Task[None], float]] = {}
        self._rested: dict[str, float] = {}

    @property
    def is_connected(self) -> bool:
        """Say whether any replica is followed at present."""
        return any(watch.connected for watch, _, _ in self._watches.values())

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Take over other first addresses."""
        self._seeds = tuple(seeds)

    async def run(self) -> None:
        """Keep the streams until cancelled."""
        try:
            while True:
                self._exchange(asyncio.get_running_loop().time())
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for _, task, _ in self._watches.values():
                task.cancel()

    def _list_candidates(self, now: float) -> list[str]:
        names = dict.fromkeys((*self._replicas.names, *self._seeds))
        ranked = sorted(names, key=self._prefer)
        return sorted(ranked, key=lambda name: self._rested.get(name, 0.0) > now)

    def _exchange(self, now: float) -> None:
        """End streams that don't connect, and open others in their place."""
        candidates = self._list_candidates(now)
        for name, (watch, task, since) in list(self._watches.items()):
            if watch.connected:
                self._watches[name] = (watch, task, now)
                continue
            spare = [c for c in candidates if c not in self._watches]
            if now - since > EXCHANGE_AFTER_S and spare:
                task.cancel()
                del self._watches[name]
                self._rested[name] = now + 2 * EXCHANGE_AFTER_S
                self._replicas.forget(name)
                self._forget(name)
        for name in candidates:
            if len(self._watches) >= FOLLOWED_REPLICAS:
                break
            if name not in self._watches:
                self._open(name, now)

    def _open(self, name: str, now: float) -> None:
        address: Address = parse_address("replica", name)

        def apply(update: ViewUpdate) -> None:
            if self._replicas.apply_update(name, update):
                self._take_replicas(self._replicas.names)
            self._apply_update(name, update)

        watch = ControlWatch(
            addresses=(address,),
            open_channel=self._open_channel,
            build_report=self._build_report,
            apply_update=apply,
            connected=self._gauge,
            reconnect_pause_s=RECONNECT_PAUSE_S,
        )
        task = asyncio.create_task(watch.run())
        self._watches[name] = (watch, task, now)
