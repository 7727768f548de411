"""The table of backend servers, by announcement and lease."""

from collections import Counter, OrderedDict
from dataclasses import dataclass, replace

from carobspring.domain import BackendServer, LoadReport
from carobspring.membership.gossip import MemberGossip
from carobspring.membership.views import ViewDelta
from carobspring.protocol import AgentReport

#: Seconds that a report is good for.
LEASE_S = 3.0
#: Seconds that are left of the lease when an agent's stream breaks, so that
#: it may come back on another replica before it counts as gone.
BROKEN_STREAM_LEASE_S = 1.0
#: Loads of one server are passed on at most this often.
LOAD_INTERVAL_S = 0.5
#: Bytes of one load on the wire, and those that loads may take a second on one
#: stream: with many servers each is passed on less often.
LOAD_BYTES = 230
LOAD_BUDGET_BYTES_S = 10_000
#: A load that changed a little is passed on after this long.
LOAD_REFRESH_S = 10.0
#: Seconds that the boot and sequence of a server that is gone are kept, so
#: that late reports of it are known as such.
GONE_RETENTION_S = 600.0
#: A server that came and went this often within FLAP_WINDOW_S is held back.
FLAP_COUNT = 3
FLAP_WINDOW_S = 30.0
#: Seconds that a flapping server must hold its lease before it is shown.
FLAP_HOLD_S = 5.0
#: Servers that are kept, present and gone ones together.
MAX_MEMBERS = 5_000


@dataclass(frozen=True, kw_only=True)
class Member:
    """A backend server as the table knows it.

    Order is by (boot, sequence). ``changed_view`` and ``load_view`` are the
    views in which the server and its passed-on load last changed.
    """

    server: BackendServer
    load: LoadReport
    sequence: int
    reported_at: float
    lease_expires_at: float
    #: True when the agent reports to this replica itself.
    is_local: bool = True
    is_gone: bool = False
    #: Set while a flapping server waits to be shown.
    visible_from: float = 0.0
    is_visible: bool = False
    changed_view: int = 0
    load_view: int = 0
    load_published_at: float = float("-inf")
    published_load: LoadReport | None = None
    loss_times: tuple[float, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ReportResult:
    """The table's answer to a report.

    ``minimum_boot`` is set when the boot number of the report is taken by a
    later run.
    """

    accepted: bool
    minimum_boot: int = 0


class MembershipTable:
    """Holds backend servers by name and numbers each change as a view."""

    def __init__(self, *, now: float, lease_s: float = LEASE_S) -> None:
        self.view = 0
        self.started_at = now
        self._lease_s = lease_s
        self.members: OrderedDict[str, Member] = OrderedDict()
        #: Grows when a server comes or goes, drains or fails: entries must
        #: hear of that at once.
        self.urgent_change_count = 0
        #: Servers that an operator drains; entries see them as draining.
        self.drained: frozenset[str] = frozenset()
        #: Views before this one can't be told as a delta.
        self._oldest_view = 0

    def apply_report(self, report: AgentReport, now: float) -> ReportResult:
        """Take over an agent's own report."""
        server = report.server
        if server is None:
            return ReportResult(accepted=False)
        load = report.load or LoadReport()
        news = MemberGossip(
            server_id=server.server_id,
            boot=server.boot,
            sequence=load.sequence,
            age_ms=0,
            server=server,
            load=load,
            left=report.leaving,
        )
        return self._merge(news, now, is_local=True)

    def apply_gossip(self, news: MemberGossip, now: float) -> ReportResult:
        """Take over what another replica heard."""
        return self._merge(news, now, is_local=False)

    def shorten_lease(self, server_id: str, boot: int, now: float) -> None:
        """Shorten the lease of an agent whose stream broke."""
        member = self.members.get(server_id)
        if member is None or member.is_gone or member.server.boot != boot:
            return
        until = min(member.lease_expires_at, now + BROKEN_STREAM_LEASE_S)
        self.members[server_id] = replace(member, lease_expires_at=until)

    def set_drained(self, drained: frozenset[str], now: float) -> None:
        """Take over which servers an operator drains.

        One that is drained no more shows its own state again with its next
        report.
        """
        self.drained = drained
        for server_id in drained:
            member = self.members.get(server_id)
            if member is not None and member.is_visible and not member.load.draining:
                load = replace(member.load, draining=True)
                self._pass_load(server_id, replace(member, load=load), now)

    def expire(self, now: float) -> list[str]:
        """End leases that ran out and pass on loads; return who is gone."""
        ended = []
        for server_id, member in list(self.members.items()):
            if member.is_gone:
                if now - member.reported_at > GONE_RETENTION_S:
                    del self.members[server_id]
                    self._oldest_view = max(self._oldest_view, member.changed_view)
            elif now >= member.lease_expires_at:
                self._end(server_id, member, now)
                ended.append(server_id)
            elif not member.is_visible and now >= member.visible_from:
                self._show(server_id, member, now)
            elif member.is_visible and member.load is not member.published_load:
                self._pass_load(server_id, member, now)
        return ended

    def is_boot_gone(self, server_id: str, boot: int, now: float) -> bool | None:
        """Say whether a boot is replaced or gone; None when it can't be told.

        Soon after its own start a replica has not heard of everyone yet.
        """
        member = self.members.get(server_id)
        if member is not None:
            if member.server.boot != boot:
                return member.server.boot > boot
            return member.is_gone
        return True if now - self.started_at > 2 * self._lease_s else None

    def find_highest_boot(self, server_id: str) -> int:
        """Return the largest boot number heard of, or zero."""
        member = self.members.get(server_id)
        return member.server.boot if member is not None else 0

    def is_local(self, server_id: str) -> bool:
        """Say whether the agent reports to this replica itself."""
        member = self.members.get(server_id)
        return member is not None and member.is_local and not member.is_gone

    def count_visible_by_zone(self) -> Counter[str]:
        """Return how many servers are shown in each zone."""
        return Counter(m.server.zone for m in self.members.values() if m.is_visible)

    def list_present(self) -> list[Member]:
        """Return the members whose lease holds, by name."""
        present = [member for member in self.members.values() if not member.is_gone]
        return sorted(present, key=lambda member: member.server.server_id)

    def compute_delta(self, since: int | None) -> ViewDelta:
        """Return what changed after a view; everything without a view."""
        complete = since is None or since < self._oldest_view
        after = -1 if since is None or complete else since
        servers: list[BackendServer] = []
        loads: dict[str, LoadReport] = {}
        removed: list[str] = []
        # The members changed last are at the end, so the walk stops early.
        for server_id, member in reversed(self.members.items()):
            if max(member.changed_view, member.load_view) <= after:
                break
            if not member.is_visible:
                if not complete and member.changed_view > after:
                    removed.append(server_id)
                continue
            if member.changed_view > after:
                servers.append(member.server)
            if member.load_view > after and member.published_load is not None:
                loads[server_id] = member.published_load
        return ViewDelta(
            view=self.view,
            complete=complete,
            servers=tuple(servers),
            loads=loads,
            removed=tuple(removed),
        )

    def list_local_gossip(self, since: int, now: float) -> list[MemberGossip]:
        """Return what to tell another replica of the agents on own streams.

        Each lease is told; server and load only where they changed after the
        view ``since``.
        """
        news = []
        for server_id, member in self.members.items():
            if not member.is_local:
                continue
            if member.is_gone and member.changed_view <= since:
                continue
            age_s = now - member.reported_at
            news.append(
                MemberGossip(
                    server_id=server_id,
                    boot=member.server.boot,
                    sequence=member.sequence,
                    age_ms=int(age_s * 1000),
                    server=member.server if member.changed_view > since else None,
                    load=member.load if member.load_view > since else None,
                    left=member.is_gone,
                )
            )
        return news

    def _merge(self, news: MemberGossip, now: float, *, is_local: bool) -> ReportResult:
        known = self.members.get(news.server_id)
        if known is not None:
            order = (news.boot, news.sequence)
            present = (known.server.boot, known.sequence)
            if news.boot < known.server.boot:
                return ReportResult(accepted=False, minimum_boot=known.server.boot + 1)
            if order < present or (order == present and not news.left):
                return ReportResult(accepted=False)
        if news.left:
            return self._take_leave(known, news, now)
        server = news.server or (known.server if known is not None else None)
        if server is None or server.boot != news.boot:
            return ReportResult(accepted=False)
        if known is None and len(self.members) >= MAX_MEMBERS:
            return ReportResult(accepted=False)
        reported_at = now - news.age_ms / 1000
        if reported_at + self._lease_s <= now:
            return ReportResult(accepted=False)
        self._renew(known, news, server, reported_at, now, is_local)
        return ReportResult(accepted=True)

    def _renew(
        self,
        known: Member | None,
        news: MemberGossip,
        server: BackendServer,
        reported_at: float,
        now: float,
        is_local: bool,
    ) -> None:
        load = news.load or (known.load if known is not None else LoadReport())
        if server.server_id in self.drained:
            load = replace(load, draining=True)
        member = Member(
            server=server,
            load=load,
            sequence=news.sequence,
            reported_at=reported_at,
            lease_expires_at=reported_at + self._lease_s,
            is_local=is_local,
        )
        if known is not None:
            losses = known.loss_times
            replaced = not known.is_gone and known.server.boot != server.boot
            if replaced:
                losses = _add_loss(losses, now)
            member = replace(
                known,
                server=member.server,
                load=member.load,
                sequence=member.sequence,
                reported_at=reported_at,
                lease_expires_at=member.lease_expires_at,
                is_local=is_local,
                is_gone=False,
                loss_times=losses,
            )
            if known.is_gone or replaced:
                held = len(losses) >= FLAP_COUNT
                member = replace(
                    member, visible_from=now + (FLAP_HOLD_S if held else 0)
                )
                if held and member.is_visible:
                    member = self._number_change(replace(member, is_visible=False))
        self.members[server.server_id] = member
        if not member.is_visible:
            if now >= member.visible_from:
                self._show(server.server_id, member, now)
        elif known is not None and known.server != server:
            self._store_last(self._number_change(member))
        elif member.load is not member.published_load:
            self._pass_load(server.server_id, member, now)

    def _take_leave(
        self, known: Member | None, news: MemberGossip, now: float
    ) -> ReportResult:
        if known is None:
            return ReportResult(accepted=False)
        if news.boot == known.server.boot and not known.is_gone:
            # A planned stop is no flap.
            self._end(news.server_id, replace(known, sequence=news.sequence), now, ())
        return ReportResult(accepted=True)

    def _end(
        self,
        server_id: str,
        member: Member,
        now: float,
        losses: tuple[float, ...] | None = None,
    ) -> None:
        if losses is None:
            losses = _add_loss(member.loss_times, now)
        ended = replace(member, is_gone=True, is_visible=False, loss_times=losses)
        self.members[server_id] = ended
        if member.is_visible:
            self._store_last(self._number_change(ended))

    def _show(self, server_id: str, member: Member, now: float) -> None:
        shown = self._number_change(replace(member, is_visible=True))
        self._store_last(
            replace(
                shown,
                load_view=self.view,
                load_published_at=now,
                published_load=member.load,
            )
        )

    def _pass_load(self, server_id: str, member: Member, now: float) -> None:
        load, passed = member.load, member.published_load
        if passed is not None and replace(load, sequence=passed.sequence) == passed:
            self.members[server_id] = replace(member, published_load=load)
            return
        urgent = passed is None or (
            (load.draining, load.unhealthy) != (passed.draining, passed.unhealthy)
        )
        if not urgent and not self._is_worth_passing(member, now):
            self.members[server_id] = member
            return
        self.view += 1
        self.urgent_change_count += urgent
        self._store_last(
            replace(
                member, published_load=load, load_view=self.view, load_published_at=now
            )
        )

    def _is_worth_passing(self, member: Member, now: float) -> bool:
        # Entries see the exact load of the agents that they call in every
        # answer, so only another degree of business goes soon.
        passed = member.published_load
        elapsed_s = now - member.load_published_at
        if passed is None or _measure_degree(member.load) == _measure_degree(passed):
            return elapsed_s >= LOAD_REFRESH_S
        budget_s = len(self.members) * LOAD_BYTES / LOAD_BUDGET_BYTES_S
        return elapsed_s >= max(LOAD_INTERVAL_S, budget_s)

    def _number_change(self, member: Member) -> Member:
        self.view += 1
        self.urgent_change_count += 1
        return replace(member, changed_view=self.view)

    def _store_last(self, member: Member) -> None:
        self.members[member.server.server_id] = member
        self.members.move_to_end(member.server.server_id)


def _measure_degree(load: LoadReport) -> tuple[int, int]:
    # Calls waiting in powers of two, and eighths of the limit running.
    waiting = sum((load.waiting_by_priority or {}).values())
    return waiting.bit_length(), 8 * load.running // max(1, load.limit)


def _add_loss(losses: tuple[float, ...], now: float) -> tuple[float, ...]:
    recent = tuple(at for at in losses if now - at <= FLAP_WINDOW_S)
    return (*recent[-FLAP_COUNT:], now)
