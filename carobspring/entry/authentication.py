"""Looking up the workspace that a caller's API key belongs to."""

import hashlib
import os

from carobspring.domain import Settings, Workspace
from carobspring.entry.errors import CallError
from carobspring.settings import matches_key

MAX_KEY_LENGTH = 512
MAX_CACHED_KEYS = 8192


class KeyDirectory:
    """Looks up workspaces by API key at one revision of the settings.

    A key that names its workspace, as ``workspace.secret``, is first compared
    with that workspace's hashes. Without a match it is compared with all.
    The result is cached under a salted digest of the key, so that a large
    number of workspaces doesn't cost a full search for each call.
    """

    def __init__(self, settings: Settings) -> None:
        self._workspaces = settings.workspaces
        self._salt = os.urandom(16)
        self._cached: dict[bytes, Workspace | None] = {}

    def find_workspace(self, authorization: str | None) -> Workspace:
        """Return the workspace of the key in an ``Authorization`` header.

        Raises:
            CallError: There is no key, or it belongs to no workspace.
        """
        scheme, _, key = (authorization or "").strip().partition(" ")
        key = key.strip()
        if scheme.lower() != "bearer" or not 0 < len(key) <= MAX_KEY_LENGTH:
            message = "Send your workspace's key as 'Authorization: Bearer KEY'."
            raise CallError(code="invalid_api_key", message=message)
        workspace = self._find_cached(key) if key.isascii() else None
        if workspace is None:
            message = "This key belongs to no workspace; ask your operator."
            raise CallError(code="invalid_api_key", message=message)
        return workspace

    def _find_cached(self, key: str) -> Workspace | None:
        encoded = key.encode()
        digest = hashlib.blake2b(encoded, salt=self._salt, digest_size=16).digest()
        if digest not in self._cached:
            if len(self._cached) >= MAX_CACHED_KEYS:
                self._cached.clear()
            self._cached[digest] = self._search_hashes(key)
        return self._cached[digest]

    def _search_hashes(self, key: str) -> Workspace | None:
        named = self._workspaces.get(key.rpartition(".")[0])
        if named is not None and _is_key_of(key, named):
            return named
        for workspace in self._workspaces.values():
            if _is_key_of(key, workspace):
                return workspace
        return None


def _is_key_of(key: str, workspace: Workspace) -> bool:
    return any(matches_key(key, key_hash) for key_hash in workspace.key_hashes)
