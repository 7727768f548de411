"""Workspaces: the customers whose keys callers present."""

from dataclasses import dataclass

from carobspring.domain.errors import check_name, check_range


@dataclass(frozen=True, kw_only=True)
class Workspace:
    """A workspace, the hashes of its keys and its limit.

    ``key_hashes`` holds salted hashes as the settings package makes them; no
    key is kept in clear. ``concurrency_limit`` bounds the calls of the
    workspace in flight at one entry; zero leaves it without a limit.
    """

    name: str
    default_class: str
    key_hashes: tuple[str, ...] = ()
    concurrency_limit: int = 0

    def __post_init__(self) -> None:
        check_name("workspace", self.name)
        check_name("default_class", self.default_class)
        check_range("concurrency_limit", self.concurrency_limit, 0, 1_000_000, "calls")
