"""Remembers requests that broke backend servers, and tells peers of them."""

import secrets
from collections.abc import Callable

from loguru import logger

from daisylift.decisions.poison_requests import Digest, PoisonRequestCounter

BREAK_ID_BITS = 64
ANSWERED = 0

Clock = Callable[[], float]
Announce = Callable[[Digest, int], None]


class BreakRegister:
    """Counts breaks of this node and of its peers.

    A notice names a digest and a break; the break ANSWERED says that the request was
    answered after all.
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

    def is_stopped(self, digest: Digest) -> bool:
        """Say whether the request may not run again for now."""
        return self._requests.is_blocked(digest, self._clock())

    def broke(self, digest: Digest, break_id: int | None = None) -> None:
        """Count a break seen here, and tell the peers.

        Breaks with the same id count once; without an id, each counts.
        """
        if break_id is None:
            break_id = secrets.randbits(BREAK_ID_BITS) | 1
        if not self._requests.record_crash(digest, break_id, self._clock()):
            return
        logger.bind(digest=digest.hex()).warning('a request broke its backend server')
        self._announce(digest, break_id)

    def answered(self, digest: Digest) -> None:
        """Clear a request that was answered; tell the peers if it was counted."""
        if self._requests.record_answer(digest, self._clock()):
            self._announce(digest, ANSWERED)

    def heard(self, digest: Digest, break_id: int) -> bool:
        """Take in the notice of a peer; say whether it was news."""
        now = self._clock()
        if break_id == ANSWERED:
            return self._requests.record_answer(digest, now)
        return self._requests.record_crash(digest, break_id, now)
