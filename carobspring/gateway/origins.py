"""Which software version began a stream that a caller takes up again."""

import asyncio
import itertools
import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from carobspring.adapters.tasks import start_task
from carobspring.domain import BackendServer
from carobspring.gateway.confirmations import ListConfirmations
from carobspring.gateway.metrics import StreamMetrics
from carobspring.protocol import (
    ServiceVersions,
    StreamAnswer,
    StreamMessage,
    StreamQuestion,
    StreamRecord,
    ViewUpdate,
)
from carobspring.resumption import (
    MAX_LIFETIME_S,
    PeerDirectory,
    SeveralVersionsError,
    StreamOrigin,
    StreamRecordTable,
    VersionHistory,
    find_origin,
)

#: Entries that are sent the record of a stream.
RECORD_COPIES: Final = 3
#: Entries that are asked for the record: some may know other entries than the
#: one that sent it.
ASKED_PEERS: Final = 6
#: Seconds for which the answers to each round of questions are awaited. A
#: round trip between zones takes some 10 ms.
ROUNDS_S: Final = (0.06, 0.09, 0.15)
#: Seconds for which a question of another entry waits for a control replica.
CONFIRMATION_WAIT_S: Final = 0.05
#: Records in one datagram, which then fits any link.
MAX_BATCH: Final = 8
#: Seconds between two checks whether records must be sent.
CHECK_INTERVAL_S: Final = 0.5

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class _OpenQuestion:
    """A question and the answers to it, by the address of the entry."""

    answers: dict[str, StreamAnswer] = field(default_factory=dict)
    has_answer: asyncio.Event = field(default_factory=asyncio.Event)

    def list_records(self) -> tuple[StreamRecord, ...]:
        return tuple(
            record for answer in self.answers.values() for record in answer.records
        )


class StreamOrigins:
    """Records where streams begin, and finds out where they began.

    A record goes to a few other entries before the caller gets the first
    event, unless the service certainly has servers of one version only. What
    a stream may need later than that is decided by ``resumption``.

    Example:
        ``origins.record_first_event(...)`` by the entry that begins a stream,
        and ``await origins.find(...)`` by the one that takes it up.
    """

    def __init__(
        self,
        *,
        peers: PeerDirectory,
        send: Callable[[str, StreamMessage], None],
        request_report: Callable[[], None],
        read_clock: Callable[[], float],
        metrics: StreamMetrics,
    ) -> None:
        self._peers = peers
        self._confirmations = ListConfirmations(
            request_report=request_report,
            read_clock=read_clock,
            count_entries=lambda: len(peers.addresses),
        )
        self._send = send
        self._read_clock = read_clock
        self._metrics = metrics
        self._history = VersionHistory()
        self._records = StreamRecordTable()
        self._questions: dict[int, _OpenQuestion] = {}
        self._numbers = itertools.count(1)
        #: Services with a stream that began here.
        self._services: set[str] = set()
        self._logged_versions: dict[str, tuple[str, ...]] = {}

    def apply_update(self, replica: str, update: ViewUpdate) -> None:
        """Apply what a control replica tells of entries, and that it does."""
        now = self._read_clock()
        self._history.record_sightings(update.sightings, now)
        # Replicas share lists of servers without a leader, so that an election
        # keeps none from answering a question.
        if update.confirmed or update.asked_at:
            self._history.record_contact(
                now,
                cover_s=update.sightings_cover_ms / 1000,
                asked_at=update.asked_at,
            )
            self._confirmations.handle_answer(update.asked_at)
        if self._peers.apply_update(replica, update):
            extra = {"peers": len(self._peers.addresses), "replica": replica}
            logger.info("peer entries changed", extra=extra)

    def take_question(self) -> float:
        """Return when a report to replicas asks for an update, or zero."""
        return self._confirmations.take_question()

    def handle_listed(self, server: BackendServer) -> None:
        """Handle a server that is listed, anew or with another version."""
        self._history.record_listed(server, self._read_clock())
        self._handle_versions(server.service)

    def handle_removed(self, server_id: str) -> None:
        """Handle a server that is no longer listed."""
        service = self._history.record_removed(server_id, self._read_clock())
        if service is not None:
            self._handle_versions(service)

    def record_first_event(
        self, stream: bytes, service: str, version: str, lifetime_s: float
    ) -> None:
        """Record the version that writes a stream, before its first event.

        ``lifetime_s`` is how long its caller may take it up again.
        """
        now = self._read_clock()
        self._services.add(service)
        record = StreamRecord(
            stream=stream,
            service=service,
            version=version,
            left_ms=round(lifetime_s * 1000),
        )
        is_single = self._describe(service, now).is_single
        self._records.add(record, now, is_unsent=is_single)
        if not is_single:
            self._send_records((record,))

    async def find(self, stream: bytes, services: Sequence[str]) -> StreamOrigin:
        """Return where a stream may go on.

        Raises:
            SeveralVersionsError: No entry that answers knows where it began,
                and it may have been at one of several versions.
        """
        own = self._records.find(stream, self._read_clock())
        if own:
            self._metrics.record_origin("own_record")
            return find_origin(services, own, ())
        number = next(self._numbers)
        question = self._questions[number] = _OpenQuestion()
        try:
            origin = await self._ask(stream, services, number, question)
        except SeveralVersionsError:
            self._metrics.record_origin("unknown")
            raise
        finally:
            del self._questions[number]
        known = bool(question.list_records())
        self._metrics.record_origin("peer_record" if known else "single_version")
        return origin

    def handle_message(self, sender: str, message: StreamMessage) -> None:
        """Handle a datagram of another entry."""
        now = self._read_clock()
        for record in message.records:
            self._records.add(record, now)
        if message.question is not None:
            self._handle_question(sender, message.question, now)
        if message.answer is not None:
            question = self._questions.get(message.answer.number)
            if question is not None:
                question.answers[sender] = message.answer
                question.has_answer.set()

    async def run(self) -> None:
        """Send records as soon as they may be needed, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for service in sorted(self._services):
                self._send_unsent(service)

    async def _ask(
        self,
        stream: bytes,
        services: Sequence[str],
        number: int,
        question: _OpenQuestion,
    ) -> StreamOrigin:
        """Ask other entries in some rounds, until one knows enough.

        Each is asked twice at least: the record may still be under way. That
        one version is certain counts only if a control replica has confirmed
        it since: the stream may have begun at a version that this entry has
        not heard of yet.
        """
        asked_at = self._read_clock()
        confirming = start_task(
            self._confirmations.wait(since=asked_at, until=asked_at + sum(ROUNDS_S)),
            name="confirm versions",
        )
        peers = self._peers.choose(stream, ASKED_PEERS)
        reason = "no other entry answers"
        try:
            for round_number, round_s in enumerate(ROUNDS_S, start=1):
                ends_at = self._read_clock() + round_s
                question.answers.clear()
                message = StreamMessage(
                    question=StreamQuestion(
                        stream=stream,
                        number=number,
                        services=tuple(services),
                        stream_lifetime_ms=round(MAX_LIFETIME_S * 1000),
                        must_confirm=round_number > 1,
                    )
                )
                for peer in peers:
                    self._send(peer, message)
                await self._await_answers(question, len(peers), ends_at)
                if peers and not question.answers:
                    continue
                if not question.list_records():
                    left_s = max(0.0, ends_at - self._read_clock())
                    await asyncio.wait({confirming}, timeout=left_s)
                now = self._read_clock()
                opinions = [answer.services for answer in question.answers.values()]
                opinions.append(self._describe_all(services, now, asked_at))
                records = question.list_records() + self._records.find(stream, now)
                try:
                    return find_origin(services, records, opinions)
                except SeveralVersionsError as error:
                    reason = error.reason
                    have_all_answered = len(question.answers) == len(peers)
                    if records or (have_all_answered and round_number > 1):
                        break
                await asyncio.sleep(max(0.0, ends_at - now))
        finally:
            confirming.cancel()
        raise SeveralVersionsError(reason=reason)

    async def _await_answers(
        self, question: _OpenQuestion, count: int, ends_at: float
    ) -> None:
        """Wait until a record or all answers have come, or until a time."""
        while len(question.answers) < count and not question.list_records():
            left_s = ends_at - self._read_clock()
            if left_s <= 0:
                return
            question.has_answer.clear()
            try:
                async with asyncio.timeout(left_s):
                    await question.has_answer.wait()
            except TimeoutError:
                return

    def _handle_question(
        self, sender: str, question: StreamQuestion, now: float
    ) -> None:
        """Answer another entry, at once unless a replica must confirm it."""
        opinion = self._describe_all(question.services, now, now)
        is_known = bool(self._records.find(question.stream, now)) or any(
            each.is_mixed for each in opinion.values()
        )
        if question.must_confirm and not is_known:
            start_task(
                self._answer_when_confirmed(sender, question, now),
                name="answer when confirmed",
            )
        else:
            self._answer(sender, question, now)

    async def _answer_when_confirmed(
        self, sender: str, question: StreamQuestion, asked_at: float
    ) -> None:
        await self._confirmations.wait(
            since=asked_at, until=asked_at + CONFIRMATION_WAIT_S
        )
        self._answer(sender, question, asked_at)

    def _answer(self, sender: str, question: StreamQuestion, asked_at: float) -> None:
        now = self._read_clock()
        answer = StreamAnswer(
            number=question.number,
            records=self._records.find(question.stream, now),
            services=self._describe_all(question.services, now, asked_at),
        )
        self._send(sender, StreamMessage(answer=answer))

    def _handle_versions(self, service: str) -> None:
        """Log a change of versions, and send records if there are several."""
        versions = self._history.list_versions(service)
        if versions == self._logged_versions.get(service, ()):
            return
        self._logged_versions[service] = versions
        extra = {"service": service, "versions": ",".join(versions)}
        logger.info("software versions of a service changed", extra=extra)
        self._send_unsent(service)

    def _send_unsent(self, service: str) -> None:
        """Send the records that were not needed until now."""
        now = self._read_clock()
        if not self._describe(service, now).is_single:
            self._send_records(self._records.take_unsent(service, now))

    def _send_records(self, records: Sequence[StreamRecord]) -> None:
        by_peer: dict[str, list[StreamRecord]] = {}
        for record in records:
            for peer in self._peers.choose(record.stream, RECORD_COPIES):
                by_peer.setdefault(peer, []).append(record)
        for peer, batch in by_peer.items():
            for start in range(0, len(batch), MAX_BATCH):
                records_sent = tuple(batch[start : start + MAX_BATCH])
                self._send(peer, StreamMessage(records=records_sent))
        self._metrics.record_sent(len(records))

    def _describe(self, service: str, now: float) -> ServiceVersions:
        return self._history.describe(service, now, stream_lifetime_s=MAX_LIFETIME_S)

    def _describe_all(
        self, services: Sequence[str], now: float, asked_at: float
    ) -> Mapping[str, ServiceVersions]:
        """Return what is certain of streams that began before a time."""
        return {
            service: self._history.describe(
                service,
                now,
                stream_lifetime_s=MAX_LIFETIME_S,
                confirmed_since=asked_at,
            )
            for service in services
        }
