"""Rendezvous hashing by which calls with one prefix meet at one server."""

import xxhash

#: Groups of prefixes; each keeps its best server ready.
BUCKET_COUNT = 1024


def score_server(bucket: int, name: str) -> int:
    """Return the rendezvous score of a server for a bucket of prefixes."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=bucket)


class AffinityTable:
    """Knows the rendezvous winner of each bucket of prefixes.

    A decision is one look-up. A server that joins costs one score a bucket;
    one that leaves costs a search in the buckets that it had won, no more
    than its share of them.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._winners: list[str] = [""] * BUCKET_COUNT
        self._scores: list[int] = [-1] * BUCKET_COUNT

    def add(self, name: str) -> None:
        """Let a server win the buckets in which it scores highest."""
        if name in self._names:
            return
        self._names.add(name)
        scores = self._scores
        for bucket in range(BUCKET_COUNT):
            score = score_server(bucket, name)
            if score > scores[bucket]:
                scores[bucket] = score
                self._winners[bucket] = name

    def discard(self, name: str) -> None:
        """Give the buckets that a server had won to the next best."""
        if name not in self._names:
            return
        self._names.remove(name)
        for bucket in range(BUCKET_COUNT):
            if self._winners[bucket] == name:
                self._search(bucket)

    def find(self, affinity: int) -> str:
        """Return the server for a prefix, or empty when there is none."""
        return self._winners[affinity % BUCKET_COUNT]

    def _search(self, bucket: int) -> None:
        best, best_score = "", -1
        for name in self._names:
            score = score_server(bucket, name)
            if score > best_score:
                best, best_score = name, score
        self._winners[bucket] = best
        self._scores[bucket] = best_score
