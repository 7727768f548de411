"""Executes a node's actions on its storage and state machine.

The driver has no event loop, network or clock of its own, so that it runs both
in the program and in the simulation of the tests.
"""

from abc import ABC, abstractmethod

from carobspring.consensus.entries import Entry, EntryKind
from carobspring.consensus.events import (
    Actions,
    Event,
    LogSynced,
    Outcome,
    SnapshotTaken,
)
from carobspring.consensus.journal import Journal
from carobspring.consensus.messages import Message
from carobspring.consensus.node import KEPT_ENTRIES, Node
from carobspring.consensus.state import Timing
from carobspring.ports import RandomSource, StateMachine, Storage

#: The number of entries applied between two snapshots.
SNAPSHOT_EVERY = 4096


class OutputHandler(ABC):
    """Receives the messages and results of a replica."""

    @abstractmethod
    def send(self, message: Message) -> None:
        """Send a message to a peer; it may get lost."""

    @abstractmethod
    def handle_outcome(self, outcome: Outcome) -> None:
        """Report the outcome of the request with a token."""

    @abstractmethod
    def handle_applied(self, entry: Entry, result: bytes) -> None:
        """Report a committed entry and what applying it returned."""


class Driver:
    """A node with its journal and state machine.

    Raises:
        CorruptRecordError: The data directory differs from what was written.
        JournalFailedError: The storage failed. Nothing may be acknowledged
            from then on, so the driver must not be used any more.
    """

    def __init__(
        self,
        *,
        name: str,
        peers: frozenset[str],
        bootstrap: bool,
        timing: Timing,
        storage: Storage,
        random: RandomSource,
        machine: StateMachine,
        output: OutputHandler,
        now: float,
        snapshot_every: int = SNAPSHOT_EVERY,
        kept_entries: int = KEPT_ENTRIES,
        rejoins: bool = False,
    ) -> None:
        self._journal = Journal(storage=storage, random=random)
        self._machine = machine
        self._output = output
        self._snapshot_every = snapshot_every
        snapshot = self._journal.snapshot
        if snapshot.index:
            machine.restore(snapshot.data)
        #: The index of the last entry applied to the state machine.
        self.applied_index = snapshot.index
        #: The number of batches written and synced, for the metrics.
        self.sync_count = 0
        self.node = Node(
            identity=self._journal.identity,
            name=name,
            peers=peers,
            bootstrap=bootstrap,
            timing=timing,
            random=random,
            snapshot=snapshot,
            entries=self._journal.entries,
            hard_state=self._journal.hard_state,
            now=now,
            kept_entries=kept_entries,
            rejoins=rejoins,
        )

    def step(self, event: Event, now: float) -> None:
        """Pass an event to the node."""
        self.node.step(event, now)

    def execute_actions(self, now: float) -> None:
        """Execute the actions resulting from the steps since the last call."""
        actions = self.node.take_actions(now)
        while not actions.is_empty():
            self._execute_batch(actions, now)
            actions = self.node.take_actions(now)

    def _execute_batch(self, actions: Actions, now: float) -> None:
        if actions.must_sync():
            self._persist(actions)
            self.node.step(LogSynced(), now)
        for message in actions.messages:
            self._output.send(message)
        if actions.should_restore and actions.snapshot is not None:
            if actions.snapshot.index:
                self._machine.restore(actions.snapshot.data)
            self.applied_index = actions.snapshot.index
        for outcome in actions.outcomes:
            self._output.handle_outcome(outcome)
        for entry in actions.committed_entries:
            self._apply(entry)
        if self.applied_index - self.node.log.snapshot.index >= self._snapshot_every:
            data = self._machine.take_snapshot()
            self.node.step(SnapshotTaken(index=self.applied_index, data=data), now)

    def _persist(self, actions: Actions) -> None:
        log = self.node.log
        tail: tuple[Entry, ...] = ()
        if actions.snapshot is not None:
            tail = log.get_range(actions.snapshot.index + 1, log.last_index)
        self._journal.save(actions, tail)
        self.sync_count += 1

    def _apply(self, entry: Entry) -> None:
        result = b""
        if entry.kind is EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.data)
        self.applied_index = entry.index
        self._output.handle_applied(entry, result)
