"""The operator's settings as one value."""

from dataclasses import dataclass, field

from carobspring.domain.classes import ServiceClass
from carobspring.domain.services import Service
from carobspring.domain.workspaces import Workspace


@dataclass(frozen=True, kw_only=True)
class Settings:
    """Every class, workspace and service at one revision.

    Revisions start at zero, for empty settings, and grow by one with each
    accepted change. A process that has seen a revision never serves by an
    older one.
    """

    revision: int = 0
    classes: dict[str, ServiceClass] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
