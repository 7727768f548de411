"""What identifies a request, and others like it, when they come again."""

from typing import Final

from carobspring.dispatch import DispatchQuery
from carobspring.domain import hash_request
from carobspring.membership import CauseKey, build_part_key
from carobspring.ports import HttpRequest

#: Parts of one prompt that may be blamed for crashes. Prompts have a few.
MAX_PARTS: Final = 64
#: Parts in a log line, and characters of each.
MAX_LOGGED_PARTS: Final = 8
MAX_LOGGED_PART_LENGTH: Final = 24


class RequestIdentity:
    """The keys of a request and of the parts that its prompt shares.

    A caller sends a request again under a new identifier, but with the same
    method, target and body. The last part of a prompt belongs to the request
    or to its session.
    """

    def __init__(
        self, *, request: HttpRequest, workspace: str, query: DispatchQuery
    ) -> None:
        self.workspace = workspace
        self._request = request
        self._query = query
        self._causes: tuple[CauseKey, ...] = ()

    @property
    def digest(self) -> str:
        """The hash that stays the same when the request is sent again."""
        return self.list_causes()[0][1]

    def list_causes(self) -> tuple[CauseKey, ...]:
        """Return the keys of the request and of its parts, itself first."""
        if not self._causes:
            request = self._request
            target = f"{request.path}?{request.query}"
            digest = hash_request(request.method, target, request.body)
            self._causes = ((self.workspace, digest), *self.list_parts())
        return self._causes

    def list_parts(self) -> tuple[CauseKey, ...]:
        """Return the keys of the shared parts, without a hash of the body."""
        parts = (build_part_key(part) for part, _ in self._query.parts[:-1])
        return tuple(dict.fromkeys(parts))[:MAX_PARTS]

    def format_parts(self) -> str:
        """Return the shared parts, bounded for the log."""
        parts = self._query.parts[:-1][:MAX_LOGGED_PARTS]
        return ",".join(part[:MAX_LOGGED_PART_LENGTH] for part, _ in parts)
