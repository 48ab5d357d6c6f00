"""Detects poison requests, which crash the backend servers that run them.

A digest identifies a request, whoever sends it. Each attempt during which the
connection to the backend server broke is counted, on this node and on peers. At the
limit, the request is refused on all nodes. A server that was merely killed also breaks
the connections of harmless requests. Therefore a response clears a digest and protects
it from being counted for a while, and counts expire.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

MAX_BREAKS = 2
BREAK_SECONDS = 300.0
VOUCH_SECONDS = 60.0
MAX_DIGESTS = 4096
MAX_VOUCHED = 8192
MAX_BREAK_IDS = 8
DIGEST_BYTES = 16
LENGTH_BYTES = 4

Digest = bytes


def request_digest(
    service: str, method: str, target: str, body: bytes, length: str
) -> Digest:
    """Return a digest of the parts of a request that stay the same in a repeat.

    ``body`` is the beginning of the body, as far as it was read ahead, and ``length``
    the length that the caller declared. Other headers may differ between attempts and
    are left out.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    texts = (service, method, target, length)
    for part in (*(text.encode() for text in texts), body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.digest()


@dataclass(slots=True)
class Breaks:
    """The crashes of one digest; ``ids`` identifies each, as messages may repeat."""

    expires_at: float = 0.0
    ids: set[int] = field(default_factory=set)


@dataclass(slots=True)
class BreakingRequests:
    """Counts server crashes by request digest, bounded in number and in time.

    A request is refused from ``max_breaks`` crashes on. Its crashes expire after
    ``break_seconds`` without another one. The oldest digests are evicted first.
    """

    max_breaks: int = MAX_BREAKS
    break_seconds: float = BREAK_SECONDS
    _breaks: OrderedDict[Digest, Breaks] = field(default_factory=OrderedDict)
    _vouched_until: OrderedDict[Digest, float] = field(default_factory=OrderedDict)

    def broke(self, digest: Digest, break_id: int, now: float) -> bool:
        """Count a crash, once for each id; return whether it was counted.

        A request that was answered recently is not counted: the server went down for
        another reason, such as the loss of its failure domain.
        """
        if self._vouched_until.get(digest, now) > now:
            return False
        breaks = self._live(digest, now) or Breaks()
        if break_id in breaks.ids or len(breaks.ids) >= MAX_BREAK_IDS:
            return False
        breaks.ids.add(break_id)
        breaks.expires_at = now + self.break_seconds
        self._breaks[digest] = breaks
        self._breaks.move_to_end(digest)
        while len(self._breaks) > MAX_DIGESTS:
            self._breaks.popitem(last=False)
        return True

    def answered(self, digest: Digest, now: float) -> bool:
        """Clear a request that was answered; return whether it had crashes."""
        self._vouched_until[digest] = now + VOUCH_SECONDS
        self._vouched_until.move_to_end(digest)
        while len(self._vouched_until) > MAX_VOUCHED:
            self._vouched_until.popitem(last=False)
        return self._breaks.pop(digest, None) is not None

    def is_stopped(self, digest: Digest, now: float) -> bool:
        """Return whether the request has crashed too many servers to run again."""
        breaks = self._live(digest, now)
        return breaks is not None and len(breaks.ids) >= self.max_breaks

    def __len__(self) -> int:
        return len(self._breaks)

    def _live(self, digest: Digest, now: float) -> Breaks | None:
        breaks = self._breaks.get(digest)
        if breaks is not None and breaks.expires_at <= now:
            del self._breaks[digest]
            return None
        return breaks
