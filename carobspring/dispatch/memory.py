"""The memory of an engine that requests hold, in tokens of its KV cache."""

from dataclasses import dataclass, field
from typing import Final

from carobspring.dispatch.queries import DispatchQuery

#: Share that earlier observations keep in the mean size of a request with each
#: request that is sent: the mean covers about the last ten. An entry often has
#: one or two requests at a server, whose sizes say little about the others.
KEPT_SHARE: Final = 0.9
#: Largest mean size of a request. Callers state the sizes of their prompts,
#: and an absurd one must not distort the mean for hundreds of requests.
MAX_MEAN_TOKENS: Final = 1_000_000
#: Number of the node above the first part of each prompt.
ROOT: Final = 0

#: The part before, by its number, and the identifier of the part.
PartKey = tuple[int, str]


@dataclass(kw_only=True)
class HeldPart:
    """A part of prompts that is in memory once for all who share it."""

    number: int
    tokens: int
    users: int = 0


@dataclass(kw_only=True)
class Holding:
    """What one request holds besides the parts of its prompt."""

    parts: list[PartKey] = field(default_factory=list)
    #: Prompt tokens outside of all parts.
    own_tokens: int = 0
    #: Output expected at the start, and its maximum or zero.
    expected_tokens: int = 0
    max_output_tokens: int = 0
    #: Output so far.
    output_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Tokens, with the output that is expected to come."""
        return self.own_tokens + max(self.output_tokens, self.expected_tokens)


class MemoryAccount:
    """Counts the tokens that this entry's requests hold at an engine.

    A request holds its prompt, its output so far and what is expected to
    come. Parts of prompts are counted once for all requests that begin with
    the same parts. The sum is kept up to date with each change, so that
    reading it takes no work per request.

    Example:
        ``account.add(query)``, then ``account.estimate_held(12)`` for an
        engine with 12 requests of all entries.
    """

    def __init__(self) -> None:
        self._holdings: dict[str, Holding] = {}
        self._parts: dict[PartKey, HeldPart] = {}
        self._last_number = ROOT
        #: Tokens of all requests.
        self._tokens = 0
        #: Decaying sums of the tokens and requests found at each addition.
        self._observed_tokens = 0.0
        self._observed_requests = 0.0

    @property
    def tokens(self) -> int:
        """Tokens that this entry's requests hold."""
        return self._tokens

    def add(self, query: DispatchQuery) -> None:
        """Add a request that is sent to the engine."""
        self.remove(query.request_id)
        holding = self._holdings[query.request_id] = Holding(
            own_tokens=_count_own_tokens(query),
            expected_tokens=compute_expected_output(query),
            max_output_tokens=query.max_output_tokens,
        )
        self._tokens += holding.tokens
        above = ROOT
        for part_id, tokens in query.parts:
            key = (above, part_id)
            part = self._parts.get(key)
            if part is None:
                self._last_number += 1
                part = HeldPart(number=self._last_number, tokens=tokens)
                self._parts[key] = part
                self._tokens += tokens
            part.users += 1
            holding.parts.append(key)
            above = part.number
        count = len(self._holdings)
        observed_tokens = min(self._tokens, count * MAX_MEAN_TOKENS)
        self._observed_tokens = KEPT_SHARE * self._observed_tokens + observed_tokens
        self._observed_requests = KEPT_SHARE * self._observed_requests + count

    def add_output(self, request_id: str, tokens: int) -> None:
        """Count output of a request; it holds no more than its maximum."""
        holding = self._holdings.get(request_id)
        if holding is None:
            return
        before = holding.tokens
        holding.output_tokens += tokens
        if holding.max_output_tokens:
            holding.output_tokens = min(
                holding.output_tokens, holding.max_output_tokens
            )
        self._tokens += holding.tokens - before

    def remove(self, request_id: str) -> None:
        """Remove a request that has ended, if it is known."""
        holding = self._holdings.pop(request_id, None)
        if holding is None:
            return
        self._tokens -= holding.tokens
        for key in holding.parts:
            part = self._parts[key]
            part.users -= 1
            if not part.users:
                del self._parts[key]
                self._tokens -= part.tokens

    def count_new_tokens(self, query: DispatchQuery) -> int:
        """Return the tokens that a request would add."""
        tokens = _count_own_tokens(query) + compute_expected_output(query)
        above = ROOT
        is_held = True
        for part_id, part_tokens in query.parts:
            part = self._parts.get((above, part_id)) if is_held else None
            if part is None:
                is_held = False
                tokens += part_tokens
            else:
                above = part.number
        return tokens

    def estimate_held(self, running: int) -> float:
        """Return the tokens that the requests of all entries hold.

        Args:
            running: Requests of all entries at the engine, this one's
                included. The others are taken to be like this entry's recent
                ones; nothing is known of them before the first of those.
        """
        others = running - len(self._holdings)
        if others <= 0 or not self._observed_requests:
            return float(self._tokens)
        mean_tokens = self._observed_tokens / self._observed_requests
        return self._tokens + others * mean_tokens


def compute_expected_output(query: DispatchQuery) -> int:
    """Return the expected output, bounded by the maximum if there is one."""
    if query.max_output_tokens:
        return min(query.output_tokens, query.max_output_tokens)
    return query.output_tokens


def _count_own_tokens(query: DispatchQuery) -> int:
    in_parts = sum(tokens for _, tokens in query.parts)
    return max(0, query.prompt_tokens - in_parts)
