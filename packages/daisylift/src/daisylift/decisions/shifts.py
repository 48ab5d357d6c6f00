"""Traffic shifts, which move a service's traffic between sites in capped stages.

The share that has been moved at a stage is a pure function of the shift. A stage
advances by an update that is conditional on the version the decision was based on, so
only one of several deciding nodes succeeds. A node decides to advance only when the
full spacing has passed since every earlier move of the service, measured by its own
monotonic clock.
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
SHIFT_HEADROOM = 0.8  # share of a receiving site's slots that a stage may fill
EVACUATION_HEADROOM = 1.0  # same for evacuations


class ShiftKind(enum.StrEnum):
    """Purpose of a shift; evacuations have their own cap."""

    SHIFT = 'shift'
    DRAIN = 'drain'
    EVACUATION = 'evacuation'


class ShiftState(enum.StrEnum):
    """State of a shift."""

    FORWARD = 'forward'
    REVERSE = 'reverse'
    STOPPED = 'stopped'
    DONE = 'done'
    REVERSED = 'reversed'


ACTIVE_STATES = frozenset({ShiftState.FORWARD, ShiftState.REVERSE})


@dataclass(frozen=True, slots=True)
class Shift:
    """A shift and its current stage.

    ``target`` and ``cap`` are in points, of which ``POINTS`` make up the traffic of a
    home site. ``cap`` is the maximum number of points that one stage moves.
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
        """Return whether the shift has further stages to go through."""
        return self.state in ACTIVE_STATES

    @property
    def next_stage(self) -> int:
        """Return the number of the next stage."""
        return self.stage - 1 if self.state is ShiftState.REVERSE else self.stage + 1


def points_of(share: float) -> int:
    """Convert a share from 0 to 1 to points, rounded down."""
    return int(share * POINTS)


def points_at_stage(shift: Shift, stage: int) -> int:
    """Return the total number of points moved when the shift is at the stage.

    The first stages are smaller because caches at the destinations are cold. An
    evacuation can't wait for them to warm up and starts at full size.
    """
    first = () if shift.kind is ShiftKind.EVACUATION else SLOW_START_DIVISORS
    small = sum(shift.cap // divisor for divisor in first[:stage])
    return min(shift.target, small + shift.cap * max(0, stage - len(first)))


def stage_points(shift: Shift) -> int:
    """Return the number of points that the next stage moves."""
    current = points_at_stage(shift, shift.stage)
    return abs(points_at_stage(shift, shift.next_stage) - current)


def spacing_seconds(service: Service) -> float:
    """Return the minimum time between two stages of the service's shifts, in seconds.

    It is the sum of the shift period, the time for which callers may cache lookup
    answers, and the time in which a version reaches all reachable nodes. So at most
    one stage takes effect in any period.
    """
    return (
        service.shift_period_seconds + service.answer_ttl_seconds + PROPAGATION_SECONDS
    )


@dataclass(frozen=True, slots=True)
class SiteLoad:
    """Slot usage of a service at a site, and the age of the figures."""

    used_slots: int
    slots: int
    age_seconds: float

    @property
    def is_fresh(self) -> bool:
        """Return whether the figures are recent enough to be used."""
        return 0.0 <= self.age_seconds <= MAX_LOAD_AGE_SECONDS


class LoadFigures(Protocol):
    """Source of load figures."""

    def load_of(self, service: str, site: str) -> SiteLoad | None:
        """Return the load of a service at a site, or None if unknown."""


class HoldReason(enum.StrEnum):
    """Why a shift does not advance at the moment."""

    NOT_ACTIVE = 'not-active'
    PERIOD = 'period'
    EVACUATION_FIRST = 'evacuation-first'
    NOT_CONFIRMED = 'not-confirmed'
    STALE_LOAD = 'stale-load'
    NO_HEADROOM = 'no-headroom'


@dataclass(frozen=True, slots=True)
class Advance:
    """The shift may advance to the stage."""

    shift: str
    stage: int


@dataclass(frozen=True, slots=True)
class Hold:
    """The shift has to wait."""

    shift: str
    reason: HoldReason


@dataclass(slots=True)
class ObservedMove:
    """A stage that a node saw take effect, and when all live nodes had confirmed it."""

    version: int
    points: int
    seen_at: float
    confirmed_at: float | None = None


@dataclass(slots=True)
class MoveLedger:
    """The moves of traffic that one node has seen, by its monotonic clock.

    A stage counts as recent until the full spacing has passed since every live node
    was known to steer by it. For an evacuation, which can't wait for nodes that are
    cut off, the spacing starts when the stage was seen. A node can't know what moved
    before it first saw a service, so that counts as a move of all points.
    """

    _moves_by_service: dict[str, list[ObservedMove]] = field(default_factory=dict)

    def track(self, services: Iterable[str], version: int, now: float) -> None:
        """Start tracking services at a version; their earlier moves are unknown."""
        for service in services:
            move = ObservedMove(version=version, points=POINTS, seen_at=now)
            self._moves_by_service[service] = [move]

    def tracks(self, service: str) -> bool:
        """Return whether the service is tracked."""
        return service in self._moves_by_service

    def record(self, service: str, points: int, version: int, now: float) -> None:
        """Record that a stage moved points of the service."""
        moves = self._moves_by_service.setdefault(service, [])
        moves.append(ObservedMove(version=version, points=points, seen_at=now))

    def confirm(self, version: int, now: float) -> None:
        """Record that every live node steers by the version or a later one."""
        for moves in self._moves_by_service.values():
            for move in moves:
                if move.version <= version and move.confirmed_at is None:
                    move.confirmed_at = now

    def is_confirmed(self, service: str) -> bool:
        """Return whether every live node steers by all seen stages of the service."""
        moves = self._moves_by_service.get(service, ())
        return all(move.confirmed_at is not None for move in moves)

    def recent_points(
        self, service: str, spacing: float, now: float, *, evacuates: bool = False
    ) -> int:
        """Return how many points count as recently moved, at most ``POINTS``."""
        moves = self._moves_by_service.get(service)
        if moves is None:
            return POINTS
        moves[:] = [move for move in moves if _is_recent(move, spacing, now)]
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
    """Decide whether the shift may advance to its next stage now.

    The cap applies to the sum over all shifts of the service. ``others`` are the other
    shifts of the service; the ledger includes their moves.
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


def _is_recent(move: ObservedMove, spacing: float, now: float) -> bool:
    return move.confirmed_at is None or now - move.confirmed_at < spacing


def _load_hold(
    shift: Shift,
    service: str,
    points: int,
    loads: LoadFigures,
    slots_by_site: Mapping[str, int],
) -> HoldReason | None:
    """Check the receiving sites against the most load that the stage could add."""
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
    """Return the slots used by the service; sites without fresh load count as full."""
    used = 0
    for site, slots in slots_by_site.items():
        load = loads.load_of(service, site)
        fresh = load is not None and load.is_fresh
        used += load.used_slots if fresh else slots
    return used
