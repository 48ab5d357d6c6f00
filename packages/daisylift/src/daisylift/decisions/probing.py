"""Decides which member to probe and when to suspect it.

A node sends O(1) probes per period at any fleet size. It probes the members of its
group in a shuffled order. Every few periods it probes a member outside the group
instead, so that small failure domains are watched too. If the node detects by its own
clock that it was delayed, it draws no conclusions from that round.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from daisylift.decisions.membership import MemberRecord, MemberState, MemberTable

PROBE_PERIOD_SECONDS = 1.0
TICK_SECONDS = 0.25
DIRECT_TIMEOUT_SECONDS = 0.4  # to answer a direct probe before helpers are requested
MAX_TICK_GAP_SECONDS = 2.5 * TICK_SECONDS
HELPERS_PER_PROBE = 3
OUTSIDE_PROBE_INTERVAL = 5  # one in this many probes goes outside the group
MIN_GROUP_SIZE = 8  # in smaller failure domains, the whole fleet is the group
PROBED_STATES = MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Probe the member."""

    target: MemberRecord


@dataclass(frozen=True, slots=True)
class RequestHelperProbes:
    """Request the helpers to probe the member, which did not answer this node."""

    target: MemberRecord
    helpers: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class Suspect:
    """Suspect the member: it answered neither this node nor the helpers."""

    vm: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ProcessDelayed:
    """Discard the pending probe: this process was delayed by ``seconds``."""

    seconds: float


ProbeStep = SendProbe | RequestHelperProbes | Suspect | ProcessDelayed


@dataclass(slots=True)
class _Outstanding:
    target: MemberRecord
    sent_at: float
    helpers_requested: bool = False


class Prober:
    """Decides the steps of one node's probing; ``rng`` is the random source."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._remaining_targets: list[str] = []
        self._round = 0
        self._outstanding: _Outstanding | None = None
        self._next_probe_at: float | None = None
        self._last_tick_at: float | None = None

    def record_message(self, vm: str, incarnation: str) -> None:
        """End the probe of a member from which any valid message was received."""
        outstanding = self._outstanding
        if outstanding is None or outstanding.target.vm != vm:
            return
        if incarnation >= outstanding.target.incarnation:
            self._outstanding = None

    def record_confirmation(self, vm: str) -> None:
        """End the probe of a member that a helper confirmed alive."""
        outstanding = self._outstanding
        if outstanding is not None and outstanding.target.vm == vm:
            self._outstanding = None

    def tick(self, now: float, table: MemberTable) -> list[ProbeStep]:
        """Return the steps to take now; must be called every TICK_SECONDS."""
        seconds_since_tick = self._seconds_since_tick(now)
        self._last_tick_at = now
        if seconds_since_tick > MAX_TICK_GAP_SECONDS:
            self._outstanding = None
            self._next_probe_at = now + TICK_SECONDS
            return [ProcessDelayed(seconds_since_tick)]
        steps = self._check_outstanding(now, table)
        if self._next_probe_at is None or now >= self._next_probe_at:
            steps.extend(self._start_probe(now, table))
        return steps

    def _seconds_since_tick(self, now: float) -> float:
        if self._last_tick_at is None:
            return 0.0
        return now - self._last_tick_at

    def _check_outstanding(self, now: float, table: MemberTable) -> list[ProbeStep]:
        outstanding = self._outstanding
        if outstanding is None:
            return []
        waited = now - outstanding.sent_at
        target = outstanding.target
        if waited >= PROBE_PERIOD_SECONDS - TICK_SECONDS / 2:
            self._outstanding = None
            return [Suspect(target.vm, target.incarnation)]
        if waited >= DIRECT_TIMEOUT_SECONDS and not outstanding.helpers_requested:
            outstanding.helpers_requested = True
            return [RequestHelperProbes(target, self._helpers(target, table))]
        return []

    def _helpers(
        self, target: MemberRecord, table: MemberTable
    ) -> tuple[MemberRecord, ...]:
        alive = [r for r in table.others(MemberState.ALIVE) if r.vm != target.vm]
        return tuple(self._rng.sample(alive, min(HELPERS_PER_PROBE, len(alive))))

    def _start_probe(self, now: float, table: MemberTable) -> list[ProbeStep]:
        target = self._next_target(table)
        self._next_probe_at = now + PROBE_PERIOD_SECONDS - TICK_SECONDS / 2
        if target is None:
            return []
        self._outstanding = _Outstanding(target, now)
        return [SendProbe(target)]

    def _next_target(self, table: MemberTable) -> MemberRecord | None:
        self._round += 1
        if self._round % OUTSIDE_PROBE_INTERVAL == 0:
            group = {record.vm for record in probe_group(table)}
            outside = [r for r in table.others(*PROBED_STATES) if r.vm not in group]
            if outside:
                return self._rng.choice(outside)
        while self._remaining_targets:
            record = table.by_vm.get(self._remaining_targets.pop())
            if record is not None and record.state in PROBED_STATES:
                return record
        self._remaining_targets = [record.vm for record in probe_group(table)]
        self._rng.shuffle(self._remaining_targets)
        return (
            table.by_vm[self._remaining_targets.pop()]
            if self._remaining_targets
            else None
        )


def probe_group(table: MemberTable) -> Sequence[MemberRecord]:
    """Return the members to probe in turn.

    These are the other members of the failure domain, or of the fleet if the failure
    domain is small.
    """
    others = table.others(*PROBED_STATES)
    own_domain = table.own.details.failure_domain
    same_domain = [
        record for record in others if record.details.failure_domain == own_domain
    ]
    return same_domain if len(same_domain) >= MIN_GROUP_SIZE else others
