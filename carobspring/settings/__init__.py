"""The operator's settings: changes and their results, audit trail and keys.

The package does no I/O. Each replica runs the settings machine on the
commands of the replicated log.
"""

from carobspring.settings.changes import (
    AuditEntry,
    Change,
    ChangeAnswer,
    ChangeRequest,
    ChangeStatus,
    KeyAddition,
    KeyRemoval,
    SubjectChange,
    WorkspaceSpec,
)
from carobspring.settings.evaluation import InvalidChangeError
from carobspring.settings.keys import (
    generate_key,
    get_fingerprint,
    hash_key,
    matches_key,
)
from carobspring.settings.machine import SettingsMachine, SettingsSnapshot

__all__ = [
    "AuditEntry",
    "Change",
    "ChangeAnswer",
    "ChangeRequest",
    "ChangeStatus",
    "KeyAddition",
    "KeyRemoval",
    "SettingsMachine",
    "SettingsSnapshot",
    "SubjectChange",
    "InvalidChangeError",
    "WorkspaceSpec",
    "get_fingerprint",
    "generate_key",
    "hash_key",
    "matches_key",
]
