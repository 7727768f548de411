"""Streams to several control replicas, whose addresses may change."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from carobspring.adapters.entry_control_stream import EntryControlStream
from carobspring.adapters.metrics import Metrics
from carobspring.adapters.rpc import ChannelOpener
from carobspring.adapters.tasks import start_service_task
from carobspring.domain import Address, InvalidValueError, parse_address
from carobspring.gateway.replicas import KnownReplicas
from carobspring.protocol import EntryReport, ViewUpdate

#: Seconds before a broken stream is opened again.
RECONNECT_DELAY_S: Final = 0.1
#: Seconds after which a replica that does not respond is replaced.
REPLACE_AFTER_S: Final = 1.5
CHECK_INTERVAL_S: Final = 0.5

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class _FollowedReplica:
    """A stream to one replica."""

    stream: EntryControlStream
    task: asyncio.Task[None]
    #: When the stream was last known to be connected, or was opened.
    connected_at: float


class ControlStreams:
    """Follows several control replicas, as ``choose`` selects them.

    ``choose`` gets the addresses of replicas and their availability zones and
    returns those to follow. A replica accepts a stream only while it can read
    through the quorum, so one that is cut off is replaced after its stream
    breaks. A replica that is no longer chosen is followed until all that are
    chosen are connected, or it responds no longer: without a quorum, the
    unconfirmed servers and routes of some replica are all that there is.
    ``build_report`` gets the name of the replica that the report is for.
    """

    def __init__(
        self,
        *,
        seeds: Iterable[str],
        open_channel: ChannelOpener,
        build_report: Callable[[str], EntryReport],
        apply_update: Callable[[str, ViewUpdate], None],
        remove_replica: Callable[[str], None],
        choose: Callable[[Iterable[str], Mapping[str, str]], tuple[str, ...]],
        update_replicas: Callable[[Iterable[str], Mapping[str, str]], None],
        metrics: Metrics,
    ) -> None:
        self._open_channel = open_channel
        self._build_report = build_report
        self._apply_update = apply_update
        self._remove_replica = remove_replica
        self._choose = choose
        self._update_replicas = update_replicas
        self._connected_gauge = metrics.add_gauge(
            "carob_entry_control_connected", "1 while a control replica is followed."
        )
        self._seeds = tuple(seeds)
        self._replicas = KnownReplicas()
        self._followed: dict[str, _FollowedReplica] = {}
        self._avoided_until: dict[str, float] = {}

    @property
    def followed(self) -> tuple[str, ...]:
        """The addresses of the replicas that are followed."""
        return tuple(self._followed)

    @property
    def is_connected(self) -> bool:
        """Whether the stream to any replica is connected."""
        return any(each.stream.connected for each in self._followed.values())

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seed addresses."""
        self._seeds = tuple(seeds)

    def request_report(self) -> None:
        """Send every followed replica a report at once."""
        for each in self._followed.values():
            each.stream.request_report()

    async def run(self) -> None:
        """Maintain the streams until cancelled."""
        try:
            while True:
                self.check(asyncio.get_running_loop().time())
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for name in self.followed:
                self._stop_following(name)

    def check(self, now: float) -> None:
        """Follow the chosen replicas, and leave those that are not needed."""
        for name, each in self._followed.items():
            if each.stream.connected:
                each.connected_at = now
            elif now - each.connected_at > REPLACE_AFTER_S:
                self._avoided_until[name] = now + 2 * REPLACE_AFTER_S
        chosen = self._choose_names(now)
        for name in chosen:
            if name not in self._followed:
                self._follow(name, now)
        is_complete = all(
            name in self._followed and self._followed[name].stream.connected
            for name in chosen
        )
        for name, each in list(self._followed.items()):
            if name not in chosen and (is_complete or not each.stream.responding):
                self._stop_following(name)
                self._remove_replica(name)

    def _choose_names(self, now: float) -> tuple[str, ...]:
        """Return the replicas to follow; seeds while there are no others."""
        names = dict.fromkeys((*self._replicas.names, *self._seeds))
        available = [
            name for name in names if self._avoided_until.get(name, 0.0) <= now
        ]
        replicas = [name for name in available if name in self._replicas.names]
        zones = self._replicas.zones
        return self._choose(replicas or available or names, zones)

    def _follow(self, name: str, now: float) -> None:
        try:
            address: Address = parse_address("replica", name)
        except InvalidValueError as error:
            self._avoided_until[name] = float("inf")
            extra = {"replica": name, "reason": str(error)}
            logger.error("control replica has no usable address", extra=extra)
            return

        def apply(update: ViewUpdate) -> None:
            if self._replicas.apply_update(name, update):
                self._update_replicas(self._replicas.names, self._replicas.zones)
            self._apply_update(name, update)

        stream = EntryControlStream(
            addresses=(address,),
            open_channel=self._open_channel,
            build_report=lambda: self._build_report(name),
            apply_update=apply,
            connected_gauge=self._connected_gauge,
            reconnect_delay_s=RECONNECT_DELAY_S,
        )
        task = start_service_task(stream.run, name=f"control stream {name}")
        self._followed[name] = _FollowedReplica(
            stream=stream, task=task, connected_at=now
        )
        logger.info("following control replica", extra={"replica": name})

    def _stop_following(self, name: str) -> None:
        self._followed.pop(name).task.cancel()
        self._replicas.remove_replica(name)
        logger.info("no longer following control replica", extra={"replica": name})
