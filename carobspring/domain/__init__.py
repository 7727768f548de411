"""Value types that are shared by all packages.

All are frozen, keyword-only data classes that validate their fields on
construction. The package does no I/O, reads no clock and depends on no
transport.
"""

from carobspring.domain.addresses import Address, parse_address, parse_addresses
from carobspring.domain.backends import (
    FINAL_SEQUENCE,
    BackendServer,
    LoadReport,
    ServerLoad,
    ServiceKind,
)
from carobspring.domain.calls import CallHeaders, RunStatus, hash_request
from carobspring.domain.classes import LatencyTarget, ServiceClass
from carobspring.domain.errors import DomainError, InvalidValueError
from carobspring.domain.services import Service, UnrepeatableRoute
from carobspring.domain.settings import Settings
from carobspring.domain.workspaces import Workspace

__all__ = [
    "Address",
    "BackendServer",
    "CallHeaders",
    "DomainError",
    "FINAL_SEQUENCE",
    "InvalidValueError",
    "LatencyTarget",
    "LoadReport",
    "RunStatus",
    "ServerLoad",
    "Service",
    "ServiceClass",
    "ServiceKind",
    "Settings",
    "UnrepeatableRoute",
    "Workspace",
    "hash_request",
    "parse_address",
    "parse_addresses",
]
