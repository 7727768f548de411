"""HTTP gateway that forwards requests to backend servers by routes."""

from carobspring.gateway.admission import AdmissionClient
from carobspring.gateway.api import GatewayApi
from carobspring.gateway.backends import BackendConnections
from carobspring.gateway.control import ControlStreams
from carobspring.gateway.directory import BackendDirectory
from carobspring.gateway.state import GatewayState

__all__ = [
    "AdmissionClient",
    "BackendConnections",
    "BackendDirectory",
    "ControlStreams",
    "GatewayApi",
    "GatewayState",
]
