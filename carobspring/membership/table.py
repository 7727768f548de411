"""Table of the backend servers that agents announce, with their leases."""

from collections import Counter, OrderedDict
from dataclasses import dataclass, replace

from carobspring.domain import FINAL_SEQUENCE, BackendServer, LoadReport
from carobspring.membership.gossip import MemberGossip, WithdrawalGossip
from carobspring.membership.versions import VersionLog
from carobspring.membership.views import ViewDelta
from carobspring.membership.withdrawals import RETENTION_S, Withdrawals
from carobspring.protocol import AgentReport

#: Seconds for which a report renews the lease.
LEASE_S = 3.0
#: Longest remaining lease after an agent's stream breaks, in seconds. It gives
#: the agent time to connect to another replica before it counts as gone.
BROKEN_STREAM_LEASE_S = 1.0
#: Shortest time between two published loads of one server, in seconds.
MIN_LOAD_INTERVAL_S = 0.5
#: Bytes of one encoded load.
LOAD_REPORT_BYTES = 230
#: Bytes per second that loads may use on one stream. With many servers, the
#: load of each is published less often.
MAX_LOAD_BYTES_PER_S = 10_000
#: Seconds after which a changed load is published even at the same load level.
LOAD_REFRESH_INTERVAL_S = 10.0
#: Seconds for which the boot and sequence of a server that is gone are kept,
#: so that late reports are recognised and refused.
GONE_RETENTION_S = 600.0
#: Number of unplanned losses within FLAP_WINDOW_S from which a server counts
#: as flapping.
FLAP_THRESHOLD = 3
FLAP_WINDOW_S = 30.0
#: Seconds for which a flapping server must keep its lease to become visible.
FLAP_DAMPING_S = 5.0
#: Largest number of members, including those that are gone.
MAX_MEMBERS = 5_000
#: Largest number of members of services that no route may name.
MAX_UNNAMED_MEMBERS = 500
#: Largest number of members while no configuration names services, including
#: those that are gone. The largest deployments have 600 servers; 5,000 records
#: of foreign ones took more memory than the smallest instance has.
MAX_MEMBERS_BEFORE_SERVICES = 1_000
#: Of these, members that are not gone. The rest is for those that are, so that
#: entries learn of a removal before its record is dropped.
MAX_PRESENT_BEFORE_SERVICES = 750


@dataclass(frozen=True, kw_only=True)
class Member:
    """State of a backend server in the table.

    Reports are ordered by (boot, sequence). ``changed_view`` and ``load_view``
    are the views in which the server and its published load last changed.
    """

    server: BackendServer
    load: LoadReport
    sequence: int
    reported_at: float
    lease_expires_at: float
    #: True when the agent reports to this replica, not to another one.
    is_local: bool = True
    #: View in which the agent began to report to this replica.
    local_view: int = 0
    is_gone: bool = False
    #: Time before which a flapping server stays invisible.
    visible_from: float = 0.0
    #: True when the server is included in the views that entries receive.
    is_visible: bool = False
    changed_view: int = 0
    load_view: int = 0
    load_published_at: float = float("-inf")
    published_load: LoadReport | None = None
    loss_times: tuple[float, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ReportResult:
    """Result of a report.

    ``minimum_boot`` is set when a later run of the server has announced a
    larger boot number than the report's.
    """

    accepted: bool
    minimum_boot: int = 0


class MembershipTable:
    """Stores backend servers by identifier.

    Each change that entries must learn of increases the view number ``view``.
    """

    def __init__(
        self,
        *,
        now: float,
        lease_s: float = LEASE_S,
        expects_services: bool = False,
    ) -> None:
        """Create an empty table.

        With ``expects_services``, a configuration is to name the services,
        and fewer members are kept until one does.
        """
        self._expects_services = expects_services
        self.view = 0
        self.started_at = now
        self._lease_s = lease_s
        self.members: OrderedDict[str, Member] = OrderedDict()
        #: Number of changes that entries must learn of immediately: a server
        #: appears, disappears, drains or becomes unhealthy.
        self.urgent_change_count = 0
        #: Servers that an operator drains; entries see them as draining.
        self.drained: frozenset[str] = frozenset()
        #: Services that routes may name; None if that isn't known.
        self._services: frozenset[str] | None = None
        #: Members of other services that entries never saw, those that
        #: reported last at the end.
        self._unnamed: OrderedDict[str, None] = OrderedDict()
        #: Versions of servers that are gone or were replaced.
        self.versions = VersionLog(known_since=now)
        self._withdrawals = Withdrawals()
        #: Oldest view from which a delta can still be computed.
        self._oldest_view = 0

    def set_services(self, services: frozenset[str] | None, now: float) -> None:
        """Set the services that routes may name, or None if any may be.

        Servers of other services are kept, but not shown to entries. One that
        was shown stays so, since it may still serve.
        """
        self._services = services
        self._unnamed = OrderedDict(
            (server_id, None)
            for server_id, member in self.members.items()
            if not member.is_visible and not self._is_named(member.server)
        )
        for server_id, member in list(self.members.items()):
            if not member.is_gone and self._should_show(member, now):
                self._make_visible(server_id, member, now)

    def apply_report(self, report: AgentReport, now: float) -> ReportResult:
        """Apply a report that an agent sent to this replica."""
        server = report.server
        if server is None:
            return ReportResult(accepted=False)
        load = report.load or LoadReport()
        gossip = MemberGossip(
            server_id=server.server_id,
            boot=server.boot,
            sequence=load.sequence,
            age_ms=0,
            server=server,
            load=load,
            left=report.leaving,
        )
        result = self._merge(gossip, now, is_local=True)
        if report.leaving and server.server_id not in self.members:
            self.withdraw(server.server_id, server.boot, FINAL_SEQUENCE, now)
        elif result.accepted and load.draining:
            # The first report of a boot that says so is enough.
            is_new = not self._withdrawals.covers(server.server_id, server.boot, 0)
            if is_new and self._is_named(server):
                self.withdraw(server.server_id, server.boot, load.sequence, now)
        return result

    def withdraw(self, server_id: str, boot: int, sequence: int, now: float) -> bool:
        """Record that reports before (boot, sequence) are out of date.

        The server need not be known: its first report may still be on its
        way. Returns False if there is no room to remember it.
        """
        member = self.members.get(server_id)
        is_listed = member is not None and self._is_named(member.server)
        if not self._withdrawals.has_room(server_id, is_listed=is_listed):
            return False
        self._record_withdrawal(server_id, boot, sequence, now, is_listed=is_listed)
        return True

    def apply_withdrawal(self, gossip: WithdrawalGossip, now: float) -> None:
        """Apply a withdrawal that another replica received."""
        if gossip.age_ms < RETENTION_S * 1000:
            self._record_withdrawal(
                gossip.server_id,
                gossip.boot,
                gossip.sequence,
                now - gossip.age_ms / 1000,
                is_listed=gossip.is_listed,
            )

    @property
    def withdrawal_change_count(self) -> int:
        """Incremented with each change of what was withdrawn."""
        return self._withdrawals.change_count

    def list_withdrawals(self, since: int, now: float) -> tuple[WithdrawalGossip, ...]:
        """Return what was withdrawn after a view, for another replica."""
        return self._withdrawals.list_gossip(since, now)

    def apply_gossip(self, gossip: MemberGossip, now: float) -> ReportResult:
        """Apply what another replica received from an agent."""
        return self._merge(gossip, now, is_local=False)

    def shorten_lease(self, server_id: str, boot: int, now: float) -> None:
        """Shorten the lease of an agent whose stream broke."""
        member = self.members.get(server_id)
        if member is None or member.is_gone or member.server.boot != boot:
            return
        expires_at = min(member.lease_expires_at, now + BROKEN_STREAM_LEASE_S)
        self.members[server_id] = replace(member, lease_expires_at=expires_at)

    def set_drained(self, drained: frozenset[str], now: float) -> None:
        """Set which servers an operator drains.

        A server that is no longer drained is published with its own state
        after its next report.
        """
        self.drained = drained
        for server_id in drained:
            member = self.members.get(server_id)
            if member is not None and member.is_visible and not member.load.draining:
                load = replace(member.load, draining=True)
                self._publish_load(server_id, replace(member, load=load), now)

    def expire(self, now: float) -> list[str]:
        """Expire leases and publish loads that are due.

        Returns the servers whose lease expired. Also makes flapping servers
        visible again, and removes members that have been gone for
        GONE_RETENTION_S.
        """
        expired = []
        self._withdrawals.expire(now)
        for server_id, member in list(self.members.items()):
            if member.is_gone:
                if now - member.reported_at > GONE_RETENTION_S:
                    self._forget(member)
            elif now >= member.lease_expires_at:
                self._mark_gone(server_id, member, now)
                expired.append(server_id)
            elif self._should_show(member, now):
                self._make_visible(server_id, member, now)
            elif member.is_visible and member.load is not member.published_load:
                self._publish_load(server_id, member, now)
        return expired

    def is_boot_gone(self, server_id: str, boot: int, now: float) -> bool | None:
        """Return whether a boot was replaced or is gone; None if unknown.

        A replica that has just started has not received reports of all
        servers yet.
        """
        member = self.members.get(server_id)
        if member is not None:
            if member.server.boot != boot:
                return member.server.boot > boot
            return member.is_gone
        return True if now - self.started_at > 2 * self._lease_s else None

    def find_highest_boot(self, server_id: str) -> int:
        """Return the largest known boot number of a server, or zero."""
        member = self.members.get(server_id)
        return member.server.boot if member is not None else 0

    def find_local_change(self, server_id: str) -> int:
        """Return the view in which peers get a server's last change, or zero.

        It is zero if another replica announces the server to them, and
        nothing was withdrawn.
        """
        view = self._withdrawals.find_view(server_id)
        member = self.members.get(server_id)
        if member is None or not member.is_local:
            return view
        return max(view, member.changed_view, member.load_view, member.local_view)

    def is_local(self, server_id: str) -> bool:
        """Return whether the agent reports to this replica."""
        member = self.members.get(server_id)
        return member is not None and member.is_local and not member.is_gone

    def count_visible_by_zone(self) -> Counter[str]:
        """Return the number of visible servers in each zone."""
        return Counter(m.server.zone for m in self.members.values() if m.is_visible)

    def list_present(self) -> list[Member]:
        """Return the members with a valid lease, sorted by identifier."""
        present = [member for member in self.members.values() if not member.is_gone]
        return sorted(present, key=lambda member: member.server.server_id)

    def compute_delta(self, since: int | None) -> ViewDelta:
        """Return the changes after a view; without a view, the whole state."""
        complete = since is None or since < self._oldest_view
        after = -1 if since is None or complete else since
        servers: list[BackendServer] = []
        loads: dict[str, LoadReport] = {}
        removed: list[str] = []
        # Members are ordered by their last change, so that the loop can stop
        # at the first one without a newer change.
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
        """Return the state of local agents, to send to another replica.

        Every lease is included; the server and its load only if they changed
        after the view ``since``.
        """
        gossip = []
        for server_id, member in self.members.items():
            if not member.is_local:
                continue
            if member.is_gone and member.changed_view <= since:
                continue
            age_s = now - member.reported_at
            gossip.append(
                MemberGossip(
                    server_id=server_id,
                    boot=member.server.boot,
                    sequence=member.sequence,
                    age_ms=int(age_s * 1000),
                    server=(
                        member.server
                        if max(member.changed_view, member.local_view) > since
                        else None
                    ),
                    load=(
                        member.load
                        if max(member.load_view, member.local_view) > since
                        else None
                    ),
                    left=member.is_gone,
                )
            )
        return gossip

    def _merge(
        self, gossip: MemberGossip, now: float, *, is_local: bool
    ) -> ReportResult:
        known = self.members.get(gossip.server_id)
        server = gossip.server or (known.server if known is not None else None)
        if known is not None and server is not None:
            is_named, was_named = self._is_named(server), self._is_named(known.server)
            if was_named and not is_named:
                # Another writer uses the identifier of a server.
                return ReportResult(accepted=False)
            if is_named and not was_named:
                self._forget(known)
                known = None
        if known is not None:
            order = (gossip.boot, gossip.sequence)
            known_order = (known.server.boot, known.sequence)
            if gossip.boot < known.server.boot:
                return ReportResult(accepted=False, minimum_boot=known.server.boot + 1)
            if order < known_order or (order == known_order and not gossip.left):
                return ReportResult(accepted=False)
        if gossip.left:
            return self._handle_leave(known, gossip, now)
        if self._withdrawals.covers(gossip.server_id, gossip.boot, gossip.sequence):
            return ReportResult(accepted=False)
        if server is None or server.boot != gossip.boot:
            return ReportResult(accepted=False)
        reported_at = now - gossip.age_ms / 1000
        if reported_at + self._lease_s <= now:
            return ReportResult(accepted=False)
        if known is None and not self._make_room(server, reported_at, now):
            return ReportResult(accepted=False)
        self._update_member(known, gossip, server, reported_at, now, is_local)
        return ReportResult(accepted=True)

    def _record_withdrawal(
        self, server_id: str, boot: int, sequence: int, at: float, *, is_listed: bool
    ) -> None:
        is_new = self._withdrawals.record(
            server_id, boot, sequence, now=at, view=self.view + 1, is_listed=is_listed
        )
        if not is_new:
            return
        self.view += 1
        member = self.members.get(server_id)
        if member is None or member.is_gone or member.load.draining:
            return
        if self._withdrawals.covers(server_id, member.server.boot, member.sequence):
            # A report that came late listed the server before.
            member = replace(member, load=replace(member.load, draining=True))
            self.members[server_id] = member
            if member.is_visible:
                self._publish_load(server_id, member, at)

    def _is_named(self, server: BackendServer) -> bool:
        return self._services is None or server.service in self._services

    def _should_show(self, member: Member, now: float) -> bool:
        return (
            not member.is_visible
            and now >= member.visible_from
            and self._is_named(member.server)
        )

    def _make_room(self, server: BackendServer, reported_at: float, now: float) -> bool:
        """Make room for a new member; return whether there is any.

        Servers of services that no route may name yield to each other and to
        all others, then those that are gone, the longest first.
        """
        if self._expects_services and self._services is None:
            return self._make_room_before_services(reported_at, now)
        is_full = len(self.members) >= MAX_MEMBERS
        is_named = self._is_named(server)
        if self._unnamed and (
            is_full or (not is_named and len(self._unnamed) >= MAX_UNNAMED_MEMBERS)
        ):
            self._forget(self.members[next(iter(self._unnamed))])
            return True
        if not is_full:
            return True
        return self._forget_longest_gone()

    def _make_room_before_services(self, reported_at: float, now: float) -> bool:
        """Make room while any service may be named later.

        Members yield to those that reported after them, so that servers that
        renew their lease stay. The order is that of the reports, not of their
        arrival: replicas with different members would replace each other's.
        """
        if len(self.members) < MAX_PRESENT_BEFORE_SERVICES:
            return True
        present = [member for member in self.members.values() if not member.is_gone]
        if len(present) >= MAX_PRESENT_BEFORE_SERVICES:
            oldest = min(present, key=lambda member: member.reported_at)
            if reported_at <= oldest.reported_at:
                return False
            # This is no loss of the server, which may still run.
            self._mark_gone(oldest.server.server_id, oldest, now, oldest.loss_times)
        if len(self.members) < MAX_MEMBERS_BEFORE_SERVICES:
            return True
        return self._forget_longest_gone()

    def _forget_longest_gone(self) -> bool:
        """Forget who has been gone the longest; return whether anyone is."""
        gone = [member for member in self.members.values() if member.is_gone]
        if not gone:
            return False
        self._forget(min(gone, key=lambda member: member.reported_at))
        return True

    def _forget(self, member: Member) -> None:
        """Remove a member and what is known of it."""
        server_id = member.server.server_id
        self._oldest_view = max(self._oldest_view, member.changed_view)
        del self.members[server_id]
        self._unnamed.pop(server_id, None)

    def _update_member(
        self,
        known: Member | None,
        gossip: MemberGossip,
        server: BackendServer,
        reported_at: float,
        now: float,
        is_local: bool,
    ) -> None:
        load = gossip.load or (known.load if known is not None else LoadReport())
        if server.server_id in self.drained:
            load = replace(load, draining=True)
        member = Member(
            server=server,
            load=load,
            sequence=gossip.sequence,
            reported_at=reported_at,
            lease_expires_at=reported_at + self._lease_s,
            is_local=is_local,
        )
        local_view = 0
        if is_local:
            local_view = known.local_view if known is not None else 0
            if known is None or not known.is_local:
                # Peers know the agent from another replica, or not at all.
                self.view += 1
                local_view = self.view
        member = replace(member, local_view=local_view)
        if known is not None:
            losses = known.loss_times
            if not known.is_gone and _build_version(known.server) != _build_version(
                server
            ):
                self._record_version(known, now)
            is_replaced = not known.is_gone and known.server.boot != server.boot
            if is_replaced:
                losses = _add_loss(losses, now)
            member = replace(
                known,
                server=member.server,
                load=member.load,
                sequence=member.sequence,
                reported_at=reported_at,
                lease_expires_at=member.lease_expires_at,
                is_local=is_local,
                local_view=local_view,
                is_gone=False,
                loss_times=losses,
            )
            if known.is_gone or is_replaced:
                is_flapping = len(losses) >= FLAP_THRESHOLD
                member = replace(
                    member, visible_from=now + (FLAP_DAMPING_S if is_flapping else 0)
                )
                if is_flapping and member.is_visible:
                    member = self._record_change(replace(member, is_visible=False))
                    self._store_newest(member)
        self.members[server.server_id] = member
        if not member.is_visible and not self._is_named(server):
            if known is None:
                # Members are ordered by their last change, and it has none.
                self.members.move_to_end(server.server_id, last=False)
            self._unnamed[server.server_id] = None
            self._unnamed.move_to_end(server.server_id)
        if not member.is_visible:
            if self._should_show(member, now):
                self._make_visible(server.server_id, member, now)
        elif known is not None and known.server != server:
            self._store_newest(self._record_change(member))
        elif member.load is not member.published_load:
            self._publish_load(server.server_id, member, now)

    def _handle_leave(
        self, known: Member | None, gossip: MemberGossip, now: float
    ) -> ReportResult:
        if known is None:
            return ReportResult(accepted=False)
        if gossip.boot == known.server.boot and not known.is_gone:
            # A planned shutdown does not count as a loss for flap detection.
            self._mark_gone(
                gossip.server_id, replace(known, sequence=gossip.sequence), now, ()
            )
        return ReportResult(accepted=True)

    def _mark_gone(
        self,
        server_id: str,
        member: Member,
        now: float,
        losses: tuple[float, ...] | None = None,
    ) -> None:
        if losses is None:
            losses = _add_loss(member.loss_times, now)
        gone = replace(member, is_gone=True, is_visible=False, loss_times=losses)
        self.members[server_id] = gone
        self._record_version(member, now)
        if member.is_visible:
            self._store_newest(self._record_change(gone))

    def _record_version(self, member: Member, now: float) -> None:
        """Record the version of a member that entries may have used."""
        if member.is_visible or self._is_named(member.server):
            self.versions.record(*_build_version(member.server), now)

    def _make_visible(self, server_id: str, member: Member, now: float) -> None:
        visible = self._record_change(replace(member, is_visible=True))
        self._store_newest(
            replace(
                visible,
                load_view=self.view,
                load_published_at=now,
                published_load=member.load,
            )
        )

    def _publish_load(self, server_id: str, member: Member, now: float) -> None:
        load, published = member.load, member.published_load
        if (
            published is not None
            and replace(load, sequence=published.sequence) == published
        ):
            self.members[server_id] = replace(member, published_load=load)
            return
        is_urgent = published is None or (
            (load.draining, load.unhealthy) != (published.draining, published.unhealthy)
        )
        if not is_urgent and not self._should_publish_load(member, now):
            self.members[server_id] = member
            return
        self.view += 1
        self.urgent_change_count += is_urgent
        self._store_newest(
            replace(
                member, published_load=load, load_view=self.view, load_published_at=now
            )
        )

    def _should_publish_load(self, member: Member, now: float) -> bool:
        # Responses already carry the exact load of the agents that an entry
        # calls, so only a change of the load level is published early.
        published = member.published_load
        elapsed_s = now - member.load_published_at
        if published is None or _round_load(member.load) == _round_load(published):
            return elapsed_s >= LOAD_REFRESH_INTERVAL_S
        budget_s = len(self.members) * LOAD_REPORT_BYTES / MAX_LOAD_BYTES_PER_S
        return elapsed_s >= max(MIN_LOAD_INTERVAL_S, budget_s)

    def _record_change(self, member: Member) -> Member:
        self.view += 1
        self.urgent_change_count += 1
        return replace(member, changed_view=self.view)

    def _store_newest(self, member: Member) -> None:
        self.members[member.server.server_id] = member
        self.members.move_to_end(member.server.server_id)


def _build_version(server: BackendServer) -> tuple[str, str]:
    return server.service, server.software_version


def _round_load(load: LoadReport) -> tuple[int, int]:
    # Waiting calls are rounded to powers of two, and running calls to eighths
    # of the limit.
    waiting = sum((load.waiting_by_priority or {}).values())
    return waiting.bit_length(), 8 * load.running // max(1, load.limit)


def _add_loss(losses: tuple[float, ...], now: float) -> tuple[float, ...]:
    recent = tuple(at for at in losses if now - at <= FLAP_WINDOW_S)
    return (*recent[-FLAP_THRESHOLD:], now)
