"""What the leader knows of one follower's log, and what to send it."""

from collections.abc import Callable

from carobspring.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotReply,
    SnapshotRequest,
)
from carobspring.consensus.state import ReplicaState

MAX_BATCH_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
#: Entries that may be on their way to one follower without an answer.
MAX_INFLIGHT_ENTRIES = 4096


class Progress:
    """The replication to one follower.

    Entries are sent ahead of answers. When one is lost, the next heartbeat
    doesn't fit the follower's log, and its refusal sets the way back.
    """

    def __init__(self, *, state: ReplicaState, identity: str) -> None:
        self._state = state
        self._identity = identity
        self.match_index = -1
        self.next_index = state.log.last_index + 1
        self._sent_offset: int | None = None
        self._offset = 0
        self._snapshot_index = -1

    def send(self, *, current_round: int, heartbeat: bool) -> None:
        """Send what the follower lacks, and a heartbeat even if nothing."""
        log = self._state.log
        if self.next_index <= 0 or log.find_term(self.next_index - 1) is None:
            self._send_part(current_round, again=heartbeat)
            return
        room = self.match_index + MAX_INFLIGHT_ENTRIES - self.next_index
        while heartbeat or (self.next_index <= log.last_index and room > 0):
            entries = log.get_range(self.next_index, log.last_index, MAX_BATCH_BYTES)
            self._state.queue_message(
                self._make_message(
                    AppendRequest,
                    previous_index=self.next_index - 1,
                    previous_term=log.find_term(self.next_index - 1),
                    entries=entries,
                    commit=self._state.commit_index,
                    round=current_round,
                )
            )
            self.next_index += len(entries)
            room -= len(entries)
            heartbeat = False

    def handle_append_reply(self, reply: AppendReply) -> None:
        """Learn from an answer to entries."""
        if reply.accepted:
            self.match_index = max(self.match_index, reply.index)
            self.next_index = max(self.next_index, self.match_index + 1)
        elif reply.previous_index > self.match_index or reply.index < 0:
            self.next_index = max(
                min(reply.previous_index, reply.index + 1), self.match_index + 1
            )

    def handle_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Learn from an answer to a part of a snapshot."""
        if reply.done:
            self.match_index = max(self.match_index, reply.index)
            self.next_index = max(self.next_index, self.match_index + 1)
        elif reply.index == self._snapshot_index:
            self._offset = reply.offset

    def _send_part(self, current_round: int, *, again: bool) -> None:
        snapshot = self._state.log.snapshot
        if snapshot.index != self._snapshot_index:
            self._snapshot_index = snapshot.index
            self._offset = 0
            self._sent_offset = None
        if self._offset == self._sent_offset and not again:
            return
        self._sent_offset = self._offset
        end = self._offset + SNAPSHOT_CHUNK_BYTES
        self._state.queue_message(
            self._make_message(
                SnapshotRequest,
                index=snapshot.index,
                index_term=snapshot.term,
                configuration=snapshot.configuration,
                offset=self._offset,
                data=snapshot.data[self._offset : end],
                done=end >= len(snapshot.data),
                round=current_round,
            )
        )

    def _make_message(
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
