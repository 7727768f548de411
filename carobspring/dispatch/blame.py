"""Decides which parts of prompts explain the crashes of backend servers."""

from collections.abc import Iterable, Iterator, Mapping, Sequence, Set
from dataclasses import dataclass
from typing import Final

from carobspring.membership import CauseKey, ServerRun

#: Crashes from which parts of prompts are blamed, and from which those are
#: that were answered before the crashes.
BLAMED_CRASHES: Final = 3
BLAMED_PROVEN_CRASHES: Final = 5


@dataclass(frozen=True, kw_only=True)
class Explanation:
    """Parts of prompts, one of which explains some crashes.

    The parts were running at the same crashes, so that nothing tells them
    apart. A request that has only some of them can: it ends well, or crashes
    a server without the others.
    """

    parts: frozenset[CauseKey]
    crashes: frozenset[ServerRun]
    #: Whether the parts were answered before the crashes.
    is_proven: bool = False


def explain_crashes(
    part_crashes: Mapping[CauseKey, Set[ServerRun]],
    request_crashes: Iterable[Set[ServerRun]] = (),
    proven: Set[CauseKey] = frozenset(),
) -> tuple[Explanation, ...]:
    """Return the fewest parts that explain the crashes.

    The part that ran at most crashes comes first. What it explains says
    nothing against others that ran there as well, and each further part must
    explain as many more. Parts that were answered before are blamed for what
    the others leave, and for more crashes only: what many sound requests
    share was running at most crashes too. A part that ran in only one
    request, which came again, isn't blamed for what that request may have
    done.

    Args:
        part_crashes: The crashes at which a part ran, without those that an
            answer has cleared it of.
        request_crashes: The same for whole requests.
        proven: The parts that were answered before the crashes.

    Example:
        With ``{"a": {1, 2, 3}, "b": {1, 2}, "c": {1, 2, 3}}`` nothing tells
        ``a`` and ``c`` apart, and they explain all that ``b`` ran at.
    """
    repeated = [each for each in request_crashes if len(each) >= BLAMED_CRASHES]
    suspects = {
        part: crashes
        for part, crashes in part_crashes.items()
        if not any(crashes <= each for each in repeated)
    }
    explanations: list[Explanation] = []
    for is_proven, minimum in ((False, BLAMED_CRASHES), (True, BLAMED_PROVEN_CRASHES)):
        explained = frozenset[ServerRun]().union(
            *(explanation.crashes for explanation in explanations)
        )
        left = {
            part: crashes - explained
            for part, crashes in suspects.items()
            if (part in proven) is is_proven
        }
        explanations += _explain_greedily(left, minimum, is_proven=is_proven)
    return tuple(explanations)


def _explain_greedily(
    left: Mapping[CauseKey, Set[ServerRun]], minimum: int, *, is_proven: bool
) -> Iterator[Explanation]:
    while left:
        # The order of the keys makes all entries choose the same.
        chosen = max(left, key=lambda part: (len(left[part]), part))
        crashes = frozenset(left[chosen])
        if len(crashes) < minimum:
            return
        parts = frozenset(part for part in left if left[part] == crashes)
        yield Explanation(parts=parts, crashes=crashes, is_proven=is_proven)
        left = {part: left[part] - crashes for part in left if part not in parts}


def is_explained_elsewhere(
    crashes: Set[ServerRun],
    causes: Set[CauseKey],
    explanations: Sequence[Explanation],
) -> bool:
    """Return whether parts that a request doesn't have explain its crashes."""
    for explanation in explanations:
        if not explanation.parts & causes:
            crashes = crashes - explanation.crashes
    return not crashes
