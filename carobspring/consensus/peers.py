"""Who is there: the hellos of the peers, founding and inviting by them."""

from carobspring.consensus.bootstrap import build_initial_configuration
from carobspring.consensus.entries import Configuration
from carobspring.consensus.messages import BootstrapRequest, Hello
from carobspring.consensus.state import ReplicaState


class PeerDirectory:
    """Knows the last hello of each peer.

    A hello is sent when a stream opens, so it was made after the receiving
    process started: it can't speak of a cluster that is gone.
    """

    def __init__(
        self, *, state: ReplicaState, name: str, peers: frozenset[str], bootstrap: bool
    ) -> None:
        self._state = state
        self._name = name
        self._peers = peers
        self._bootstrap = bootstrap
        #: Names that were learned after the start.
        self._late_peers: set[str] = set()
        #: The last hello of each name.
        self.hellos: dict[str, Hello] = {}

    def make_hello(self) -> Hello:
        """Return the message that opens a connection."""
        return Hello(
            sender=self._state.identity,
            receiver="",
            cluster=self._state.cluster,
            term=self._state.term,
            name=self._name,
            founding=self._bootstrap,
        )

    def add_peer(self, name: str) -> None:
        """Take the hello of another name; it takes no part in the founding."""
        if name != self._name and name not in self._peers:
            self._late_peers.add(name)

    @property
    def has_no_peers(self) -> bool:
        """Say whether there are no peers whose hello could come."""
        return not self._peers

    def handle_hello(self, hello: Hello) -> None:
        """Note a hello, and invite its sender if it belongs here."""
        if hello.name in self._peers or hello.name in self._late_peers:
            self.hellos[hello.name] = hello
            self._invite(hello)

    def build_initial_configuration(self) -> Configuration | None:
        """Return the founding configuration, or none when it isn't time."""
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
        """Tell every founding member that said hello about the cluster."""
        for hello in self.hellos.values():
            self._invite(hello)

    def _invite(self, hello: Hello) -> None:
        """Tell a founding member of the cluster that it belongs to it."""
        state = self._state
        founded = state.log.snapshot.index == 0 and state.cluster
        listed = state.log.snapshot.configuration.is_voter(hello.sender)
        if not founded or not listed or hello.cluster:
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
