"""The two deployments of the load benchmark, and their seeded load."""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass

from carobspring.domain import LatencyTarget, ServiceClass
from standins.engine import EngineParameters

#: Words of the prompt prefix that the calls of a workspace share.
PREFIX_WORD_COUNT = 64
#: Weights by which calls go to workspaces; a few workspaces send most.
WORKSPACE_SHARES = (30, 22, 16, 8, 6, 5, 4, 4, 3, 2)
#: Longest response.
MAX_TOKENS = 1200


@dataclass(frozen=True, kw_only=True)
class Burst:
    """A part of the run in which a class sends more than its even rate."""

    #: Start and end as fractions of the run.
    start: float
    end: float
    #: Fraction of the calls of the class that arrive in the burst.
    share: float


@dataclass(frozen=True, kw_only=True)
class ClassLoad:
    """The load of one service class."""

    service_class: ServiceClass
    #: Fraction of the offered tokens, for calls to a model.
    token_share: float = 0.0
    #: Calls per second, for calls to a plain service.
    calls_per_s: float = 0.0
    mean_tokens: int = 0
    #: Sigma of the log-normal distribution of response lengths.
    length_sigma: float = 0.6
    stream: bool = True
    #: Method and path at the plain service; a POST gets an idempotency key.
    method: str = ""
    path: str = ""
    burst: Burst | None = None

    @property
    def name(self) -> str:
        """The name of the service class."""
        return self.service_class.name


@dataclass(frozen=True, kw_only=True)
class Profile:
    """A deployment with its size and the load of its classes."""

    name: str
    model_service: str
    plain_service: str
    model: str
    zones: tuple[str, ...]
    runners: int
    plain_servers: int
    unrepeatable_path: str
    classes: tuple[ClassLoad, ...]
    #: One-way delay between zones, and the maximum random addition to it.
    zone_delay_ms: float = 0.0
    zone_jitter_ms: float = 1.0
    speed: EngineParameters = EngineParameters(slots=8, token_ms=20, crowding=0.05)

    @property
    def capacity(self) -> float:
        """Tokens per second that all runners generate with full batches."""
        slowdown = 1 + self.speed.crowding * (self.speed.slots - 1)
        step_s = self.speed.token_ms * slowdown / 1000
        return self.runners * self.speed.slots / step_s

    @property
    def workspaces(self) -> list[str]:
        """The names of the workspaces, largest first."""
        return [f"workspace-{index}" for index in range(len(WORKSPACE_SHARES))]


@dataclass(frozen=True, kw_only=True)
class PlannedCall:
    """One call to replay."""

    at_s: float
    load: ClassLoad
    workspace: str
    identifier: str
    tokens: int = 0

    @property
    def prefix(self) -> str:
        """The system message, which the workspace's calls of a class share."""
        return " ".join([self.workspace, self.load.name] * (PREFIX_WORD_COUNT // 2))


def build_class(name: str, priority: int, **target: int) -> ServiceClass:
    """Return a service class with the given latency target fields."""
    return ServiceClass(name=name, priority=priority, target=LatencyTarget(**target))


COOPERATIVE = Profile(
    name="cooperative",
    model_service="blurb-engine",
    plain_service="stall-desk",
    model="carob-small",
    zones=("anarkali", "saddar", "gulberg"),
    runners=6,
    plain_servers=3,
    unrepeatable_path="/bookings",
    zone_delay_ms=2.0,
    classes=(
        ClassLoad(
            service_class=build_class("chat", 90, first_token_ms=420, token_gap_ms=60),
            token_share=0.25,
            mean_tokens=30,
        ),
        ClassLoad(
            service_class=build_class("lookup", 70, total_ms=300),
            calls_per_s=15,
            method="GET",
            path="/catalogue",
        ),
        ClassLoad(
            service_class=build_class("blurb", 50, total_ms=8000),
            token_share=0.45,
            mean_tokens=60,
            stream=False,
            burst=Burst(start=0.0, end=0.15, share=0.4),
        ),
        ClassLoad(
            service_class=build_class("appraisal", 10, total_ms=60000),
            token_share=0.3,
            mean_tokens=250,
            stream=False,
        ),
    ),
)

LANGIT_TINGGI = Profile(
    name="langit-tinggi",
    model_service="carob-pool",
    plain_service="logbook-app",
    model="carob-large",
    zones=("kl-a", "kl-b", "kl-c"),
    runners=9,
    plain_servers=3,
    unrepeatable_path="/releases",
    zone_delay_ms=5.0,
    classes=(
        ClassLoad(
            service_class=build_class(
                "bulletin", 90, first_token_ms=500, token_gap_ms=60
            ),
            token_share=0.2,
            mean_tokens=40,
            burst=Burst(start=0.33, end=0.67, share=0.5),
        ),
        ClassLoad(
            service_class=build_class("release", 80, total_ms=500),
            calls_per_s=5,
            method="POST",
            path="/releases",
        ),
        ClassLoad(
            service_class=build_class("summary", 50, total_ms=12000),
            token_share=0.45,
            mean_tokens=90,
            stream=False,
            burst=Burst(start=0.33, end=0.5, share=0.4),
        ),
        ClassLoad(
            service_class=build_class("reconciliation", 10, total_ms=90000),
            token_share=0.35,
            mean_tokens=300,
            stream=False,
        ),
    ),
)

PROFILES = {profile.name: profile for profile in (COOPERATIVE, LANGIT_TINGGI)}


def plan_calls(
    profile: Profile, *, factor: float, duration_s: float, seed: int
) -> list[PlannedCall]:
    """Return the calls of a run at ``factor`` times the capacity, by time.

    The same arguments give the same calls.
    """
    calls: list[PlannedCall] = []
    for load in profile.classes:
        generator = random.Random(f"{seed} {profile.name} {load.name}")
        if load.mean_tokens:
            offered = profile.capacity * factor * load.token_share * duration_s
            lengths = list(draw_lengths(generator, load, offered))
        else:
            lengths = [0] * round(load.calls_per_s * duration_s)
        for index, tokens in enumerate(lengths):
            workspace = generator.choices(profile.workspaces, WORKSPACE_SHARES)[0]
            call = PlannedCall(
                at_s=draw_time(generator, load.burst) * duration_s,
                load=load,
                workspace=workspace,
                identifier=f"{load.name}-{seed}-{index}",
                tokens=tokens,
            )
            calls.append(call)
    return sorted(calls, key=lambda call: call.at_s)


def draw_lengths(
    generator: random.Random, load: ClassLoad, offered: float
) -> Iterator[int]:
    """Yield response lengths until they add up to the offered tokens."""
    total = 0
    for _ in itertools.count():
        factor = generator.lognormvariate(-load.length_sigma**2 / 2, load.length_sigma)
        tokens = min(max(round(load.mean_tokens * factor), 2), MAX_TOKENS)
        total += tokens
        if total > offered:
            return
        yield tokens


def draw_time(generator: random.Random, burst: Burst | None) -> float:
    """Return an arrival time as a fraction of the run."""
    if burst is not None and generator.random() < burst.share:
        return generator.uniform(burst.start, burst.end)
    return generator.random()
