"""The times that the gate keeps."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class CallTimings:
    """Seconds, unless a field says otherwise."""

    check_interval_s: float = 0.25
    heartbeat_s: float = 0.9
    #: A call goes on this long without any reader.
    orphan_s: float = 30.0
    #: A call waits this long for settings that it was decided by.
    settings_wait_s: float = 1.0
    #: Without a byte for this long, at least, an engine counts as hanging.
    hang_s: float = 10.0
    #: The same for a call whose class and workspace were never observed.
    default_hang_s: float = 120.0
    #: Multiple of the expected time that may pass without a byte.
    hang_factor: float = 8.0
    #: Multiple of the allowed silence while other calls still get bytes.
    active_server_factor: float = 4.0
    #: The entry waits this long for an outcome to be committed.
    commit_timeout_s: float = 10.0
    #: The commit is tried again for this long after that.
    late_commit_timeout_s: float = 600.0
