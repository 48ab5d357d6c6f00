"""Decisions on how many slots a node borrows, lends and returns, and from whom."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

DEMAND_HALF_LIFE_SECONDS = 1.5
BORROW_SPREAD = 0.5
RESERVE_SPREAD = 1.0
IDLE_REPORT_MAX_AGE_SECONDS = 2.5
MAX_SLOTS_PER_REQUEST = 12
MAX_LENDERS_PER_REQUEST = 3


@dataclass(slots=True)
class Demand:
    """Recent concurrent demand for slots of one service, as a decaying mean."""

    mean: float = 0.0
    updated_at: float = 0.0

    def observe(self, concurrent_requests: int, now: float) -> None:
        """Update the mean with the number of requests that run or wait now."""
        decay = 0.5 ** (max(0.0, now - self.updated_at) / DEMAND_HALF_LIFE_SECONDS)
        self.mean = decay * self.mean + (1 - decay) * concurrent_requests
        self.updated_at = now

    def target(self, spread: float) -> int:
        """Return the mean plus ``spread`` times its square root, rounded up.

        The square root of the mean stands for the spread of the demand.
        """
        return math.ceil(self.mean + spread * math.sqrt(self.mean))


def slots_to_borrow(demand: Demand, held: int, waiting: int) -> int:
    """Return how many slots to borrow; 0 while the held slots cover the demand."""
    if not waiting or demand.mean < held:
        return 0
    return max(1, min(demand.target(BORROW_SPREAD) - held, MAX_SLOTS_PER_REQUEST))


def slots_to_spare(demand: Demand, used: int, free: int) -> int:
    """Return how many free slots exceed what recent demand needs."""
    needed = max(0, demand.target(RESERVE_SPREAD) - used)
    return max(0, free - needed)


def slots_to_return(demand: Demand, held: int, borrowed_free: int) -> int:
    """Return how many borrowed slots to give back because demand has dropped."""
    surplus = held - demand.target(BORROW_SPREAD)
    return max(0, min(surplus, borrowed_free))


@dataclass(frozen=True, slots=True)
class _IdleReport:
    idle: int
    received_at: float


@dataclass(slots=True)
class IdleRegistry:
    """Recent reports from peers about their idle slots, by service and ordinal."""

    _reports: dict[str, dict[int, _IdleReport]] = field(default_factory=dict)

    def record(self, ordinal: int, service: str, idle: int, now: float) -> None:
        """Record how many idle slots of a service a peer reported."""
        reports = self._reports.setdefault(service, {})
        reports.pop(ordinal, None)
        if idle > 0:
            reports[ordinal] = _IdleReport(idle, now)

    def choose_lenders(
        self, service: str, count: int, distances: dict[int, int], now: float
    ) -> list[tuple[int, int]]:
        """Return lenders and how many slots to request from each.

        Lenders are ranked by distance, then by their number of idle slots.
        """
        reports = self._reports.get(service, {})
        for ordinal in [
            o
            for o, r in reports.items()
            if now - r.received_at > IDLE_REPORT_MAX_AGE_SECONDS
        ]:
            del reports[ordinal]
        ranked = sorted(
            (distances[ordinal], -report.idle, ordinal)
            for ordinal, report in reports.items()
            if ordinal in distances
        )
        return _split_among_lenders(count, ranked)


def peers_to_notify(
    ordinals: Iterable[int], own_ordinal: int, turn: int, count: int
) -> list[int]:
    """Return up to ``count`` peers to report idle slots to in this turn.

    Successive turns go round all peers.
    """
    others = sorted(ordinal for ordinal in ordinals if ordinal != own_ordinal)
    if not others:
        return []
    start = (turn * count + own_ordinal) % len(others)
    chosen = [others[(start + step) % len(others)] for step in range(count)]
    return list(dict.fromkeys(chosen))


def _split_among_lenders(
    count: int, ranked: list[tuple[int, int, int]]
) -> list[tuple[int, int]]:
    requests = []
    for _, negative_idle, ordinal in ranked[:MAX_LENDERS_PER_REQUEST]:
        if count <= 0:
            break
        part = min(count, -negative_idle)
        requests.append((ordinal, part))
        count -= part
    return requests
