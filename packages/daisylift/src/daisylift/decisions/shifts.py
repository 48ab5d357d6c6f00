"""Traffic shifts: objects that move a service's traffic in capped stages.

The share moved at stage k is a pure function of the shift. A stage goes forward by
a conditional update on the version it was decided on, so one of several deciding
nodes wins, and only when a whole spacing has passed since every earlier move of the
service, by the deciding node's own monotonic clock.
"""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from daisylift.decisions.steering import POINTS
from daisylift.models import Service

SLOW_START_DIVISORS = (4, 2)
PROPAGATION_SECONDS = 3.0
MAX_LOAD_AGE_SECONDS = 5.0
SHIFT_HEADROOM = 0.8
EVACUATION_HEADROOM = 1.0


class ShiftKind(enum.StrEnum):
    """What a shift is for; an evacuation has a cap of its own."""

    SHIFT = 'shift'
    DRAIN = 'drain'
    EVACUATION = 'evacuation'


class ShiftState(enum.StrEnum):
    """Where a shift is in its life."""

    FORWARD = 'forward'
    REVERSE = 'reverse'
    STOPPED = 'stopped'
    DONE = 'done'
    REVERSED = 'reversed'


ACTIVE_STATES = frozenset({ShiftState.FORWARD, ShiftState.REVERSE})


@dataclass(frozen=True, slots=True)
class Shift:
    """A shift and the stage it stands at.

    ``target`` and ``cap`` are in points of the interval; ``cap`` is the most that one
    stage moves.
    """

    name: str
    service: str
    sources: tuple[str, ...]
    destinations: tuple[str, ...]
    target: int
    cap: int
    kind: ShiftKind = ShiftKind.SHIFT
    state: ShiftState = ShiftState.FORWARD
    stage: int = 0

    @property
    def is_active(self) -> bool:
        """Say whether more stages are to come."""
        return self.state in ACTIVE_STATES

    @property
    def next_stage(self) -> int:
        """Return the stage that comes next."""
        return self.stage - 1 if self.state is ShiftState.REVERSE else self.stage + 1


def points_of(share: float) -> int:
    """Return a share of one as points, rounded down."""
    return int(share * POINTS)


def points_at_stage(shift: Shift, stage: int) -> int:
    """Return how many points are moved, in all, once the stage is reached.

    The first stages are small, since the caches of the receiving side are cold; an
    evacuation can't wait for them.
    """
    first = () if shift.kind is ShiftKind.EVACUATION else SLOW_START_DIVISORS
    small = sum(shift.cap // divisor for divisor in first[:stage])
    return min(shift.target, small + shift.cap * max(0, stage - len(first)))


def stage_points(shift: Shift) -> int:
    """Return how many points the next stage moves."""
    here = points_at_stage(shift, shift.stage)
    return abs(points_at_stage(shift, shift.next_stage) - here)


def spacing_seconds(service: Service) -> float:
    """Return the time that must lie between two stages of the service's shifts.

    A period, plus the time that callers keep answers, plus the time in which a
    version reaches all reachable nodes: so any period holds at most one stage.
    """
    return (
        service.shift_period_seconds + service.answer_ttl_seconds + PROPAGATION_SECONDS
    )


@dataclass(frozen=True, slots=True)
class SiteLoad:
    """How busy the servers of a service are at a site, and how old the figure is."""

    used_slots: int
    slots: int
    age_seconds: float

    @property
    def is_fresh(self) -> bool:
        """Say whether the figure may be relied on."""
        return 0.0 <= self.age_seconds <= MAX_LOAD_AGE_SECONDS


class LoadFigures(Protocol):
    """Where load figures come from."""

    def load_of(self, service: str, site: str) -> SiteLoad | None:
        """Return the load of a service at a site, or None when it is not known."""


class HoldReason(enum.StrEnum):
    """Why a shift does not go forward now."""

    NOT_ACTIVE = 'not-active'
    PERIOD = 'period'
    EVACUATION_FIRST = 'evacuation-first'
    NOT_CONFIRMED = 'not-confirmed'
    STALE_LOAD = 'stale-load'
    NO_HEADROOM = 'no-headroom'


@dataclass(frozen=True, slots=True)
class Advance:
    """The shift may go to the stage."""

    shift: str
    stage: int


@dataclass(frozen=True, slots=True)
class Hold:
    """The shift has to wait."""

    shift: str
    reason: HoldReason


@dataclass(slots=True)
class SeenMove:
    """A stage that a node saw come into force, and when all nodes had confirmed it."""

    version: int
    points: int
    seen_at: float
    confirmed_at: float | None = None


@dataclass(slots=True)
class MoveLedger:
    """The moves of services' traffic as seen by one node, by its monotonic clock.

    A stage counts as recent until a whole spacing has passed since every live node
    was known to steer by it; for an evacuation, which can't wait for nodes that are
    cut off, since it was seen. A node can't know what moved before it learned of a
    service, so it counts that as a move of everything.
    """

    _moves_by_service: dict[str, list[SeenMove]] = field(default_factory=dict)

    def adopt(self, services: Iterable[str], version: int, now: float) -> None:
        """Learn of services at a version whose past is not known."""
        for service in services:
            move = SeenMove(version=version, points=POINTS, seen_at=now)
            self._moves_by_service[service] = [move]

    def knows(self, service: str) -> bool:
        """Say whether the service was learned of."""
        return service in self._moves_by_service

    def note(self, service: str, points: int, version: int, now: float) -> None:
        """Note that a stage was seen to move points of the service."""
        moves = self._moves_by_service.setdefault(service, [])
        moves.append(SeenMove(version=version, points=points, seen_at=now))

    def confirm(self, version: int, now: float) -> None:
        """Note that every live node steers by the version or a later one."""
        for moves in self._moves_by_service.values():
            for move in moves:
                if move.version <= version and move.confirmed_at is None:
                    move.confirmed_at = now

    def is_confirmed(self, service: str) -> bool:
        """Say whether every live node steers by all seen stages of the service."""
        moves = self._moves_by_service.get(service, ())
        return all(move.confirmed_at is not None for move in moves)

    def recent_points(
        self, service: str, spacing: float, now: float, *, evacuates: bool = False
    ) -> int:
        """Return the points that count as recently moved, at most all."""
        moves = self._moves_by_service.get(service)
        if moves is None:
            return POINTS
        moves[:] = [move for move in moves if _counts(move, spacing, now)]
        since_seen = [move for move in moves if now - move.seen_at < spacing]
        return min(POINTS, sum(m.points for m in (since_seen if evacuates else moves)))


def decide_advance(
    shift: Shift,
    others: Iterable[Shift],
    service: Service,
    ledger: MoveLedger,
    loads: LoadFigures,
    slots_by_site: Mapping[str, int],
    now: float,
) -> Advance | Hold:
    """Decide whether the shift may go to its next stage now.

    The cap holds over the sum of all shifts of the service: ``others`` are the
    shifts of the same service, and the ledger counts their moves too.
    """
    if not shift.is_active:
        return Hold(shift.name, HoldReason.NOT_ACTIVE)
    evacuates = shift.kind is ShiftKind.EVACUATION
    if not evacuates and any(
        other.kind is ShiftKind.EVACUATION and other.is_active for other in others
    ):
        return Hold(shift.name, HoldReason.EVACUATION_FIRST)
    if not evacuates and not ledger.is_confirmed(shift.service):
        return Hold(shift.name, HoldReason.NOT_CONFIRMED)
    points = stage_points(shift)
    spacing = spacing_seconds(service)
    recent = ledger.recent_points(shift.service, spacing, now, evacuates=evacuates)
    if recent + points > shift.cap:
        return Hold(shift.name, HoldReason.PERIOD)
    reason = _load_hold(shift, service.name, points, loads, slots_by_site)
    if reason is not None:
        return Hold(shift.name, reason)
    return Advance(shift.name, shift.next_stage)


def _counts(move: SeenMove, spacing: float, now: float) -> bool:
    return move.confirmed_at is None or now - move.confirmed_at < spacing


def _load_hold(
    shift: Shift,
    service: str,
    points: int,
    loads: LoadFigures,
    slots_by_site: Mapping[str, int],
) -> HoldReason | None:
    """Judge the receiving side by the most that the stage could bring it."""
    forward = shift.state is ShiftState.FORWARD
    receivers = shift.destinations if forward else shift.sources
    arriving = _service_slots(service, loads, slots_by_site) * points / POINTS
    total = sum(slots_by_site.get(site, 0) for site in receivers)
    limit = SHIFT_HEADROOM
    if shift.kind is ShiftKind.EVACUATION:
        limit = EVACUATION_HEADROOM
    for site in receivers:
        load = loads.load_of(service, site)
        if load is None or not load.is_fresh:
            return HoldReason.STALE_LOAD
        slots = min(load.slots, slots_by_site.get(site, 0))
        share = slots_by_site.get(site, 0) / total if total else 1.0
        if load.used_slots + arriving * share > limit * slots:
            return HoldReason.NO_HEADROOM
    return None


def _service_slots(
    service: str, loads: LoadFigures, slots_by_site: Mapping[str, int]
) -> int:
    """Return the slots that the whole service uses; silent sites count as full."""
    used = 0
    for site, slots in slots_by_site.items():
        load = loads.load_of(service, site)
        fresh = load is not None and load.is_fresh
        used += load.used_slots if fresh else slots
    return used
