"""What a gate learns of its engine and of its callers."""

import math

from carobspring.admission.limits import AdmissionLimits


class ReadingRate:
    """Prompt tokens that the engine reads in a second while it has some."""

    def __init__(self, *, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._tokens = limits.initial_tokens_per_s * limits.rate_decay_s
        self._busy_s = limits.rate_decay_s

    @property
    def tokens_per_s(self) -> float:
        """The rate, within its bounds."""
        limits = self._limits
        rate = self._tokens / self._busy_s
        return min(limits.max_tokens_per_s, max(limits.min_tokens_per_s, rate))

    def note_busy(self, seconds: float) -> None:
        """Count time in which admitted prompts were unread."""
        kept = math.exp(-seconds / self._limits.rate_decay_s)
        self._tokens *= kept
        self._busy_s = self._busy_s * kept + seconds

    def note_read(self, tokens: int) -> None:
        """Count a prompt that is read."""
        self._tokens += tokens


class ArrivalRate:
    """Prompt tokens that are asked for in a second, by rank."""

    def __init__(self, *, limits: AdmissionLimits) -> None:
        self._memory_s = limits.arrival_decay_s
        self._tokens: dict[int, float] = {}
        self._at = 0.0

    def note(self, rank: int, tokens: int, now: float) -> None:
        """Count a request that was taken in."""
        self._fade(now)
        self._tokens[rank] = self._tokens.get(rank, 0.0) + tokens

    def count_before(self, rank: int, now: float) -> float:
        """Return tokens a second of all ranks that go before this one."""
        self._fade(now)
        ahead = sum(tokens for key, tokens in self._tokens.items() if key < rank)
        return ahead / self._memory_s

    def count_through(self, rank: int, now: float) -> float:
        """Return tokens a second of this rank and those before it."""
        return self.count_before(rank + 1, now)

    def _fade(self, now: float) -> None:
        kept = math.exp(-max(0.0, now - self._at) / self._memory_s)
        self._tokens = {
            rank: tokens * kept
            for rank, tokens in self._tokens.items()
            if tokens * kept >= 1.0
        }
        self._at = max(self._at, now)
