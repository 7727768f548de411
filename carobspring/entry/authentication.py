"""Finding the workspace that a caller's key belongs to."""

import hashlib
import os

from carobspring.domain import Settings, Workspace
from carobspring.entry.errors import CallError
from carobspring.settings import matches_key

MAX_KEY_LENGTH = 512
MAX_CACHED_KEYS = 8192


class KeyDirectory:
    """Finds workspaces by key at one revision of the settings.

    A key that names its workspace, as ``workspace.secret``, is compared with
    that workspace's hashes only. Any other costs one pass over all hashes,
    after which it is remembered by a salted digest, so that many workspaces
    don't cost a pass for each call.
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
        key = key.strip()
        if scheme.lower() != "bearer" or not 0 < len(key) <= MAX_KEY_LENGTH:
            message = "Send your workspace's key as 'Authorization: Bearer KEY'."
            raise CallError(code="invalid_api_key", message=message)
        workspace = self._remember(key) if key.isascii() else None
        if workspace is None:
            message = "This key belongs to no workspace; ask your operator."
            raise CallError(code="invalid_api_key", message=message)
        return workspace

    def _remember(self, key: str) -> Workspace | None:
        raw = key.encode()
        digest = hashlib.blake2b(raw, salt=self._salt, digest_size=16).digest()
        if digest not in self._remembered:
            if len(self._remembered) >= MAX_CACHED_KEYS:
                self._remembered.clear()
            self._remembered[digest] = self._search(key)
        return self._remembered[digest]

    def _search(self, key: str) -> Workspace | None:
        named = self._workspaces.get(key.rpartition(".")[0])
        if named is not None and _is_key_of(key, named):
            return named
        for workspace in self._workspaces.values():
            if _is_key_of(key, workspace):
                return workspace
        return None


def _is_key_of(key: str, workspace: Workspace) -> bool:
    return any(matches_key(key, key_hash) for key_hash in workspace.key_hashes)
