"""The admin API client and the commands of ``carobctl``."""

from carobspring.operator.client import AdminClient, ApiError, UnreachableError
from carobspring.operator.editing import SettingsEditor
from carobspring.operator.tables import format_table
from carobspring.operator.waiting import NotInForceError, wait_until_in_force

__all__ = [
    "AdminClient",
    "ApiError",
    "NotInForceError",
    "SettingsEditor",
    "UnreachableError",
    "wait_until_in_force",
    "format_table",
]
