"""Bounds of the gate of an engine."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class AdmissionLimits:
    """Named constants of the gate's decisions, each with its unit."""

    #: Prompt tokens that wait inside the engine beside what it has read and
    #: nobody has told of yet: two long prompts.
    engine_queue_tokens: int = 6_000
    #: Part of the room that lower ranks leave free while higher ones come, so
    #: that these don't wait: two prompts of middle length.
    reserved_tokens: int = 4_000
    #: Tokens a second of higher ranks from which on that is done.
    reservation_tokens_per_s: float = 1_000.0
    #: Seconds from the end of reading until that is told: some eight steps to
    #: the first event, and its way over a busy entry.
    report_delay_s: float = 0.25
    #: Tokens read in a second, until it is learned, and the bounds of that.
    initial_tokens_per_s: float = 50_000.0
    min_tokens_per_s: float = 8_000.0
    max_tokens_per_s: float = 92_000.0
    #: Busy seconds over which the rate is remembered.
    rate_decay_s: float = 2.0
    #: Seconds from the end of reading to the first event.
    first_event_s: float = 0.1
    #: Seconds over which arrivals are remembered.
    arrival_decay_s: float = 2.0
    #: Part of the engine that arrivals of higher ranks leave at least in a
    #: prediction, so that it stays finite.
    min_free_share: float = 0.1
    #: Part of the time left to a caller within which a late first event is
    #: expected, for the request to wait at all: it has to generate, too.
    late_wait_share: float = 0.5
    #: Seconds after which an admitted request that nobody tells of is no
    #: longer counted: its entry has died, or the engine hangs.
    admitted_expiry_s: float = 2.0
