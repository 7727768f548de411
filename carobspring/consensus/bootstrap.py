"""The first start of a cluster, which must happen only once.

Every replica draws a random identity when its data folder is empty. The
founder, the first name among the peers, founds a cluster only when each other
name has told this very process that its folder is empty too and that it was
started to found. An emptied folder started again with the same flags thus
meets members that have a cluster, and waits to be taken in as a learner.
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
    """Return the founding configuration, or none when it isn't the time.

    Args:
        identity: This replica's identity.
        name: This replica's name.
        peers: Names of the other replicas.
        hellos: The last hello of each name.
        random: Draws the cluster's identifier.
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
    """Return a random identifier that nobody else draws."""
    return "".join(f"{random.draw_index(1 << 16):04x}" for _ in range(6))
