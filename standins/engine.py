"""A simulated inference engine: batching, priorities, prefix cache."""

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
    """Speed and capacity of an engine.

    A step generates one token for each sequence in the batch and takes
    ``token_ms * (1 + crowding * (batch - 1))`` milliseconds.
    """

    slots: int = 8
    token_ms: float = 10.0
    crowding: float = 0.05
    #: Prefill time of one prompt word that is not in the prefix cache.
    prompt_word_ms: float = 0.2
    prefix_blocks: int = 512


@dataclass(kw_only=True)
class EngineCounters:
    """Counters of an engine since its start."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    generated_tokens: int = 0
    #: Tokens of sequences cancelled by request or by a disconnect.
    wasted_tokens: int = 0
    prefix_hits: int = 0


@dataclass(kw_only=True, eq=False)
class EngineSequence:
    """One prompt in the engine, with the number of tokens generated."""

    prompt: str
    tokens: int
    priority: int
    generated: int = 0
    running: bool = False
    cancelled: bool = False
    ready_at: float = 0.0
    token_generated: asyncio.Event = field(default_factory=asyncio.Event)

    async def wait_for_more_than(self, count: int) -> int:
        """Wait until more than ``count`` tokens exist; return their number."""
        while self.generated <= count:
            self.token_generated.clear()
            await self.token_generated.wait()
        return self.generated


class PrefixCache:
    """A cache of prompt prefixes that evicts the least recently used."""

    def __init__(self, *, blocks: int) -> None:
        self._limit = blocks
        self._seen: OrderedDict[bytes, None] = OrderedDict()

    def add(self, words: Sequence[str]) -> int:
        """Add a prompt; return how many of its words were cached."""
        cached = 0
        is_prefix_cached = True
        digest = hashlib.blake2b(digest_size=16)
        for start in range(0, len(words), PREFIX_BLOCK_WORDS):
            block = words[start : start + PREFIX_BLOCK_WORDS]
            digest.update("\0".join(block).encode())
            key = digest.digest()
            is_prefix_cached = is_prefix_cached and key in self._seen
            cached += len(block) if is_prefix_cached else 0
            self._seen[key] = None
            self._seen.move_to_end(key)
        while len(self._seen) > self._limit:
            self._seen.popitem(last=False)
        return cached


class Engine:
    """Runs sequences in a continuous batch, lowest priority value first."""

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
        self._arrival_numbers = itertools.count()
        self._cache = PrefixCache(blocks=parameters.prefix_blocks)
        self._step_task: asyncio.Task[None] | None = None

    def submit(self, *, prompt: str, tokens: int, priority: int) -> EngineSequence:
        """Queue a prompt, which runs once the batch has a free slot."""
        sequence = EngineSequence(prompt=prompt, tokens=tokens, priority=priority)
        heapq.heappush(self._waiting, (priority, next(self._arrival_numbers), sequence))
        self._fill_batch()
        if self._step_task is None:
            self._step_task = asyncio.create_task(self._run_steps())
        return sequence

    def cancel(self, sequence: EngineSequence) -> None:
        """Cancel a sequence, even a finished one whose caller is gone."""
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
        self._fill_batch()

    def read_load(self) -> tuple[int, int]:
        """Return the numbers running and waiting as of ``load_lag_s`` ago."""
        self._record_load()
        cutoff = asyncio.get_running_loop().time() - self._load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= cutoff:
            self._loads.popleft()
        return self._loads[0][1:]

    def _record_load(self) -> None:
        now = asyncio.get_running_loop().time()
        load = (now, len(self._running), len(self._waiting))
        if load[1:] != self._loads[-1][1:]:
            self._loads.append(load)

    def _fill_batch(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._waiting and len(self._running) < self.parameters.slots:
            sequence = heapq.heappop(self._waiting)[2]
            words = sequence.prompt.split()
            cached = self._cache.add(words)
            self.counters.prefix_hits += cached > 0
            self.counters.started += 1
            prefill_ms = (len(words) - cached) * self.parameters.prompt_word_ms
            sequence.ready_at = now + prefill_ms * self.slow_factor / 1000
            sequence.running = True
            self._running.append(sequence)
        self._record_load()

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        step_at = loop.time()
        while self._running:
            slowdown = 1 + self.parameters.crowding * (len(self._running) - 1)
            step_s = self.parameters.token_ms * slowdown * self.slow_factor / 1000
            step_at = max(step_at + step_s, loop.time())
            await asyncio.sleep(step_at - loop.time())
            self._generate_tokens(loop.time())
        self._step_task = None

    def _generate_tokens(self, now: float) -> None:
        for sequence in list(self._running):
            if sequence.ready_at > now:
                continue
            sequence.generated += 1
            self.counters.generated_tokens += 1
            sequence.token_generated.set()
            if sequence.generated >= sequence.tokens:
                sequence.running = False
                self._running.remove(sequence)
                self.counters.finished += 1
        self._fill_batch()
