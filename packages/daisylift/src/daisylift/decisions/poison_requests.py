"""Detects poison requests, which crash the backend servers that run them.

A digest identifies a request, whoever sends it. Each attempt during which the
connection to the backend server broke is counted, on this node and on peers. At the
limit, the request is refused on all nodes. A server that was merely killed also breaks
the connections of harmless requests. Therefore a response clears a digest and protects
it from being counted for a while, and counts expire. As long as a refused request comes
again, at any node, its refusals go on, up to a longest time: servers lost together may
have made a harmless request look like a poison one.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

MAX_CRASHES = 2
CRASH_EXPIRY_SECONDS = 300.0
CLEARED_SECONDS = 60.0
MAX_BLOCK_SECONDS = 1800.0  # from the last crash; then the request is tried again
REFRESH_SHARE = 0.5  # of the expiry; peers are told when less of it remains
MAX_DIGESTS = 4096
MAX_CLEARED = 8192
MAX_CRASH_IDS = 8
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
class CrashRecord:
    """The crashes of one digest; ``ids`` identifies each, as messages may repeat.

    ``peers_expire_at`` is when they expire at peers that were told of them.
    """

    expires_at: float = 0.0
    peers_expire_at: float = 0.0
    ids: set[int] = field(default_factory=set)
    last_crash_at: float = 0.0


@dataclass(frozen=True, slots=True)
class KnownCrashes:
    """What a node knows of one digest, for nodes that start later."""

    digest: Digest
    ids: tuple[int, ...]
    remaining_seconds: float
    seconds_since_crash: float


@dataclass(slots=True)
class PoisonRequestCounter:
    """Counts server crashes by request digest, bounded in number and in time.

    A request is refused from ``max_crashes`` crashes on. Its crashes expire after
    ``expiry_seconds`` without another one or, once it is refused, a repeat. The oldest
    digests are evicted first.
    """

    max_crashes: int = MAX_CRASHES
    expiry_seconds: float = CRASH_EXPIRY_SECONDS
    _crashes_by_digest: OrderedDict[Digest, CrashRecord] = field(
        default_factory=OrderedDict
    )
    _cleared_until: OrderedDict[Digest, float] = field(default_factory=OrderedDict)

    def record_crash(self, digest: Digest, crash_id: int, now: float) -> bool:
        """Count a crash, once for each id; return whether it was counted.

        A request that was answered recently is not counted: the server went down for
        another reason, such as the loss of its failure domain.
        """
        if self._cleared_until.get(digest, now) > now:
            return False
        record = self._unexpired(digest, now) or CrashRecord()
        if crash_id in record.ids or len(record.ids) >= MAX_CRASH_IDS:
            return False
        record.ids.add(crash_id)
        record.expires_at = record.peers_expire_at = now + self.expiry_seconds
        record.last_crash_at = now
        self._store(digest, record)
        return True

    def record_repeat(self, digest: Digest, now: float) -> bool:
        """Prolong the refusals of a request that came again, here or at a peer.

        Return whether peers are to be told of it.
        """
        if not self.is_blocked(digest, now):
            return False
        record = self._crashes_by_digest[digest]
        longest = record.last_crash_at + MAX_BLOCK_SECONDS
        record.expires_at = min(now + self.expiry_seconds, longest)
        remaining = record.peers_expire_at - now
        if (
            remaining >= REFRESH_SHARE * self.expiry_seconds
            or record.expires_at <= record.peers_expire_at
        ):
            return False
        record.peers_expire_at = record.expires_at
        return True

    def known_crashes(self, now: float) -> list[KnownCrashes]:
        """Return all crashes that have not expired."""
        return [
            KnownCrashes(
                digest,
                tuple(record.ids),
                record.expires_at - now,
                now - record.last_crash_at,
            )
            for digest, record in self._crashes_by_digest.items()
            if record.expires_at > now
        ]

    def learn(self, known: KnownCrashes, now: float) -> None:
        """Add what a peer knows to what this node knows."""
        if self._cleared_until.get(known.digest, now) > now:
            return
        record = self._unexpired(known.digest, now) or CrashRecord()
        remaining = min(known.remaining_seconds, self.expiry_seconds)
        record.expires_at = max(record.expires_at, now + remaining)
        since_crash = max(0.0, known.seconds_since_crash)
        record.peers_expire_at = record.expires_at
        record.last_crash_at = max(record.last_crash_at, now - since_crash)
        record.ids.update(known.ids[: MAX_CRASH_IDS - len(record.ids)])
        self._store(known.digest, record)

    def record_response(self, digest: Digest, now: float) -> bool:
        """Clear a request that was answered; return whether it had crashes."""
        self._cleared_until[digest] = now + CLEARED_SECONDS
        self._cleared_until.move_to_end(digest)
        while len(self._cleared_until) > MAX_CLEARED:
            self._cleared_until.popitem(last=False)
        return self._crashes_by_digest.pop(digest, None) is not None

    def is_blocked(self, digest: Digest, now: float) -> bool:
        """Return whether the request has crashed too many servers to run again."""
        record = self._unexpired(digest, now)
        return record is not None and len(record.ids) >= self.max_crashes

    def _store(self, digest: Digest, record: CrashRecord) -> None:
        self._crashes_by_digest[digest] = record
        self._crashes_by_digest.move_to_end(digest)
        while len(self._crashes_by_digest) > MAX_DIGESTS:
            self._crashes_by_digest.popitem(last=False)

    def __len__(self) -> int:
        return len(self._crashes_by_digest)

    def _unexpired(self, digest: Digest, now: float) -> CrashRecord | None:
        record = self._crashes_by_digest.get(digest)
        if record is not None and record.expires_at <= now:
            del self._crashes_by_digest[digest]
            return None
        return record
