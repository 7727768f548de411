"""What ``carob-control`` is composed of: state machine, streams, admin API."""

from carobspring.control.admin import AdminApi
from carobspring.control.claims import ClaimService
from carobspring.control.commands import Command, CommandResult
from carobspring.control.local_log import LocalLog
from carobspring.control.machine import ControlMachine
from carobspring.control.operators import OperatorTokens
from carobspring.control.proposals import CommandProposer, Peer
from carobspring.control.state import ControlState
from carobspring.control.streams import WatchService

__all__ = [
    "AdminApi",
    "ClaimService",
    "Command",
    "CommandProposer",
    "CommandResult",
    "ControlMachine",
    "ControlState",
    "LocalLog",
    "OperatorTokens",
    "Peer",
    "WatchService",
]
