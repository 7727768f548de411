"""The bootstrap of a cluster, which must happen only once.

Every replica generates a random identity when its data directory is empty.
Only the replica whose name sorts first bootstraps a cluster, and only after
every other peer has reported to this process that its data directory is empty
too and that it was started to bootstrap. A replica that is restarted with the
same flags and an emptied data directory therefore finds members that have a
cluster, and waits to be added as a learner.
"""

from collections.abc import Mapping

from carobspring.consensus.entries import Configuration, Member
from carobspring.consensus.messages import Hello
from carobspring.ports import RandomSource


def build_initial_configuration(
    *,
    identity: str,
    name: str,
    peers: frozenset[str],
    hellos: Mapping[str, Hello],
    random: RandomSource,
) -> Configuration | None:
    """Return the initial configuration, or None if it can't be built yet.

    Args:
        identity: This replica's identity.
        name: This replica's name.
        peers: The names of the other replicas.
        hellos: The last hello from each name.
        random: The source of the cluster's identifier.
    """
    if any(peer < name for peer in peers):
        return None
    members = [Member(identity=identity, name=name)]
    for peer in sorted(peers):
        hello = hellos.get(peer)
        if hello is None or hello.cluster or not hello.founding:
            return None
        members.append(Member(identity=hello.sender, name=peer))
    return Configuration(cluster=generate_identifier(random), members=tuple(members))


def generate_identifier(random: RandomSource) -> str:
    """Return a random 96-bit identifier, unique for practical purposes."""
    return "".join(f"{random.draw_index(1 << 16):04x}" for _ in range(6))
