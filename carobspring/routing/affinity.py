"""Rendezvous hashing that sends calls with the same prefix to one server."""

import xxhash

#: Number of buckets that prefixes are hashed into; the server with the
#: highest score is stored for each.
BUCKET_COUNT = 1024


def score_server(bucket: int, name: str) -> int:
    """Return the rendezvous hash of a server for a bucket of prefixes."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=bucket)


class AffinityTable:
    """The server with the highest rendezvous hash for each bucket.

    A decision is one lookup. Adding a server computes one hash per bucket.
    Removing one searches only the buckets that were assigned to it, which is
    its share of all buckets.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._best_names: list[str] = [""] * BUCKET_COUNT
        self._best_scores: list[int] = [-1] * BUCKET_COUNT

    def add(self, name: str) -> None:
        """Assign a server the buckets in which its score is the highest."""
        if name in self._names:
            return
        self._names.add(name)
        scores = self._best_scores
        for bucket in range(BUCKET_COUNT):
            score = score_server(bucket, name)
            if score > scores[bucket]:
                scores[bucket] = score
                self._best_names[bucket] = name

    def discard(self, name: str) -> None:
        """Remove a server and reassign its buckets to the next best ones."""
        if name not in self._names:
            return
        self._names.remove(name)
        for bucket in range(BUCKET_COUNT):
            if self._best_names[bucket] == name:
                self._find_best(bucket)

    def find(self, affinity: int) -> str:
        """Return the server for a prefix hash, or "" if there is none."""
        return self._best_names[affinity % BUCKET_COUNT]

    def _find_best(self, bucket: int) -> None:
        best, best_score = "", -1
        for name in self._names:
            score = score_server(bucket, name)
            if score > best_score:
                best, best_score = name, score
        self._best_names[bucket] = best
        self._best_scores[bucket] = best_score
