"""A set of names with constant-time random sampling."""

from collections.abc import Iterator

from carobspring.ports import RandomSource


class SampledSet:
    """A set whose add, discard and draw take constant time."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._positions

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def add(self, name: str) -> None:
        """Add a name; do nothing if it is already a member."""
        if name not in self._positions:
            self._positions[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name; do nothing if it is not a member."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[position] = last
            self._positions[last] = position

    def draw(self, random: RandomSource) -> str:
        """Return a random member; the set must not be empty."""
        return self._names[random.draw_index(len(self._names))]

    def iterate_from(self, start: int, count: int) -> Iterator[str]:
        """Yield up to ``count`` members from ``start`` on, wrapping around."""
        size = len(self._names)
        for step in range(min(count, size)):
            yield self._names[(start + step) % size]
