"""Other replicas: addresses, and a gRPC client that forwards commands."""

from grpclib import GRPCError
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import StreamTerminatedError

from carobspring.adapters import paths
from carobspring.adapters.peer_link import PeerAddress
from carobspring.adapters.rpc import open_channel
from carobspring.control.proposals import ForwardReply, ForwardRequest, Peer
from carobspring.domain import InvalidValueError, parse_address
from carobspring.domain.errors import check_name


class RpcPeer(Peer):
    """Another replica over gRPC; the connection is opened on first use."""

    def __init__(self, *, address: PeerAddress, secret: str) -> None:
        self._address = address
        self._secret = secret
        self._channel: Channel | None = None

    async def forward(self, request: ForwardRequest, timeout_s: float) -> ForwardReply:
        """Forward a command to be proposed there."""
        if self._channel is None:
            self._channel = open_channel(
                host=self._address.host, port=self._address.port, secret=self._secret
            )
        method = UnaryUnaryMethod[ForwardRequest, ForwardReply](
            self._channel, paths.FORWARD_COMMAND, ForwardRequest, ForwardReply
        )
        try:
            reply = await method(request, timeout=timeout_s)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError) as error:
            raise ConnectionError(str(error)) from error
        return reply or ForwardReply(error="no_reply")

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.close()


def parse_peers(peers: str) -> dict[str, PeerAddress]:
    """Return the addresses of the replicas that the flag ``--peers`` lists.

    Args:
        peers: Comma-separated ``ID=HOST:PORT`` of every replica.

    Raises:
        InvalidValueError: An item is malformed, or a name occurs twice.
    """
    addresses: dict[str, PeerAddress] = {}
    for part in filter(None, (part.strip() for part in peers.split(","))):
        name, _, address_text = part.partition("=")
        check_name("peers", name)
        if name in addresses:
            expected = "ID=HOST:PORT for each replica once, commas between them"
            raise InvalidValueError(field="peers", value=part, expected=expected)
        address = parse_address("peers", address_text)
        addresses[name] = PeerAddress(name=name, host=address.host, port=address.port)
    return addresses
