"""A set of names that a random member can be drawn from in constant time."""

from collections.abc import Iterator

from carobspring.ports import RandomSource


class SampledSet:
    """Adds, removes and draws at a cost that doesn't grow with its size."""

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
        """Add a name, if it is not there."""
        if name not in self._positions:
            self._positions[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name, if it is there."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[position] = last
            self._positions[last] = position

    def draw(self, random: RandomSource) -> str:
        """Return a random member of a set that isn't empty."""
        return self._names[random.draw_index(len(self._names))]

    def iterate_from(self, start: int, count: int) -> Iterator[str]:
        """Return up to this many members in a row, from a position on."""
        size = len(self._names)
        for step in range(min(count, size)):
            yield self._names[(start + step) % size]
