"""How many calls run at once: adapted to whether targets are met."""

#: Part of a first-token target that the backend server itself may take.
FIRST_TOKEN_SHARE = 0.5
#: Below this part of the allowed time there is room for one call more.
ROOM_SHARE = 0.7
SMOOTHING = 0.2
INCREASE_INTERVAL_S = 1.0
DECREASE_INTERVAL_S = 2.0
DECREASE_FACTOR = 0.85
#: A cut of the limit has to bring times down by at least this part.
USEFUL_GAIN = 0.02
#: Seconds that the limit is left alone after cuts proved useless.
HOLD_S = 30.0


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, by observed times.

    A strain is an observed time divided by what the class allows of it: 1 is
    just right. While the smoothed strain is above 1 the limit falls, while it
    is well below and all of the limit is used it grows back, at most to the
    slots that the backend server is said to have: a call beyond them would
    wait in the engine, ahead of any higher call that comes later. When cuts
    don't bring the strain down (a backend server that is slow by itself), the
    limit goes back to the slots for a while: fewer calls at once would only
    waste it.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._strain = 0.0
        self._samples = 0
        self._changed_at = float("-inf")
        self._held_until = float("-inf")
        self._strain_at_cut: float | None = None
        self._useless_cuts = 0

    @property
    def value(self) -> int:
        """The limit at present, at least one."""
        return max(1, int(self._limit))

    @property
    def strain(self) -> float:
        """The smoothed ratio of observed to allowed times."""
        return self._strain

    def add_sample(self, observed_s: float, allowed_s: float, *, now: float) -> None:
        """Take in a time and what the call's class allows."""
        if allowed_s <= 0:
            return
        ratio = min(observed_s / allowed_s, 10.0)
        self._samples += 1
        weight = max(SMOOTHING, 1 / self._samples)
        self._strain += weight * (ratio - self._strain)
        if self._strain > 1 and now >= self._held_until:
            self._decrease(now)

    def note_full(self, *, now: float) -> None:
        """Take in that a call waits because the limit is used up."""
        room = self._samples > 0 and self._strain < ROOM_SHARE
        if room and now - self._changed_at >= INCREASE_INTERVAL_S:
            self._limit = min(self._limit + 1, float(self._slots))
            self._changed_at = now
            self._strain_at_cut = None
            self._useless_cuts = 0

    def _decrease(self, now: float) -> None:
        if now - self._changed_at < DECREASE_INTERVAL_S:
            return
        before = self._strain_at_cut
        if before is not None and self._strain > before * (1 - USEFUL_GAIN):
            self._useless_cuts += 1
        if self._useless_cuts >= 3:
            self._limit = float(max(self._slots, 1))
            self._held_until = now + HOLD_S
            self._strain_at_cut = None
            self._useless_cuts = 0
        else:
            self._strain_at_cut = self._strain
            self._limit = max(1.0, self._limit * DECREASE_FACTOR)
        self._changed_at = now
