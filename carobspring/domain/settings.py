"""The settings that an operator manages."""

from dataclasses import dataclass, field

from carobspring.domain.classes import ServiceClass
from carobspring.domain.services import Service
from carobspring.domain.workspaces import Workspace


@dataclass(frozen=True, kw_only=True)
class Settings:
    """All classes, workspaces and services at one revision.

    Revision 0 is the empty settings, and each accepted change increments the
    revision by one. A process that has received a revision never applies an
    older one.
    """

    revision: int = 0
    classes: dict[str, ServiceClass] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
