"""The leader's view of a follower's log, and what to send it."""

from collections.abc import Callable

from carobspring.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotReply,
    SnapshotRequest,
)
from carobspring.consensus.state import ReplicaState

#: The size of the entries in one message. A larger entry is sent alone.
MAX_BATCH_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
#: The number of entries that may be sent to a follower ahead of its replies.
MAX_INFLIGHT_ENTRIES = 4096


class Progress:
    """The progress of replication to one follower.

    Entries are sent ahead of the replies. If a message is lost, the next
    heartbeat does not match the follower's log, and the rejection moves
    ``next_index`` back.
    """

    def __init__(self, *, state: ReplicaState, identity: str) -> None:
        self._state = state
        self._identity = identity
        self.match_index = -1
        self.next_index = state.log.last_index + 1
        self._last_sent_offset: int | None = None
        self._acknowledged_offset = 0
        self._snapshot_index = -1

    def send(self, *, current_round: int, heartbeat: bool) -> None:
        """Send the entries that the follower lacks, or a due heartbeat."""
        log = self._state.log
        if self.next_index <= 0 or log.find_term(self.next_index - 1) is None:
            self._send_snapshot_chunk(current_round, resend=heartbeat)
            return
        window = self.match_index + MAX_INFLIGHT_ENTRIES - self.next_index
        while heartbeat or (self.next_index <= log.last_index and window > 0):
            entries = log.get_range(self.next_index, log.last_index, MAX_BATCH_BYTES)
            self._state.queue_message(
                self._build_message(
                    AppendRequest,
                    previous_index=self.next_index - 1,
                    previous_term=log.find_term(self.next_index - 1),
                    entries=entries,
                    commit=self._state.commit_index,
                    round=current_round,
                )
            )
            self.next_index += len(entries)
            window -= len(entries)
            heartbeat = False

    def handle_append_reply(self, reply: AppendReply) -> None:
        """Update the progress from a reply to entries."""
        if reply.accepted:
            self.match_index = max(self.match_index, reply.index)
            self.next_index = max(self.next_index, self.match_index + 1)
        elif reply.previous_index > self.match_index or reply.index < 0:
            self.next_index = max(
                min(reply.previous_index, reply.index + 1), self.match_index + 1
            )

    def handle_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Update the progress from a reply to a snapshot chunk."""
        if reply.done:
            self.match_index = max(self.match_index, reply.index)
            self.next_index = max(self.next_index, self.match_index + 1)
        elif reply.index == self._snapshot_index:
            self._acknowledged_offset = reply.offset

    def _send_snapshot_chunk(self, current_round: int, *, resend: bool) -> None:
        snapshot = self._state.log.snapshot
        if snapshot.index != self._snapshot_index:
            self._snapshot_index = snapshot.index
            self._acknowledged_offset = 0
            self._last_sent_offset = None
        if self._acknowledged_offset == self._last_sent_offset and not resend:
            return
        self._last_sent_offset = self._acknowledged_offset
        end = self._acknowledged_offset + SNAPSHOT_CHUNK_BYTES
        self._state.queue_message(
            self._build_message(
                SnapshotRequest,
                index=snapshot.index,
                index_term=snapshot.term,
                configuration=snapshot.configuration,
                offset=self._acknowledged_offset,
                data=snapshot.data[self._acknowledged_offset : end],
                done=end >= len(snapshot.data),
                round=current_round,
            )
        )

    def _build_message(
        self,
        message_type: Callable[..., AppendRequest | SnapshotRequest],
        **fields: object,
    ) -> AppendRequest | SnapshotRequest:
        return message_type(
            sender=self._state.identity,
            receiver=self._identity,
            cluster=self._state.cluster,
            term=self._state.term,
            **fields,
        )
