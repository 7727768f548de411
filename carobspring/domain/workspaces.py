"""Workspaces: the customers to whom API keys belong."""

from dataclasses import dataclass

from carobspring.domain.errors import check_name, check_range


@dataclass(frozen=True, kw_only=True)
class Workspace:
    """A workspace with its default class, key hashes and limit.

    ``key_hashes`` contains salted hashes from ``settings.hash_key``; keys are
    never stored in plain text. ``concurrency_limit`` is the maximum number of
    calls of the workspace in flight at one entry; zero means unlimited.
    """

    name: str
    default_class: str
    key_hashes: tuple[str, ...] = ()
    concurrency_limit: int = 0

    def __post_init__(self) -> None:
        check_name("workspace", self.name)
        check_name("default_class", self.default_class)
        check_range("concurrency_limit", self.concurrency_limit, 0, 1_000_000, "calls")
