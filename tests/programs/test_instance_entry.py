import json
import unittest
import zlib
from unittest import mock

from carobspring.adapters.clock import SystemRandom
from carobspring.dispatch import Dispatcher
from carobspring.gateway import GatewayState
from carobspring.ports import HttpLimits
from carobspring.programs.instance_entry_program import InstanceEntryProgram
from carobspring.protocol import ViewUpdate
from carobspring.protocol.control import RoutingConfiguration
from standins.operator import build_configuration


class RoutesInForceTests(unittest.TestCase):
    def setUp(self):
        self.program = object.__new__(InstanceEntryProgram)
        self.program._state = GatewayState()
        self.program._clock = mock.Mock()
        self.program._clock.read_monotonic.return_value = 0.0
        self.program._frontend = mock.Mock(limits=HttpLimits())
        self.program._backend_directory = mock.Mock()
        self.program._route_steps = mock.Mock()
        self.dispatcher = Dispatcher(zone="a", random=SystemRandom(seed=1))
        self.program._dispatcher = self.dispatcher

    def apply(self, version, **changes):
        body = json.dumps(build_configuration(version, **changes)).encode()
        routing = RoutingConfiguration(version=version, body=zlib.compress(body))
        self.program._apply_routing("replica", ViewUpdate(routing=routing))

    def list_capacities(self):
        return {
            name: engine.kv_capacity_tokens
            for name, engine in self.dispatcher._engines.items()
        }

    def test_dispatcher_knows_the_services(self):
        """The dispatcher gets the memory of engines with the routes in force.

        Without it, placement would fill engines until they preempt requests.
        """
        self.apply(2)
        self.assertEqual(self.list_capacities(), {"engines": 300_000})
        services = build_configuration(3)["services"]
        services[1]["engine"]["kv_capacity"] = 212_983
        self.apply(3, services=services)
        self.assertEqual(self.list_capacities(), {"engines": 212_983})
        self.apply(2)
        self.assertEqual(self.list_capacities(), {"engines": 212_983})
