"""Estimates of an engine's reading rate and of the arrival rates."""

import math

from carobspring.admission.limits import AdmissionLimits


class ReadingRate:
    """Prompt tokens that the engine reads in a second while it is busy."""

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

    def add_busy_time(self, seconds: float) -> None:
        """Count time in which the engine had prompts to read."""
        kept_share = math.exp(-seconds / self._limits.rate_decay_s)
        self._tokens *= kept_share
        self._busy_s = self._busy_s * kept_share + seconds

    def add_tokens(self, tokens: int) -> None:
        """Count the tokens of a prompt that has been read."""
        self._tokens += tokens


class ArrivalRate:
    """Prompt tokens that arrive in a second, by rank."""

    def __init__(self, *, limits: AdmissionLimits) -> None:
        self._decay_s = limits.arrival_decay_s
        self._tokens: dict[int, float] = {}
        self._updated_at = 0.0

    def add_tokens(self, rank: int, tokens: int, now: float) -> None:
        """Count the tokens of a request that was queued."""
        self._decay(now)
        self._tokens[rank] = self._tokens.get(rank, 0.0) + tokens

    def compute_rate_above(self, rank: int, now: float) -> float:
        """Return tokens a second of the ranks served before this one."""
        self._decay(now)
        ahead = sum(tokens for key, tokens in self._tokens.items() if key < rank)
        return ahead / self._decay_s

    def compute_rate_from(self, rank: int, now: float) -> float:
        """Return tokens a second of this rank and of those above it."""
        return self.compute_rate_above(rank + 1, now)

    def _decay(self, now: float) -> None:
        kept_share = math.exp(-max(0.0, now - self._updated_at) / self._decay_s)
        self._tokens = {
            rank: tokens * kept_share
            for rank, tokens in self._tokens.items()
            if tokens * kept_share >= 1.0
        }
        self._updated_at = max(self._updated_at, now)
