"""Finding the workspace that a caller's key belongs to."""

import hashlib
import os

from carobspring.domain import Settings, Workspace
from carobspring.entry.errors import CallError
from carobspring.settings import matches_key

MAX_KEY_BYTES = 512
MAX_REMEMBERED = 8192


class KeyDirectory:
    """Finds workspaces by key at one revision of the settings.

    A key may carry its workspace's name, as ``workspace.secret``: then only
    that workspace's hashes are compared. Any other key costs one pass over
    all hashes, after which it is remembered by a digest, so that many
    workspaces don't cost a pass for each call.
    """

    def __init__(self, settings: Settings) -> None:
        self._workspaces = settings.workspaces
        self._salt = os.urandom(16)
        self._remembered: dict[bytes, Workspace | None] = {}

    def find_workspace(self, authorization: str | None) -> Workspace:
        """Return the workspace of an ``Authorization`` header's key.

        Raises:
            CallError: There is no key, or it belongs to no workspace.
        """
        scheme, _, key = (authorization or "").strip().partition(" ")
        raw = key.strip().encode("utf-8", "surrogateescape")
        if scheme.lower() != "bearer" or not 0 < len(raw) <= MAX_KEY_BYTES:
            message = "Send your workspace's key as 'Authorization: Bearer KEY'."
            raise CallError(code="invalid_api_key", message=message)
        digest = hashlib.blake2b(raw, salt=self._salt, digest_size=16).digest()
        if digest not in self._remembered:
            if len(self._remembered) >= MAX_REMEMBERED:
                self._remembered.clear()
            self._remembered[digest] = self._search(key.strip())
        workspace = self._remembered[digest]
        if workspace is None:
            message = "This key belongs to no workspace; ask your operator."
            raise CallError(code="invalid_api_key", message=message)
        return workspace

    def _search(self, key: str) -> Workspace | None:
        name, dot, _ = key.rpartition(".")
        if dot and name in self._workspaces:
            named = self._match(self._workspaces[name], key)
            if named is not None:
                return named
        for workspace in self._workspaces.values():
            if self._match(workspace, key):
                return workspace
        return None

    def _match(self, workspace: Workspace, key: str) -> Workspace | None:
        if any(matches_key(key, hashed) for hashed in workspace.key_hashes):
            return workspace
        return None
