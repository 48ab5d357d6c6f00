"""Whom to probe and when to suspect: O(1) probes a period, whatever the fleet's size.

Each node goes round the members of its group in a shuffled order; every few periods
it probes one member outside instead, so that a small failure domain is watched too.
A node that finds itself late by its own clock draws no conclusion from that round.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from daisylift.decisions.membership import MemberRecord, MemberState, MemberTable

PROBE_PERIOD_SECONDS = 1.0
TICK_SECONDS = 0.25
DIRECT_SECONDS = 0.4
LATE_SECONDS = 2.5 * TICK_SECONDS
HELPERS = 3
OUTSIDE_EVERY = 5
MIN_GROUP = 8
PROBED_STATES = MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Probe the member."""

    target: MemberRecord


@dataclass(frozen=True, slots=True)
class AskHelpers:
    """Let the helpers probe the member, as it did not answer us."""

    target: MemberRecord
    helpers: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class Suspect:
    """The member answered neither us nor the helpers."""

    vm: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Late:
    """The process itself was late; what it asked before says nothing."""

    seconds: float


ProbeStep = SendProbe | AskHelpers | Suspect | Late


@dataclass(slots=True)
class _Outstanding:
    target: MemberRecord
    sent_at: float
    helpers_asked: bool = False


class Prober:
    """Decides each step of one node's probing; ``choice`` brings the chance."""

    def __init__(self, choice: random.Random) -> None:
        self._choice = choice
        self._ring: list[str] = []
        self._round = 0
        self._outstanding: _Outstanding | None = None
        self._next_probe_at: float | None = None
        self._last_tick_at: float | None = None

    def heard(self, vm: str, incarnation: str) -> None:
        """Note any accepted message of a member; it ends the probe of it."""
        waiting = self._outstanding
        if waiting is None or waiting.target.vm != vm:
            return
        if incarnation >= waiting.target.incarnation:
            self._outstanding = None

    def vouched(self, vm: str) -> None:
        """Note that a helper got an answer from the member."""
        waiting = self._outstanding
        if waiting is not None and waiting.target.vm == vm:
            self._outstanding = None

    def tick(self, now: float, table: MemberTable) -> list[ProbeStep]:
        """Return what to do now; call it every TICK_SECONDS."""
        late = self._lateness(now)
        self._last_tick_at = now
        if late > LATE_SECONDS:
            self._outstanding = None
            self._next_probe_at = now + TICK_SECONDS
            return [Late(late)]
        steps = self._judge(now, table)
        if self._next_probe_at is None or now >= self._next_probe_at:
            steps.extend(self._probe(now, table))
        return steps

    def _lateness(self, now: float) -> float:
        if self._last_tick_at is None:
            return 0.0
        return now - self._last_tick_at

    def _judge(self, now: float, table: MemberTable) -> list[ProbeStep]:
        waiting = self._outstanding
        if waiting is None:
            return []
        waited = now - waiting.sent_at
        target = waiting.target
        if waited >= PROBE_PERIOD_SECONDS - TICK_SECONDS / 2:
            self._outstanding = None
            return [Suspect(target.vm, target.incarnation)]
        if waited >= DIRECT_SECONDS and not waiting.helpers_asked:
            waiting.helpers_asked = True
            return [AskHelpers(target, self._helpers(target, table))]
        return []

    def _helpers(
        self, target: MemberRecord, table: MemberTable
    ) -> tuple[MemberRecord, ...]:
        alive = [r for r in table.others(MemberState.ALIVE) if r.vm != target.vm]
        return tuple(self._choice.sample(alive, min(HELPERS, len(alive))))

    def _probe(self, now: float, table: MemberTable) -> list[ProbeStep]:
        target = self._next_target(table)
        self._next_probe_at = now + PROBE_PERIOD_SECONDS - TICK_SECONDS / 2
        if target is None:
            return []
        self._outstanding = _Outstanding(target, now)
        return [SendProbe(target)]

    def _next_target(self, table: MemberTable) -> MemberRecord | None:
        self._round += 1
        if self._round % OUTSIDE_EVERY == 0:
            group = {record.vm for record in probe_group(table)}
            outside = [r for r in table.others(*PROBED_STATES) if r.vm not in group]
            if outside:
                return self._choice.choice(outside)
        while self._ring:
            record = table.by_vm.get(self._ring.pop())
            if record is not None and record.state in PROBED_STATES:
                return record
        self._ring = [record.vm for record in probe_group(table)]
        self._choice.shuffle(self._ring)
        return table.by_vm[self._ring.pop()] if self._ring else None


def probe_group(table: MemberTable) -> Sequence[MemberRecord]:
    """Return whom this node goes round: its failure domain, or all if that is small."""
    others = table.others(*PROBED_STATES)
    own = table.own.details.failure_domain
    near = [record for record in others if record.details.failure_domain == own]
    return near if len(near) >= MIN_GROUP else others
