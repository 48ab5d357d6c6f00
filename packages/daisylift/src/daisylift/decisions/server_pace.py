"""Finds how much load a backend server bears after it has started or recovered.

Load pattern: a server starts, comes back cold or is reachable again, and hundreds of
VMs with waiting requests see an idle server at the same moment. Its process is slow for
some seconds and its caches are empty, so its usual load overruns it; it may also fail
part of its requests, or go down and up by turns. Held back for a fixed time instead, a
server that does well stays idle while others have queues.

Fresh requests come at their usual rate, spread over the VMs, and go to the server at
once: held back, they would burden other servers that are short of room as well. The
herd is what has waited: VMs begin with it one after another, and one request at a time
if they outnumber the slots, until they have had a response in time themselves.

The pace is the share of the server's usual load that this VM sends to it. A refusal or
a late response cuts it in half at once, a failure to a quarter, and a start soon after
another in half as well. It doubles with each response in time and with time alone, but
stands still after a slow response. Each object has a fixed position between 0 and 1,
and those below the share go to the server. All VMs compute the same positions, so an
object moves once, and its stand-in serves it until then.
"""

import math
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

FULL = 1.0
RESTART_SHARE = 0.5  # of a start soon after another; halved by each further one
MIN_SHARE = 1.0 / 16.0  # some requests always show whether the server has recovered
DOUBLING_SECONDS = 1.0  # without responses of its own, a VM's pace doubles in this time
IN_TIME_RATIO = 1.6  # of the usual time; slower responses do not raise the pace
LATE_RATIO = 2.8  # of the usual time; slower responses cut the pace
LATE_EXCESS_LOAD = 1.0  # requests per slot
CUT_FACTOR = 0.5
FAILURE_CUT_FACTOR = 0.25  # a failure harms its caller more than a refusal
FAILURES_IN_A_ROW = 3  # these cut the pace of a server that was at its usual load
HOLD_SECONDS = 1.0  # no growth with time after a slow response or a cut
MAX_SETBACKS = 3  # failures and repeated starts that slow the growth down
SETBACK_MEMORY_SECONDS = 30.0
WATCH_SECONDS = 4.0  # at its usual load, a server is proven, and a bad response cuts it
ENTRY_SLOT_SECONDS = 0.5  # per VM that begins with what has waited
MAX_ENTRY_SECONDS = 10.0
HASH_RANGE = 2.0**64


@dataclass(frozen=True, slots=True)
class PaceEvidence:
    """What one response, or its loss, says of the server.

    ``is_failure``: an error or a lost response; ``is_refusal``: the request was turned
    away or its time ran out, which load alone may cause. ``time_ratio`` is the run time
    over the usual one, None if unknown, as for a request that queued. ``excess_load``
    is the reported load per slot above that of comparable servers.
    """

    is_failure: bool = False
    is_refusal: bool = False
    time_ratio: float | None = None
    excess_load: float = 0.0

    @property
    def is_late(self) -> bool:
        """Return whether the server has more requests than it bears."""
        is_slow = self.time_ratio is not None and self.time_ratio > LATE_RATIO
        is_turned_away = self.is_failure or self.is_refusal
        return is_turned_away or is_slow or self.excess_load >= LATE_EXCESS_LOAD

    @property
    def is_in_time(self) -> bool:
        """Return whether the server could take more."""
        if self.is_late or self.time_ratio is None:
            return False
        return self.time_ratio <= IN_TIME_RATIO


@dataclass(frozen=True, slots=True)
class PaceStart:
    """The circumstances of a start.

    The server takes no request before ``resumes_at``. Until ``cold_until``, only
    ``entering_nodes`` of all ``node_count`` nodes send requests to the server.
    """

    resumes_at: float
    entering_nodes: int
    node_count: int
    slots: int = 1
    cold_until: float = -math.inf

    def entry_seconds(self) -> float:
        """Return the time within which the nodes begin with what has waited."""
        seconds = ENTRY_SLOT_SECONDS * self.entering_nodes / self.slots
        return min(MAX_ENTRY_SECONDS, seconds)

    def nodes(self, now: float) -> int:
        """Return how many nodes may send requests to the server now."""
        return self.entering_nodes if now < self.cold_until else self.node_count


@dataclass(slots=True)
class ServerPace:
    """The pace of one server on this VM; times are monotonic, in seconds.

    ``withheld`` counts the placements that passed over the server since the start.
    """

    setbacks: int = 0
    withheld: int = 0
    _begun: PaceStart = PaceStart(-math.inf, 1, 1)
    _share: float = FULL
    _started_at: float = -math.inf
    _updated_at: float = -math.inf
    _enters_at: float = -math.inf
    _cut_at: float = -math.inf
    _setback_at: float = -math.inf
    _watched_until: float = -math.inf
    _failures: int = 0
    _has_responded: bool = False
    _is_proven: bool = True

    @property
    def enters_at(self) -> float:
        """The time from which this VM sends requests that have waited."""
        return self._enters_at

    @property
    def is_full(self) -> bool:
        """Return whether no bound applies, as of the last update."""
        return self._is_proven and self._share >= FULL

    def is_settled(self, now: float) -> bool:
        """Return whether the server has done well at its usual load for a while."""
        return self.share(now) >= FULL and now >= self._watched_until

    def share(self, now: float) -> float:
        """Return the current share of the usual load, at most 1."""
        if self._share < FULL and now > self._updated_at:
            self._grow((now - self._updated_at) / DOUBLING_SECONDS, now)
            self._updated_at = now
        return self._share

    def start(self, begun: PaceStart, spread: float, now: float) -> None:
        """Begin with few requests; a start soon after another also with a low share.

        ``spread``, from 0 to 1, is this VM's turn among the nodes that enter.
        """
        if self._has_responded and now - self._started_at < SETBACK_MEMORY_SECONDS:
            self._record_setback(now)
        self._started_at = now
        self._has_responded = self._is_proven = False
        self.withheld = 0
        self._begun = begun
        self._enters_at = max(now, begun.resumes_at) + spread * begun.entry_seconds()
        self._share = max(MIN_SHARE, RESTART_SHARE ** self._recent_setbacks(now))
        self._updated_at = max(now, begun.resumes_at)
        self._cut_at = now
        self._watched_until = math.inf
        if self._share >= FULL:
            self._watched_until = self._enters_at + WATCH_SECONDS

    def admits(
        self,
        position: float,
        load: float,
        in_flight: int,
        slots: int,
        now: float,
        has_waited: bool = False,
    ) -> bool:
        """Return whether the pace allows another request.

        ``position`` is that of the request's object, ``load`` the known number of
        requests at the server from all VMs and ``in_flight`` that of this VM.
        """
        if now >= self._watched_until:
            self._is_proven = True
        if self.is_full:
            return True
        share = self.share(now)
        nodes = self._begun.nodes(now)
        room = max(1.0, share * slots)
        if (has_waited or share < FULL) and load + 0.5 >= room:
            return False
        if has_waited and not self._is_proven:
            is_in_turn = now >= self._enters_at
            return is_in_turn and in_flight < max(1.0, room / nodes)
        return position < share * self._begun.node_count / nodes

    def record(self, evidence: PaceEvidence, sent_at: float, now: float) -> bool:
        """Raise or cut the pace after a response; return whether it was cut.

        ``sent_at`` is when the request was sent. One sent before the last cut or start
        says nothing of the current pace. At its usual load, a server's pace is cut only
        by failures in a row.
        """
        if sent_at < self._cut_at:
            return False
        self._has_responded = True
        self._failures = self._failures + 1 if evidence.is_failure else 0
        if now >= self._watched_until:
            is_late = self._failures >= FAILURES_IN_A_ROW
        else:
            is_late = evidence.is_late
        share = self.share(now)
        if is_late:
            if evidence.is_failure:
                self._record_setback(now)
                self._cut(share * FAILURE_CUT_FACTOR, now)
            else:
                self._cut(share * CUT_FACTOR, now)
        elif evidence.is_in_time:
            self._is_proven = True
            if share < FULL:
                self._grow(1.0, now)
        elif evidence.time_ratio is not None and share < FULL:
            self._updated_at = now + HOLD_SECONDS
        return is_late

    def _grow(self, steps: float, now: float) -> None:
        self._share *= 2.0 ** (steps / (1.0 + self._recent_setbacks(now)))
        if self._share >= FULL:
            self._share = FULL
            self._watched_until = now + WATCH_SECONDS

    def _cut(self, share: float, now: float) -> None:
        self._failures = 0
        self._is_proven = False
        self._share = max(MIN_SHARE, share)
        self._cut_at = now
        self._updated_at = now + HOLD_SECONDS * max(1, self._recent_setbacks(now))
        self._watched_until = math.inf

    def _record_setback(self, now: float) -> None:
        self.setbacks = min(MAX_SETBACKS, self._recent_setbacks(now) + 1)
        self._setback_at = now

    def _recent_setbacks(self, now: float) -> int:
        is_recent = now - self._setback_at < SETBACK_MEMORY_SECONDS
        return self.setbacks if is_recent else 0


def object_position(object_key: str, server_id: str) -> float:
    """Return the object's position from 0 to 1 in the order of return to a server."""
    text = f'{server_id}/return/{object_key}'
    digest = xxh3_64_intdigest(text.encode('utf-8', 'surrogateescape'))
    return digest / HASH_RANGE
