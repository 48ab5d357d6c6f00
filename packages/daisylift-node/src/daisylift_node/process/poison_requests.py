"""Registers poison requests, which crash backend servers, and notifies peers."""

import secrets
from collections.abc import Callable

from loguru import logger

from daisylift.decisions.poison_requests import (
    Digest,
    KnownCrashes,
    PoisonRequestCounter,
)

CRASH_ID_BITS = 64
ANSWERED = 0
REPEATED = 2**CRASH_ID_BITS - 1  # older nodes count it as one more crash

Clock = Callable[[], float]
Announce = Callable[[Digest, int], None]


class PoisonRequestRegister:
    """Counts the crashes that each request caused, at this node and at its peers.

    A connection that breaks while its server runs a request counts as a crash of the
    server. A notice carries the digest of a request and the id of a crash. The id
    ANSWERED means that a server answered the request, so it is not a poison request,
    and REPEATED that a refused request came again.
    """

    def __init__(
        self,
        clock: Clock,
        announce: Announce,
        requests: PoisonRequestCounter | None = None,
    ) -> None:
        self._clock = clock
        self._announce = announce
        self._requests = PoisonRequestCounter() if requests is None else requests

    def is_blocked(self, digest: Digest) -> bool:
        """Return whether the request must not run again for now."""
        now = self._clock()
        if not self._requests.is_blocked(digest, now):
            return False
        if self._requests.record_repeat(digest, now):
            self._announce(digest, REPEATED)
        return True

    def record_crash(self, digest: Digest, crash_id: int | None = None) -> None:
        """Count a crash that this node observed, and notify the peers.

        Crashes with the same id count once; without an id, each call counts.
        """
        if crash_id is None:
            crash_id = secrets.randbits(CRASH_ID_BITS) | 1
        if not self._requests.record_crash(digest, crash_id, self._clock()):
            return
        logger.bind(digest=digest.hex()).warning(
            'connection to the backend server broke while it ran a request; counting '
            'it as a possible poison request'
        )
        self._announce(digest, crash_id)

    def record_response(self, digest: Digest) -> None:
        """Clear a request that was answered; notify the peers if it was counted."""
        if self._requests.record_response(digest, self._clock()):
            self._announce(digest, ANSWERED)

    def apply_notice(self, digest: Digest, crash_id: int) -> bool:
        """Apply the notice of a peer; return whether it changed anything."""
        now = self._clock()
        if crash_id == ANSWERED:
            return self._requests.record_response(digest, now)
        if crash_id == REPEATED:
            return self._requests.record_repeat(digest, now)
        return self._requests.record_crash(digest, crash_id, now)

    def known_crashes(self) -> list[KnownCrashes]:
        """Return what this node knows, for a node that has started."""
        return self._requests.known_crashes(self._clock())

    def learn(self, crashes: list[KnownCrashes]) -> None:
        """Add what a peer knows to what this node knows."""
        now = self._clock()
        for known in crashes:
            self._requests.learn(known, now)
