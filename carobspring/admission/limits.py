"""Bounds of the admission controller of an engine."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class AdmissionLimits:
    """Named constants of the admission decisions, each with its unit."""

    #: Prompt tokens queued inside the engine, beside those that it has read
    #: but not reported yet: two long prompts.
    engine_queue_tokens: int = 6_000
    #: Part of the reading limit that lower ranks leave free while requests of
    #: higher ranks arrive, so that these need not wait: two prompts of medium
    #: length.
    reserved_tokens: int = 4_000
    #: Arrival rate of higher ranks, in tokens a second, from which tokens are
    #: reserved for them.
    reservation_tokens_per_s: float = 1_000.0
    #: Seconds from the end of reading a prompt until that is reported: some
    #: eight steps to the first event, and its transfer by a busy entry.
    report_delay_s: float = 0.25
    #: Tokens that the engine reads in a second: the estimate before the first
    #: observations, and the bounds of the estimate.
    initial_tokens_per_s: float = 50_000.0
    min_tokens_per_s: float = 8_000.0
    max_tokens_per_s: float = 92_000.0
    #: Decay time of the reading rate, in seconds during which the engine is
    #: busy.
    rate_decay_s: float = 2.0
    #: Seconds from the end of reading to the first event.
    first_event_s: float = 0.1
    #: Decay time of the arrival rates, in seconds.
    arrival_decay_s: float = 2.0
    #: Least part of the reading rate that a prediction leaves beside arrivals
    #: of higher ranks, so that the predicted wait stays finite.
    min_free_share: float = 0.1
    #: Part of the time left to a caller within which the first event of a
    #: late request must be expected for it to wait at all, since the output
    #: has to be generated in the rest.
    late_wait_share: float = 0.5
    #: Seconds for which permits that nobody takes are saved; one at least.
    rate_burst_s: float = 0.5
    #: Seconds after which an admitted request without a report is no longer
    #: counted: its entry has died, or the engine hangs.
    admitted_expiry_s: float = 2.0
