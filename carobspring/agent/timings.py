"""Intervals and timeouts of the call manager."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class CallTimings:
    """Intervals and timeouts in seconds, and factors that scale them."""

    check_interval_s: float = 0.25
    heartbeat_s: float = 0.9
    #: How long a call without a reader continues before it is cancelled.
    orphan_s: float = 30.0
    #: How long a call waits for the settings revision that it names.
    settings_wait_s: float = 1.0
    #: Shortest time without a byte after which an engine counts as hung.
    hang_s: float = 10.0
    #: Time without a byte after which an engine counts as hung while no
    #: service time is known.
    default_hang_s: float = 120.0
    #: Multiple of the expected service time that may pass without a byte.
    hang_factor: float = 8.0
    #: Factor that extends the allowed silence while other calls get bytes.
    active_server_factor: float = 4.0
    #: How long the end of a unique call is held back for its commit.
    commit_timeout_s: float = 10.0
    #: How long a commit that timed out is retried in the background.
    late_commit_timeout_s: float = 600.0
