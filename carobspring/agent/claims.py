"""Claims of unique calls that were run or fenced under this boot."""

from dataclasses import dataclass

from carobspring.domain import RunStatus

MAX_CLAIMS = 10_000


@dataclass(frozen=True, kw_only=True)
class ClaimRecord:
    """Outcome of a claim: UNKNOWN with a call identifier while it runs."""

    run_status: RunStatus
    call_id: str = ""


class ClaimTable:
    """Admits each claim number once and records its outcome.

    Only a bounded number of records is kept. For a dropped number up to the
    watermark it can't be known whether it ran, so it is never admitted and
    its outcome is unknown.
    """

    def __init__(self, *, limit: int = MAX_CLAIMS) -> None:
        self._limit = limit
        self._claims: dict[int, ClaimRecord] = {}
        #: The largest claim number whose record was dropped.
        self.watermark = 0

    def find(self, number: int) -> ClaimRecord | None:
        """Return the record of a claim, or None if it may still start."""
        if number in self._claims:
            return self._claims[number]
        if number <= self.watermark:
            return ClaimRecord(run_status=RunStatus.UNKNOWN)
        return None

    def start(self, number: int, call_id: str) -> None:
        """Record that a claim was admitted under this call identifier."""
        self._store(number, ClaimRecord(run_status=RunStatus.UNKNOWN, call_id=call_id))

    def finish(self, number: int, status: RunStatus, call_id: str) -> None:
        """Record the outcome of a claim."""
        self._store(number, ClaimRecord(run_status=status, call_id=call_id))

    def fence(self, number: int) -> ClaimRecord:
        """Return the record of a claim, fencing it if there is none."""
        record = self.find(number)
        if record is None:
            record = ClaimRecord(run_status=RunStatus.NOT_RUN)
            self._store(number, record)
        return record

    def _store(self, number: int, record: ClaimRecord) -> None:
        self._claims[number] = record
        while len(self._claims) > self._limit:
            lowest = min(self._claims)
            self.watermark = max(self.watermark, lowest)
            del self._claims[lowest]
