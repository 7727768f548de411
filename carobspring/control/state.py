"""State shared by the components of one control replica."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from carobspring.control.entry_strikes import EntryStrikes
from carobspring.control.machine import ControlMachine
from carobspring.membership import LEASE_S, EntryTable, MembershipTable
from carobspring.metering import UsageCollection
from carobspring.ports import Clock
from carobspring.protocol import RoutingConfiguration, Strike

#: Seconds of a window of usage where no platform gives them.
DEFAULT_USAGE_WINDOW_S: Final = 5.0


class StreamNotifier:
    """Notifies every open stream that there may be something to send.

    Streams are notified in the order in which they subscribed.
    """

    def __init__(self) -> None:
        self._events: dict[asyncio.Event, None] = {}

    def subscribe(self) -> asyncio.Event:
        """Return an event that is set at each change until unsubscribed."""
        event = asyncio.Event()
        self._events[event] = None
        return event

    def unsubscribe(self, event: asyncio.Event) -> None:
        """Stop setting an event."""
        self._events.pop(event, None)

    def notify_all(self) -> None:
        """Set the events of all streams."""
        for event in self._events:
            event.set()

    def count_streams(self) -> int:
        """Return the number of open streams."""
        return len(self._events)


class ControlState:
    """Holds the replicated state, the soft state and the stream notifiers.

    ``find_services`` returns the services that a routing configuration names,
    or None if that can't be told. Without it, any server may be used.
    """

    def __init__(
        self,
        *,
        replica_id: str,
        clock: Clock,
        lease_s: float = LEASE_S,
        find_services: (
            Callable[[RoutingConfiguration], frozenset[str] | None] | None
        ) = None,
        usage_window_s: float = DEFAULT_USAGE_WINDOW_S,
    ) -> None:
        self.replica_id = replica_id
        self._find_services = find_services
        self._services_version = 0
        self.clock = clock
        self.agent_notifier = StreamNotifier()
        self.entry_notifier = StreamNotifier()
        self.machine = ControlMachine(on_applied=self.handle_applied)
        self.members = MembershipTable(
            now=clock.read_monotonic(),
            lease_s=lease_s,
            expects_services=find_services is not None,
        )
        self.entries = EntryTable()
        #: Strikes that entries report, beside the committed ones of agents.
        self.entry_strikes = EntryStrikes()
        #: Usage that entries report to this replica or to another one.
        self.usage = UsageCollection(window_s=usage_window_s)
        self.draining = False
        self._notified_change_count = 0
        #: Incremented when a report to this replica or an expired lease
        #: changes what peers must know at once.
        self.local_change_count = 0
        self.unreadable_gossip_count = 0
        #: gRPC addresses of all control replicas, for deployments that send
        #: them to entries; otherwise empty.
        self.replicas: tuple[str, ...] = ()
        #: Availability zones of these replicas, as far as they are known.
        self.replica_zones: dict[str, str] = {}
        #: Routes committed before this start, from the last known state.
        self.last_known_routing = RoutingConfiguration()

    def find_routing(self) -> RoutingConfiguration:
        """Return the newest routes known to be committed."""
        applied = self.machine.routing.content
        last_known = self.last_known_routing
        return applied if applied.version >= last_known.version else last_known

    def restore_routing(self, routing: RoutingConfiguration) -> None:
        """Set the routes committed before this start."""
        self.last_known_routing = routing
        self._update_services()

    def _update_services(self) -> None:
        routing = self.find_routing()
        if self._find_services is None or routing.version == self._services_version:
            return
        self._services_version = routing.version
        services = self._find_services(routing)
        self.members.set_services(services, self.clock.read_monotonic())

    def merge_strikes(
        self, strikes: Iterable[Strike], released: Iterable[Strike]
    ) -> bool:
        """Merge strikes and their release; return whether any are new."""
        before = self.entry_strikes.change_number
        is_new = self.entry_strikes.merge(strikes, released)
        if self.entry_strikes.change_number != before:
            self.entry_notifier.notify_all()
        return is_new

    def handle_applied(self) -> None:
        """Propagate the changes of a command or a restored snapshot."""
        if self.machine.drained != self.members.drained:
            now = self.clock.read_monotonic()
            self.members.set_drained(self.machine.drained, now)
        self._update_services()
        self.notify_all_streams()

    def notify_all_streams(self) -> None:
        """Notify the streams of agents and of entries."""
        self.agent_notifier.notify_all()
        self.entry_notifier.notify_all()

    def notify_member_changes(self) -> bool:
        """Notify the entries' streams of urgent changes of members, if any.

        A changed load is not urgent: it is sent with the next heartbeat.
        Returns whether there were urgent changes.
        """
        has_changed = self.members.urgent_change_count != self._notified_change_count
        if has_changed:
            self._notified_change_count = self.members.urgent_change_count
            self.entry_notifier.notify_all()
        return has_changed

    def expire_leases(self, now: float) -> None:
        """End expired leases and notify the entries' streams of changes."""
        if self.members.expire(now):
            self.local_change_count += 1
        self.entries.expire(now)
        # Entries may report usage that this replica is not set to report.
        self.usage.expire(self.clock.read_wall_ms())
        self.notify_member_changes()
