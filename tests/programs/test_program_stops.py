"""Tests of the stop of each program when one of its parts fails."""

import asyncio
import unittest
from collections import defaultdict
from unittest import mock

from carobspring.programs.agent_program import AgentProgram
from carobspring.programs.control_program import ControlProgram
from carobspring.programs.entry_program import EntryProgram
from carobspring.programs.instance_control_program import InstanceControlProgram
from carobspring.programs.instance_entry_program import InstanceEntryProgram

#: Program, part that fails, parts that wait for open requests or close.
CASES = {
    "entry on an instance, start of the stop": (
        InstanceEntryProgram,
        "_api.begin_stop",
        ("_frontend.disable_keep_alive", "_frontend.drain", "_peer_socket.close"),
    ),
    "entry on an instance, wind-down": (
        InstanceEntryProgram,
        "_frontend.disable_keep_alive",
        ("_frontend.drain", "_backend_connections.close"),
    ),
    "entry on an instance, drain": (
        InstanceEntryProgram,
        "_frontend.drain",
        ("_backend_connections.close",),
    ),
    "control on an instance, streams": (
        InstanceControlProgram,
        "state.notify_all_streams",
        ("_supervisor.stop", "_http_server.drain", "_discovery.close"),
    ),
    "control on an instance, replica": (
        InstanceControlProgram,
        "_supervisor.stop",
        ("_http_server.drain", "_rpc_server.close", "_discovery.close"),
    ),
    "entry, drain": (
        EntryProgram,
        "_http_server.drain",
        ("_canceller.finish", "_http_server.close", "_pool.close"),
    ),
    "agent, report": (
        AgentProgram,
        "_control_stream.request_report",
        ("_manager.drain", "_manager.close", "_backend.close"),
    ),
    "agent, drain": (
        AgentProgram,
        "_manager.drain",
        ("_manager.close", "_control_stream.close", "_backend.close"),
    ),
    "control, transfer": (
        ControlProgram,
        "_replica.transfer_leadership",
        ("_admin_server.drain", "_replica.stop", "_storage.close"),
    ),
}


def build_parts():
    """Return stand-ins for the parts of a program, by attribute."""
    parts = defaultdict(mock.AsyncMock)
    parts["_clock"].read_monotonic = mock.Mock(return_value=0.0)
    parts["_settings"].stop_grace_s = 1.0
    parts["_options"].stop_grace_s = 0.0
    parts["_options"].drain_s = 1.0
    parts["_api"].open_requests = mock.Mock()
    parts["_api"].open_requests.__len__ = mock.Mock(return_value=0)
    parts["_api"].open_requests.list_oldest = mock.Mock(return_value=())
    parts["_replica"].is_leader = mock.Mock(return_value=True)
    parts["_api"].begin_stop = mock.Mock()
    parts["state"].notify_all_streams = mock.Mock()
    parts["_control_stream"].request_report = mock.Mock()
    parts["_stall_detector"].measure_lateness = mock.Mock(return_value=0.0)
    parts["_peers"] = {"replica": mock.AsyncMock()}
    parts["_rpc_peers"] = {}
    parts["_tasks"] = []
    parts["_servers"] = [mock.AsyncMock()]
    parts["_tick_task"] = parts["_control_task"] = None
    return parts


def find_call(parts, name):
    part, method = name.split(".")
    return getattr(parts[part], method)


async def stop_program(program_type, parts):
    """Stop a program that consists of these parts."""

    def find_part(program, name):
        return parts[name]

    patch = mock.patch.object(program_type, "__getattr__", new=find_part, create=True)
    with patch:
        await asyncio.wait_for(object.__new__(program_type).stop(), 10)


class StopScheduleTests(unittest.IsolatedAsyncioTestCase):
    async def test_signal_that_waited(self):
        """Requests are admitted by the earliest end, drained to the latest."""
        for late_s, ends_at in {0.0: 7.6, 3.0: 4.6, 20.0: -12.4}.items():
            with self.subTest(late_s=late_s):
                parts = build_parts()
                parts["_settings"].stop_grace_s = 8.0
                parts["_stall_detector"].measure_lateness.return_value = late_s
                await stop_program(InstanceEntryProgram, parts)
                (schedule,) = parts["_api"].begin_stop.call_args.args
                self.assertAlmostEqual(schedule.ends_at, ends_at)
                (drain_s,) = parts["_frontend"].drain.call_args.args
                self.assertAlmostEqual(drain_s, 7.6)


class FailedPartTests(unittest.IsolatedAsyncioTestCase):
    async def stop_program(self, program_type, failing):
        """Stop a program, one part of which fails; return its parts."""
        parts = build_parts()
        find_call(parts, failing).side_effect = ValueError("expected")
        await stop_program(program_type, parts)
        return parts

    async def test_each_program(self):
        """A part that fails keeps no other from its end."""
        for name, (program_type, failing, called) in CASES.items():
            with self.subTest(name):
                with self.assertLogs("carobspring", "ERROR"):
                    parts = await self.stop_program(program_type, failing)
                for each in called:
                    self.assertTrue(find_call(parts, each).called, each)
