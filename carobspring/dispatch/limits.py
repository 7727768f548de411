"""Bounds and weights of the dispatcher."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class DispatchLimits:
    """Named constants of the decisions, each with its unit."""

    #: Prompt tokens that an engine reads in a second, until it is learned.
    prefill_tokens_per_s: float = 90_000.0
    #: Seconds that one more running request adds for those that share a
    #: server, as a stand-in for its slower steps.
    sharing_cost_s: float = 0.004
    #: Seconds that a request in another availability zone costs besides the
    #: link's delay, for the bytes that cross.
    far_zone_cost_s: float = 0.03
    #: Seconds that a prompt's part is believed to stay in a server's memory.
    residency_s: float = 20.0
    #: Parts remembered for one server.
    residency_parts: int = 512
    #: Seconds after which what a response told of the load is ignored.
    load_age_s: float = 1.0
    #: Retry-After of a refusal when nothing better is known.
    default_retry_s: float = 0.3
