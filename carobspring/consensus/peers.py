"""The known peers, and the bootstrap of a cluster from their hellos."""

from carobspring.consensus.bootstrap import build_initial_configuration
from carobspring.consensus.entries import Configuration
from carobspring.consensus.messages import BootstrapRequest, Hello
from carobspring.consensus.state import ReplicaState


class PeerDirectory:
    """Keeps the last hello from each peer.

    Hellos are sent on an open stream, so each was created after the receiving
    process started and can't describe a cluster that no longer exists.
    """

    def __init__(
        self,
        *,
        state: ReplicaState,
        name: str,
        peers: frozenset[str],
        bootstrap: bool,
        rejoins: bool = False,
    ) -> None:
        self._state = state
        self._rejoins = rejoins
        #: Whether this replica is about to stop.
        self.is_leaving = False
        self._name = name
        self._peers = peers
        self._bootstrap = bootstrap
        #: Names added after the start; they take no part in the bootstrap.
        self._later_peers: set[str] = set()
        #: The last hello from each name.
        self.hellos: dict[str, Hello] = {}
        #: When that hello arrived.
        self._heard_at: dict[str, float] = {}

    def build_hello(self) -> Hello:
        """Return the message that introduces this replica to its peers."""
        return Hello(
            sender=self._state.identity,
            receiver="",
            cluster=self._state.cluster,
            term=self._state.term,
            name=self._name,
            founding=self._bootstrap,
            rejoins=self._rejoins,
            leaving=self.is_leaving,
        )

    def add_peer(self, name: str) -> None:
        """Accept hellos from a name that takes no part in the bootstrap."""
        if name != self._name and name not in self._peers:
            self._later_peers.add(name)

    @property
    def has_no_peers(self) -> bool:
        """Whether no peers were given at the start."""
        return not self._peers

    def handle_hello(self, hello: Hello, now: float) -> None:
        """Record a hello; send its sender the initial configuration if due."""
        if hello.name in self._peers or hello.name in self._later_peers:
            self.hellos[hello.name] = hello
            self._heard_at[hello.name] = now
            self._send_bootstrap_request(hello)

    def find_running(self, now: float) -> frozenset[str]:
        """Return the names whose last hello is recent."""
        oldest = now - self._state.timing.hello_lifetime_s
        return frozenset(
            name for name, heard_at in self._heard_at.items() if heard_at >= oldest
        )

    def build_initial_configuration(self) -> Configuration | None:
        """Return the initial configuration, or None if not possible yet."""
        if not self._bootstrap:
            return None
        return build_initial_configuration(
            identity=self._state.identity,
            name=self._name,
            peers=self._peers,
            hellos=self.hellos,
            random=self._state.random,
        )

    def send_bootstrap_requests(self) -> None:
        """Send the initial configuration to all members that sent a hello."""
        for hello in self.hellos.values():
            self._send_bootstrap_request(hello)

    def _send_bootstrap_request(self, hello: Hello) -> None:
        """Send the initial configuration to a member that does not have it."""
        state = self._state
        is_bootstrapped = state.log.snapshot.index == 0 and state.cluster
        is_initial_voter = state.log.snapshot.configuration.is_voter(hello.sender)
        if not is_bootstrapped or not is_initial_voter or hello.cluster:
            return
        state.queue_message(
            BootstrapRequest(
                sender=state.identity,
                receiver=hello.sender,
                cluster=state.cluster,
                term=0,
                configuration=state.log.snapshot.configuration,
            )
        )
