"""Finding the workspace that a caller's key belongs to."""

from carobspring.domain import Settings, Workspace
from carobspring.entry.errors import CallError
from carobspring.settings import KeyIndex

MAX_KEY_BYTES = 512


class KeyDirectory:
    """Reads callers' ``Authorization`` headers at one revision."""

    def __init__(self, settings: Settings) -> None:
        self._index = KeyIndex(settings)

    def find_workspace(self, authorization: str | None) -> Workspace:
        """Return the workspace of an ``Authorization`` header's key.

        Raises:
            CallError: There is no key, or it belongs to no workspace.
        """
        scheme, _, key = (authorization or "").strip().partition(" ")
        key = key.strip()
        if scheme.lower() != "bearer" or not 0 < len(key) <= MAX_KEY_BYTES:
            message = "Send your workspace's key as 'Authorization: Bearer KEY'."
            raise CallError(code="invalid_api_key", message=message)
        workspace = self._index.find_workspace(key) if key.isascii() else None
        if workspace is None:
            message = "This key belongs to no workspace; ask your operator."
            raise CallError(code="invalid_api_key", message=message)
        return workspace
