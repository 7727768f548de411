"""Bounds and weights of the dispatcher."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class DispatchLimits:
    """Named constants of the dispatch decisions, each with its unit."""

    #: Prompt tokens that an engine reads in a second while it also generates:
    #: a chunk of 1,024 between steps takes 15 to 18 ms.
    prefill_tokens_per_s: float = 60_000.0
    #: Seconds from the start of reading to the first event of an idle engine.
    first_event_s: float = 0.07
    #: Seconds for which an answer proves that a server has its address.
    proof_s: float = 1.0
    #: Seconds by which each running request delays the first event of a new
    #: one, since it slows the steps: 0.12 ms a step, some 16 steps to the
    #: first event.
    running_request_cost_s: float = 0.002
    #: Service time of a request at a plain service, in seconds, until it has
    #: been observed.
    initial_plain_service_s: float = 0.04
    #: Seconds of delay to a server in another availability zone and back.
    cross_zone_delay_s: float = 0.008
    #: Share of its target time that a request waits in its own zone rather
    #: than go to another one, since links between zones are not free.
    cross_zone_target_share: float = 0.15
    #: The same in seconds for a prompt whose home is that of all zones.
    far_home_cost_s: float = 0.004
    #: Seconds for which a part of a prompt is expected to stay in a server's
    #: cache.
    cached_part_ttl_s: float = 20.0
    #: Parts remembered for one server.
    max_cached_parts: int = 512
    #: Share of a prompt's shared parts that its home server probably keeps.
    home_cached_share: float = 0.8
    #: Shared tokens from which all entries send a prompt to one home server of
    #: all zones; a prompt with fewer has one home in each zone.
    global_home_tokens: int = 2000
    #: Shared tokens from which a prompt's prefix is copied from its home.
    min_copied_tokens: int = 256
    #: Cost of copying a shared prefix from its home, in seconds.
    copy_cost_s: float = 0.01
    #: Additional cost of a copy at another server than the first of this zone.
    further_copy_cost_s: float = 0.05
    #: Seconds after which a load reported by a response is ignored.
    max_load_age_s: float = 1.0
    #: Time constant in seconds by which the reported slowdown of a server is
    #: smoothed: hosts report figures that change many times a second, and a
    #: request runs longer than each of them holds.
    slowdown_smoothing_s: float = 0.5
    #: Bounds of a reported slowdown. They keep one extreme figure from
    #: attracting all requests, or from excluding a server that still answers.
    min_slowdown: float = 0.25
    max_slowdown: float = 8.0
    #: Seconds after which the load that an admission controller reported for
    #: its engine is ignored: controllers report every 2.5 s, and at once when
    #: much has changed.
    max_engine_load_age_s: float = 3.0
    #: Unread tokens from which a request needs admission to an engine.
    min_admission_tokens: int = 1000
    #: Engines that a request asks for admission before it is refused.
    max_admission_requests: int = 2
    #: Weight of a new observation of a wait or a service time.
    smoothing: float = 0.4
    #: Quantile of the gaps between events that placement uses.
    event_gap_quantile: float = 0.97
    #: Seconds of silence of a request that do not yet count against its
    #: server.
    allowed_silence_s: float = 0.4
    #: Seconds after which a stream is moved when no further event comes, and
    #: when its first event does not come: callers give up after about two
    #: seconds.
    stream_stall_timeout_s: float = 1.0
    first_event_timeout_s: float = 1.2
    #: Seconds by which one observation moves the estimated gap quantile.
    event_gap_step_s: float = 0.004
    #: Share of a stream's event gap target up to which the gaps of a server
    #: add no cost.
    tolerated_event_gap_share: float = 0.75
    #: Cost of placing a stream where the event gaps exceed the tolerated share
    #: by the whole target, in seconds.
    event_gap_cost_s: float = 0.3
    #: Engine time of one token of output among some 25 streams, in seconds: a
    #: step of 6 ms generates a token of each.
    output_token_s: float = 0.00024
    #: Decay time of the observed mix of reading and generating, in seconds.
    mix_decay_s: float = 5.0
    #: Seconds after which the demand that control replicas reported is
    #: ignored; they report it every second.
    max_demand_age_s: float = 5.0
    #: Target share of busy time of an engine reserved for generating; above
    #: it, the prompts of the streams themselves cause long event gaps.
    generating_utilization: float = 0.65
    #: Streams for which the engines reserved in one zone have slots while all
    #: engines of the service have room.
    burst_streams: int = 32
    #: Seconds of engine time that must have been observed before engines are
    #: specialized.
    min_mix_s: float = 0.5
    #: Engines of a service from which they are specialized.
    min_engines: int = 3
    #: Engines by which the computed number of generating engines must differ
    #: from the current one to replace it.
    count_hysteresis: float = 0.6
    #: The same as a share of the current number. Each change of the number
    #: builds the indices of all engines anew.
    count_hysteresis_share: float = 0.1
    #: Costs of the wrong kind of engine, in seconds. A stream among prompts
    #: has long event gaps. A prompt among streams delays all of them, so one
    #: of lower rank costs more than any caller waits.
    stream_on_prefill_engine_s: float = 0.15
    prompt_on_generating_engine_s: float = 1.0
    lower_rank_prompt_on_generating_engine_s: float = 10.0
    #: Least seconds for which a limited server without a permit is left out.
    min_block_s: float = 0.05
    #: Longest rest that a server gets, in seconds, whatever it asks for.
    max_rest_s: float = 120.0
    #: Seconds between two tries to place a request that waits for a server
    #: whose rest has ended.
    return_poll_s: float = 0.02
    #: Seconds by which a request waits longer for each rank, so that more
    #: urgent ones get the first places of a server that returns.
    rank_delay_s: float = 0.005
    #: Seconds of Retry-After of a refusal when no estimate is known.
    default_retry_s: float = 0.3
