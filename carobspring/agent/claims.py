"""Which claims of unique calls this boot has run or barred."""

from dataclasses import dataclass

from carobspring.domain import RunStatus

MAX_CLAIMS = 10_000


@dataclass(frozen=True, kw_only=True)
class ClaimRecord:
    """What became of a claim: UNKNOWN with a call identifier while it runs."""

    run_status: RunStatus
    call_id: str = ""


class ClaimTable:
    """Admits each claim number once, and remembers what became of it.

    Numbers below the watermark are forgotten: nobody can say any more whether
    they ran, so they are never admitted and count as unknown.
    """

    def __init__(self, *, limit: int = MAX_CLAIMS) -> None:
        self._limit = limit
        self._claims: dict[int, ClaimRecord] = {}
        #: The largest number that was forgotten.
        self.watermark = 0

    def find(self, number: int) -> ClaimRecord | None:
        """Return what is known of a claim, or None when it may still start."""
        if number in self._claims:
            return self._claims[number]
        if number <= self.watermark:
            return ClaimRecord(run_status=RunStatus.UNKNOWN)
        return None

    def start(self, number: int, call_id: str) -> None:
        """Note that a claim was taken in under this call identifier."""
        self._set(number, ClaimRecord(run_status=RunStatus.UNKNOWN, call_id=call_id))

    def finish(self, number: int, status: RunStatus, call_id: str) -> None:
        """Note how a claim ended."""
        self._set(number, ClaimRecord(run_status=status, call_id=call_id))

    def fence(self, number: int) -> ClaimRecord:
        """Return what is known of a claim, barring it when nothing is."""
        known = self.find(number)
        if known is None:
            known = ClaimRecord(run_status=RunStatus.NOT_RUN)
            self._set(number, known)
        return known

    def _set(self, number: int, claim: ClaimRecord) -> None:
        self._claims[number] = claim
        while len(self._claims) > self._limit:
            lowest = min(self._claims)
            self.watermark = max(self.watermark, lowest)
            del self._claims[lowest]
