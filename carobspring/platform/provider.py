"""Settings of the provider's API, and its calls."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import msgspec

from carobspring.domain import Address, CallHeaders

USAGE_PATH: Final = "/usage"
#: Name of the duty of reporting usage, as the node file lists it.
USAGE_DUTY: Final = "metering"


@dataclass(frozen=True, kw_only=True)
class ProviderSettings:
    """The provider's API, and the duties that are called there."""

    address: Address
    duties: frozenset[str] = frozenset()
    #: Calls a second that it accepts from all instances together.
    calls_per_s: float = 1.0
    #: Seconds within which two holders must not act by turns.
    lease_s: float = 3.0
    #: Seconds after a freeze in which late calls are excused.
    thaw_s: float = 0.3
    usage_window_s: float = 5.0
    #: Seconds after the end of a window in which its report is due.
    usage_delay_s: float = 10.0

    @property
    def reports_usage(self) -> bool:
        """Whether usage is to be reported."""
        return USAGE_DUTY in self.duties


@dataclass(frozen=True, kw_only=True)
class ProviderCall:
    """A call to the provider, ready to be sent."""

    path: str
    headers: CallHeaders
    body: bytes


def build_usage_call(
    *, window: int, counts: Mapping[str, int], holder: str, token: int
) -> ProviderCall:
    """Return the call that reports a window's usage.

    Args:
        window: Number of the window since 1970.
        counts: Requests that began to run, by workspace.
        holder: Name of the instance that holds the duty.
        token: Its fencing token.
    """
    return ProviderCall(
        path=USAGE_PATH,
        headers=(
            ("Carobspring-Lease-Owner", holder),
            ("Carobspring-Fencing-Token", str(token)),
            ("Content-Type", "application/json"),
        ),
        body=msgspec.json.encode({"window_id": window, "counts": dict(counts)}),
    )
