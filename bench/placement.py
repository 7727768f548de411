"""Measures the choice of a backend server on the users' machines.

Prints the processor time of ``Dispatcher.place`` by the number of engines, for
a mix of long prompts and chats with 60 requests in flight. Run:

    python -m bench.placement
"""

import json
import random
import time
from collections import deque

import fire

from carobspring.adapters.clock import SystemRandom
from carobspring.dispatch import (
    AttemptOutcome,
    Dispatcher,
    DispatchQuery,
    Placement,
)
from carobspring.domain import BackendServer, ServiceKind

ENGINE_COUNTS = (6, 38, 75, 300, 600)
ZONES = 6
REQUESTS = 1500
IN_FLIGHT = 60
#: Seconds between two requests.
INTERVAL_S = 0.01
LONG_PROMPT_SHARE = 0.8


def build_dispatcher(engines: int) -> Dispatcher:
    """Return the dispatcher of an entry that knows this many engines."""
    dispatcher = Dispatcher(zone="z0", random=SystemRandom(seed=1))
    for number in range(engines):
        server = BackendServer(
            server_id=f"i-{number:08x}",
            boot=1,
            service="svc",
            kind=ServiceKind.MODEL,
            zone=f"z{number % ZONES}",
            host="10.0.0.1",
            port=1000 + number,
            slots=16,
        )
        dispatcher.add_server(server, draining=False)
    return dispatcher


def build_query(number: int, generator: random.Random) -> DispatchQuery:
    """Return a long prompt or a chat."""
    is_long = generator.random() < LONG_PROMPT_SHARE
    first, second, own = (2520, 3780, 2890) if is_long else (103, 68, 543)
    session = generator.randrange(232 if is_long else 60)
    return DispatchQuery(
        request_id=f"q{number}",
        service="svc",
        priority=1,
        deadline=number * INTERVAL_S + 4.0,
        target_s=1.0,
        is_stream=True,
        event_gap_target_s=0.1,
        prompt_tokens=first + second + own,
        output_tokens=50 if is_long else 280,
        parts=(
            (f"{generator.randrange(4):x}a", first),
            (f"{session:x}b{is_long:d}", second),
            (f"{number:x}c", own),
        ),
    )


def measure_place_us(engines: int) -> tuple[float, float]:
    """Return the median and the 99th percentile, in microseconds."""
    dispatcher = build_dispatcher(engines)
    generator = random.Random(2)
    in_flight: deque[tuple[str, str]] = deque()
    times_us = []
    for number in range(REQUESTS):
        now = number * INTERVAL_S
        query = build_query(number, generator)
        started_at = time.thread_time()
        placement = dispatcher.place(query, frozenset(), now)
        times_us.append((time.thread_time() - started_at) * 1e6)
        assert isinstance(placement, Placement)
        dispatcher.record_sent(placement, query, now)
        in_flight.append((placement.server.server_id, query.request_id))
        if len(in_flight) > IN_FLIGHT:
            server_id, request_id = in_flight.popleft()
            dispatcher.record_first_event(server_id, request_id, now)
            dispatcher.record_end(server_id, request_id, AttemptOutcome.ANSWERED, now)
    times_us.sort()
    return times_us[REQUESTS // 2], times_us[REQUESTS * 99 // 100]


def main() -> None:
    """Print one line for each number of engines."""
    for engines in ENGINE_COUNTS:
        median, high = measure_place_us(engines)
        result = {"engines": engines, "p50_us": round(median), "p99_us": round(high)}
        print(json.dumps(result))


if __name__ == "__main__":
    fire.Fire(main)
