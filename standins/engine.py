"""A model of an inference engine: limited batch, priorities, prefixes."""

import asyncio
import hashlib
import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

PREFIX_BLOCK_WORDS = 16


@dataclass(frozen=True, kw_only=True)
class EngineParameters:
    """How fast an engine is and how much it holds.

    A step gives one token to each sequence in the batch and takes
    ``token_ms * (1 + crowding * (batch - 1))``.
    """

    slots: int = 8
    token_ms: float = 10.0
    crowding: float = 0.05
    #: Milliseconds to read one prompt word that is not in the prefix cache.
    prompt_word_ms: float = 0.2
    prefix_blocks: int = 512


@dataclass(kw_only=True)
class EngineCounters:
    """What an engine has done since it started."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    generated_tokens: int = 0
    #: Tokens of sequences that were cancelled or whose caller had gone.
    wasted_tokens: int = 0
    prefix_hits: int = 0


@dataclass(kw_only=True, eq=False)
class EngineSequence:
    """One prompt in the engine; tokens arrive as a count to wait for."""

    prompt: str
    tokens: int
    priority: int
    generated: int = 0
    running: bool = False
    cancelled: bool = False
    ready_at: float = 0.0
    arrived: asyncio.Event = field(default_factory=asyncio.Event)

    async def wait_for_more_than(self, count: int) -> int:
        """Wait until more than ``count`` tokens are there; return how many."""
        while self.generated <= count:
            self.arrived.clear()
            await self.arrived.wait()
        return self.generated


class PrefixCache:
    """Remembers which prompt prefixes were read lately."""

    def __init__(self, *, blocks: int) -> None:
        self._limit = blocks
        self._seen: OrderedDict[bytes, None] = OrderedDict()

    def add(self, words: Sequence[str]) -> int:
        """Take in a prompt; return how many of its words were known."""
        known = 0
        hit = True
        digest = hashlib.blake2b(digest_size=16)
        for start in range(0, len(words), PREFIX_BLOCK_WORDS):
            block = words[start : start + PREFIX_BLOCK_WORDS]
            digest.update("\0".join(block).encode())
            key = digest.digest()
            hit = hit and key in self._seen
            known += len(block) if hit else 0
            self._seen[key] = None
            self._seen.move_to_end(key)
        while len(self._seen) > self._limit:
            self._seen.popitem(last=False)
        return known


class Engine:
    """Runs sequences in a continuous batch, by priority, lowest first."""

    def __init__(
        self, *, parameters: EngineParameters, load_lag_s: float = 0.0
    ) -> None:
        self.parameters = parameters
        self.counters = EngineCounters()
        self.slow_factor = 1.0
        self._load_lag_s = load_lag_s
        self._loads: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])
        self._waiting: list[tuple[int, int, EngineSequence]] = []
        self._running: list[EngineSequence] = []
        self._order = itertools.count()
        self._cache = PrefixCache(blocks=parameters.prefix_blocks)
        self._stepper: asyncio.Task[None] | None = None

    def submit(self, *, prompt: str, tokens: int, priority: int) -> EngineSequence:
        """Queue a prompt; its tokens come as the batch has room."""
        sequence = EngineSequence(prompt=prompt, tokens=tokens, priority=priority)
        heapq.heappush(self._waiting, (priority, next(self._order), sequence))
        self._admit()
        if self._stepper is None:
            self._stepper = asyncio.create_task(self._run_steps())
        return sequence

    def cancel(self, sequence: EngineSequence) -> None:
        """Stop a sequence whose answer nobody receives, finished or not."""
        if sequence.cancelled:
            return
        sequence.cancelled = True
        self.counters.cancelled += 1
        self.counters.wasted_tokens += sequence.generated
        if sequence.running:
            sequence.running = False
            self._running.remove(sequence)
        else:
            self._waiting = [item for item in self._waiting if item[2] is not sequence]
            heapq.heapify(self._waiting)
        self._admit()

    def read_load(self) -> tuple[int, int]:
        """Return sequences running and waiting, as of the lag ago."""
        self._record_load()
        horizon = asyncio.get_running_loop().time() - self._load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= horizon:
            self._loads.popleft()
        return self._loads[0][1:]

    def _record_load(self) -> None:
        now = asyncio.get_running_loop().time()
        load = (now, len(self._running), len(self._waiting))
        if load[1:] != self._loads[-1][1:]:
            self._loads.append(load)

    def _admit(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._waiting and len(self._running) < self.parameters.slots:
            sequence = heapq.heappop(self._waiting)[2]
            words = sequence.prompt.split()
            known = self._cache.add(words)
            self.counters.prefix_hits += known > 0
            self.counters.started += 1
            unread_ms = (len(words) - known) * self.parameters.prompt_word_ms
            sequence.ready_at = now + unread_ms * self.slow_factor / 1000
            sequence.running = True
            self._running.append(sequence)
        self._record_load()

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while self._running:
            crowd = 1 + self.parameters.crowding * (len(self._running) - 1)
            step_s = self.parameters.token_ms * crowd * self.slow_factor / 1000
            due = max(due + step_s, loop.time())
            await asyncio.sleep(due - loop.time())
            self._take_step(loop.time())
        self._stepper = None

    def _take_step(self, now: float) -> None:
        for sequence in list(self._running):
            if sequence.ready_at > now:
                continue
            sequence.generated += 1
            self.counters.generated_tokens += 1
            sequence.arrived.set()
            if sequence.generated >= sequence.tokens:
                sequence.running = False
                self._running.remove(sequence)
                self.counters.finished += 1
        self._admit()
