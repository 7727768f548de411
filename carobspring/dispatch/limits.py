"""Bounds and weights of the dispatcher."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class DispatchLimits:
    """Named constants of the decisions, each with its unit."""

    #: Prompt tokens that an engine reads in a second while it also generates:
    #: a chunk of 1,024 between steps takes 15 to 18 ms.
    prefill_tokens_per_s: float = 60_000.0
    #: Seconds from the start of reading to the first event, at rest.
    first_event_s: float = 0.07
    #: Seconds that one more running request adds for a new one, by slower
    #: steps: 0.12 ms a step, and some 16 steps to the first event.
    running_request_cost_s: float = 0.002
    #: Seconds that a plain service works on a request, until it is learned.
    initial_plain_service_s: float = 0.04
    #: Seconds of delay to a server in another availability zone and back.
    cross_zone_delay_s: float = 0.008
    #: Seconds that a kilobyte across zones weighs, since those links cost.
    cross_zone_kilobyte_s: float = 0.0004
    #: Seconds that a prompt's part is believed to stay in a server's memory.
    cached_part_ttl_s: float = 20.0
    #: Parts remembered for one server.
    max_cached_parts: int = 512
    #: Share of a prompt's shared parts that its home server probably keeps.
    home_cached_share: float = 0.8
    #: Shared tokens from which all entries send a prompt to one home server of
    #: all zones; smaller prompts have one home in each zone.
    global_home_tokens: int = 2000
    #: Shared tokens from which a prompt's start is copied from its home.
    min_copied_tokens: int = 256
    #: Seconds that copying a shared start from its home weighs.
    copy_cost_s: float = 0.01
    #: Seconds after which what a response told of the load is ignored.
    max_load_age_s: float = 1.0
    #: Seconds after which a gate's word on its engine's work is ignored: gates
    #: say something every 2.5 s, and at once when much has changed.
    max_backlog_age_s: float = 3.0
    #: Unread tokens from which on a request asks the gate of an engine.
    min_admission_tokens: int = 1000
    #: Engines whose gates a request asks before it is turned away.
    max_admission_asks: int = 2
    #: Weight of a new observation of waits and work.
    smoothing: float = 0.4
    #: Quantile of the pauses between events that placement goes by.
    pause_quantile: float = 0.97
    #: Seconds of silence of a request that say nothing of its server.
    allowed_silence_s: float = 0.4
    #: Seconds without a further event after which a stream is moved, and
    #: without its first one: callers give up after about two seconds.
    stream_stall_timeout_s: float = 1.0
    first_event_timeout_s: float = 1.2
    #: Seconds by which one observation moves the estimate of that quantile.
    pause_step_s: float = 0.004
    #: Part of its pause target up to which a server's pauses don't matter.
    tolerated_pause_share: float = 0.75
    #: Seconds that a stream which will stall weighs against its placement.
    pause_cost_s: float = 0.3
    #: Engine time of one token of output among some 25 streams: a step of 6 ms
    #: makes a token of each.
    output_token_s: float = 0.00024
    #: Seconds over which the mix of reading and generating is remembered.
    mix_decay_s: float = 5.0
    #: Seconds after which what control replicas told of it is ignored; they
    #: tell it every second.
    max_demand_age_s: float = 5.0
    #: Part of its time that an engine kept for generating is to be used; above
    #: it, the prompts of the streams themselves make their pauses long.
    generating_utilization: float = 0.65
    #: Engine time, in seconds, that has to be seen before engines are kept
    #: apart.
    min_mix_s: float = 0.5
    #: Engines of a service from which on they are kept apart.
    min_engines: int = 3
    #: Engines by which the mix has to change the number kept for generating.
    count_hysteresis: float = 0.6
    #: Seconds that the wrong kind of engine weighs. A stream among prompts has
    #: long pauses; a prompt among streams costs all of them theirs, so one of
    #: lower rank waits longer than any caller does.
    stream_on_prefill_engine_s: float = 0.15
    prompt_on_generating_engine_s: float = 1.0
    lower_rank_prompt_on_generating_engine_s: float = 10.0
    #: Retry-After of a refusal when nothing better is known, seconds.
    default_retry_s: float = 0.3
