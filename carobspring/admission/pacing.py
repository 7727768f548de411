"""Pacing of the requests to a backend server that limits their rate.

The limit holds for all entries together. One host grants permits for the
server, by rank and due time, so that neither the number of entries nor what
each of them knows of the others matters.
"""

from typing import Final

from carobspring.admission.controller import (
    EntryDecision,
    RequestKey,
    WaitingRequest,
    build_decision,
)
from carobspring.admission.limits import AdmissionLimits
from carobspring.protocol import AdmissionRequest

#: Part of the limit that a server announces which is used, since some entries
#: may not know the limit yet.
RATE_SHARE: Final = 0.9
#: Least requests in a second, so that the end of a limit is noticed.
MIN_RATE_PER_S: Final = 0.1


def compute_used_rate(rate_limit: float) -> float:
    """Return the requests a second to send to a server with a limit."""
    return max(MIN_RATE_PER_S, RATE_SHARE * rate_limit)


class RequestPacer:
    """Grants permits for one server; does no input or output.

    A new pacer has no permits saved: another host may have granted some
    until a moment ago. Permits that nobody takes are lost beyond a small
    burst.

    Example:
        ``pacer.submit("entry-1", admission_request, now)``, then
        ``pacer.tick(now)`` several times a second.
    """

    def __init__(self, *, limits: AdmissionLimits | None = None, now: float) -> None:
        self._limits = limits or AdmissionLimits()
        self._waiting: dict[RequestKey, WaitingRequest] = {}
        self._permits = 0.0
        self._updated_at = now
        #: Permits granted in a second.
        self.rate_per_s = MIN_RATE_PER_S

    @property
    def waiting_count(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    def find_waiting_entries(self) -> set[str]:
        """Return the entries whose requests wait."""
        return {entry for entry, _ in self._waiting}

    def submit(
        self, entry: str, admission_request: AdmissionRequest, now: float
    ) -> list[EntryDecision]:
        """Grant a permit, or queue the request if it may wait for one."""
        self._refill(now)
        self.rate_per_s = compute_used_rate(admission_request.rate_limit or 0.0)
        request = WaitingRequest(
            key=(entry, admission_request.request_id),
            rank=admission_request.rank,
            tokens=0,
            queued_at=now,
            due_at=now + admission_request.target_left_ms / 1000,
            deadline=now + admission_request.deadline_left_ms / 1000,
        )
        self._waiting[request.key] = request
        position = self._list_in_order().index(request) + 1
        request.is_late = now + self._predict_wait_s(position) > request.due_at
        decisions = self._grant(now)
        if request.key in self._waiting and not admission_request.may_wait:
            position = self._list_in_order().index(request) + 1
            decisions.append(self._reject(request, position))
        return decisions + self._reject_hopeless(now)

    def release(self, entry: str, request_id: str) -> None:
        """Remove a request that no longer waits."""
        self._waiting.pop((entry, request_id), None)

    def remove_entry(self, entry: str) -> None:
        """Remove all requests of an entry that has disconnected."""
        for key in [key for key in self._waiting if key[0] == entry]:
            del self._waiting[key]

    def tick(self, now: float) -> list[EntryDecision]:
        """Grant the permits that are due, and reject what can't wait."""
        self._refill(now)
        return self._grant(now) + self._reject_hopeless(now)

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._updated_at) * self.rate_per_s
        burst = max(1.0, self.rate_per_s * self._limits.rate_burst_s)
        self._permits = min(burst, self._permits + earned)
        self._updated_at = now

    def _grant(self, now: float) -> list[EntryDecision]:
        decisions = []
        for request in self._list_in_order():
            if self._permits < 1.0:
                break
            self._permits -= 1.0
            del self._waiting[request.key]
            waited_s = now - request.queued_at
            decisions.append(build_decision(request, admitted=True, wait_s=waited_s))
        return decisions

    def _reject_hopeless(self, now: float) -> list[EntryDecision]:
        """Reject what would wait past its target and most of its time."""
        decisions = []
        position = 1
        for request in self._list_in_order():
            late_wait_s = (request.deadline - now) * self._limits.late_wait_share
            longest_s = max(request.due_at - now, late_wait_s)
            if self._predict_wait_s(position) > longest_s:
                decisions.append(self._reject(request, position))
            else:
                position += 1
        return decisions

    def _reject(self, request: WaitingRequest, position: int) -> EntryDecision:
        del self._waiting[request.key]
        wait_s = self._predict_wait_s(position)
        return build_decision(request, admitted=False, wait_s=wait_s)

    def _predict_wait_s(self, position: int) -> float:
        """Return the seconds until the permit of a position in the queue."""
        return max(0.0, position - self._permits) / self.rate_per_s

    def _list_in_order(self) -> list[WaitingRequest]:
        return sorted(self._waiting.values(), key=lambda request: request.sort_key)
