"""The control plane: state machine, agent and entry streams, admin API."""

from carobspring.control.admin import AdminApi
from carobspring.control.admin_routes import AdminRoutes
from carobspring.control.claims import ClaimService
from carobspring.control.commands import Command, CommandResult
from carobspring.control.expiry import ClaimExpiry
from carobspring.control.gossip import GossipExchange, GossipTransport
from carobspring.control.local_log import LocalLog
from carobspring.control.machine import ControlMachine
from carobspring.control.metrics import ControlMetrics, ReplicationMetrics
from carobspring.control.operators import OperatorTokens, parse_operator_tokens
from carobspring.control.peers import RpcPeer, parse_peers
from carobspring.control.proposals import CommandProposer, Peer
from carobspring.control.replica_routes import Reconfigurable, ReplicaRoutes
from carobspring.control.state import ControlState
from carobspring.control.streams import ReplicaLocatorService, WatchService

__all__ = [
    "AdminApi",
    "AdminRoutes",
    "ClaimService",
    "Command",
    "CommandProposer",
    "CommandResult",
    "ControlMachine",
    "ControlMetrics",
    "ControlState",
    "ClaimExpiry",
    "GossipExchange",
    "GossipTransport",
    "LocalLog",
    "OperatorTokens",
    "Peer",
    "Reconfigurable",
    "ReplicaRoutes",
    "ReplicaLocatorService",
    "ReplicationMetrics",
    "RpcPeer",
    "WatchService",
    "parse_operator_tokens",
    "parse_peers",
]
