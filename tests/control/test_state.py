import asyncio
import unittest
import unittest.mock

import msgspec

from carobspring.adapters.clock import SystemClock
from carobspring.control.commands import Command
from carobspring.control.routing import RoutingChange
from carobspring.control.sessions import EntrySession
from carobspring.control.state import ControlState, StreamNotifier
from carobspring.domain import LoadReport
from carobspring.membership import table as table_module
from carobspring.protocol import AgentReport, RoutingConfiguration, Strike
from tests.control.harness import make_server


class RecordingEvent(asyncio.Event):
    """An event that records its name when it is set."""

    def __init__(self, name: int, names: list[int]) -> None:
        super().__init__()
        self._name = name
        self._names = names

    def set(self) -> None:
        self._names.append(self._name)
        super().set()


class ServiceTests(unittest.TestCase):
    """Services that a configuration names."""

    def apply_foreign(self, state):
        """Apply a report of two servers, with room for one."""
        for number in range(2):
            report = AgentReport(server=make_server(f"f{number}"), load=LoadReport())
            state.members.apply_report(report, 0.1 + number)
        return len(state.members.list_present())

    def test_bound_before_a_configuration(self):
        """Few servers are kept while a configuration is still to come.

        Where none names services, all servers are kept.
        """
        name = "MAX_PRESENT_BEFORE_SERVICES"
        with unittest.mock.patch.object(table_module, name, 1):
            state = ControlState(replica_id="a", clock=SystemClock())
            self.assertEqual(self.apply_foreign(state), 2)
            state = ControlState(
                replica_id="a",
                clock=SystemClock(),
                find_services=lambda routing: frozenset({"svc"}),
            )
            self.assertEqual(self.apply_foreign(state), 1)


class HeldStrikeTests(unittest.TestCase):
    def test_entries_get_only_held_requests(self):
        """Entries are sent the strikes of requests that all hold back."""
        state = ControlState(replica_id="a", clock=SystemClock())
        strikes = {
            (request, server): Strike(
                workspace="w",
                request_hash=request,
                server_id=server,
                boot=1,
                at_ms=1,
            )
            for request, server in (("h1", "s1"), ("h2", "s1"), ("h1", "s2"))
        }
        session = EntrySession(state=state)
        state.merge_strikes(strikes.values(), ())
        held = {strikes["h1", "s1"], strikes["h1", "s2"]}
        self.assertEqual(set(session.build_update().strikes), held)
        self.assertEqual(session.build_update().strikes, ())
        state.merge_strikes((), held)
        self.assertEqual(set(session.build_update().released), held)
        self.assertEqual(EntrySession(state=state).build_update().strikes, ())


class NamedServiceTests(unittest.TestCase):
    def test_services_of_the_newest_routes(self):
        """Entries see servers of services that the newest routes name."""
        state = ControlState(
            replica_id="a",
            clock=SystemClock(),
            find_services=lambda routing: frozenset(routing.body.decode().split(",")),
        )
        state.restore_routing(RoutingConfiguration(version=3, body=b"x"))
        report = AgentReport(server=make_server(), load=LoadReport(sequence=1))
        now = state.clock.read_monotonic()
        self.assertIs(state.members.apply_report(report, now).accepted, True)
        shown = []
        for version, services in ((2, b"llama"), (4, b"y"), (5, b"x,llama")):
            content = RoutingConfiguration(version=version, body=services)
            command = Command(routing=RoutingChange(content=content))
            state.machine.apply(version, msgspec.msgpack.encode(command))
            shown.append(len(state.members.compute_delta(None).servers))
        self.assertEqual(shown, [0, 0, 1])


class StreamNotifierTests(unittest.TestCase):
    def test_order_of_subscription(self):
        """Streams are notified in the order in which they subscribed."""
        notifier = StreamNotifier()
        names: list[int] = []
        with unittest.mock.patch.object(
            asyncio, "Event", lambda: RecordingEvent(len(events), names)
        ):
            events: list[asyncio.Event] = []
            for _ in range(100):
                events.append(notifier.subscribe())
        notifier.unsubscribe(events[40])
        notifier.notify_all()
        self.assertEqual(names, [n for n in range(100) if n != 40])
        self.assertEqual(notifier.count_streams(), 99)
