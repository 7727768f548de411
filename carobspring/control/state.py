"""What the parts of one control replica share."""

import asyncio

from carobspring.control.machine import ControlMachine
from carobspring.membership import LEASE_S, EntryTable, MembershipTable
from carobspring.ports import Clock
from carobspring.protocol import RoutingConfiguration


class StreamNotifier:
    """Wakes every stream when there may be something to send."""

    def __init__(self) -> None:
        self._events: set[asyncio.Event] = set()

    def subscribe(self) -> asyncio.Event:
        """Return an event that is set at each change until it is closed."""
        event = asyncio.Event()
        self._events.add(event)
        return event

    def unsubscribe(self, event: asyncio.Event) -> None:
        """Set an event no more."""
        self._events.discard(event)

    def notify_all(self) -> None:
        """Set every open event."""
        for event in self._events:
            event.set()

    def count_streams(self) -> int:
        """Return how many streams are open."""
        return len(self._events)


class ControlState:
    """The replicated state, the soft state, and who waits for changes."""

    def __init__(
        self, *, replica_id: str, clock: Clock, lease_s: float = LEASE_S
    ) -> None:
        self.replica_id = replica_id
        self.clock = clock
        self.agent_notifier = StreamNotifier()
        self.entry_notifier = StreamNotifier()
        self.machine = ControlMachine(on_applied=self.handle_applied)
        self.members = MembershipTable(now=clock.read_monotonic(), lease_s=lease_s)
        self.entries = EntryTable()
        self.draining = False
        self._seen_changes = 0
        #: Grows when an agent on an own stream changes what peers must know.
        self.local_change_count = 0
        self.unreadable_gossip_count = 0
        #: gRPC addresses of all control replicas, where entries are told them.
        self.replicas: tuple[str, ...] = ()
        #: Routes that were committed before this start, as last known.
        self.last_known_routing = RoutingConfiguration()

    def find_routing(self) -> RoutingConfiguration:
        """Return the newest routes that are known to be committed."""
        applied = self.machine.routing.content
        recalled = self.last_known_routing
        return applied if applied.version >= recalled.version else recalled

    def handle_applied(self) -> None:
        """Pass on what a command or a restored snapshot changed."""
        if self.machine.drained != self.members.drained:
            now = self.clock.read_monotonic()
            self.members.set_drained(self.machine.drained, now)
        self.notify_all_streams()

    def notify_all_streams(self) -> None:
        """Have every stream look for something new."""
        self.agent_notifier.notify_all()
        self.entry_notifier.notify_all()

    def notify_member_changes(self) -> bool:
        """Wake the entries' streams when they must hear of a member at once.

        Loads alone wake nobody: they go with the next heartbeat.
        """
        changed = self.members.urgent_change_count != self._seen_changes
        if changed:
            self._seen_changes = self.members.urgent_change_count
            self.entry_notifier.notify_all()
        return changed

    def expire_leases(self, now: float) -> None:
        """End leases that ran out, and wake the streams when one did."""
        if self.members.expire(now):
            self.local_change_count += 1
        self.entries.expire(now)
        self.notify_member_changes()
