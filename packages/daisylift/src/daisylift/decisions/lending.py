"""How many slots a node wants, how many it can spare, and whom it asks for some."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

DEMAND_HALF_LIFE_SECONDS = 1.5
ASK_SPREAD = 0.5
KEEP_SPREAD = 1.0
IDLE_WORD_SECONDS = 2.5
MAX_SLOTS_PER_ASK = 12
MAX_LENDERS_PER_ASK = 3


@dataclass(slots=True)
class Demand:
    """Slots of one service that were wanted at once lately, a mean that forgets."""

    mean: float = 0.0
    at: float = 0.0

    def observe(self, wanted: int, now: float) -> None:
        """Take in how many requests run or wait now."""
        kept = 0.5 ** (max(0.0, now - self.at) / DEMAND_HALF_LIFE_SECONDS)
        self.mean = kept * self.mean + (1 - kept) * wanted
        self.at = now

    def target(self, spread: float) -> int:
        """Return how many slots serve the demand and so much of its spread."""
        return math.ceil(self.mean + spread * math.sqrt(self.mean))


def slots_to_ask(demand: Demand, held: int, waiting: int) -> int:
    """Return how many slots to borrow; 0 unless more were wanted lately than held."""
    if not waiting or demand.mean < held:
        return 0
    return max(1, min(demand.target(ASK_SPREAD) - held, MAX_SLOTS_PER_ASK))


def slots_to_spare(demand: Demand, used: int, free: int) -> int:
    """Return how many free slots are not needed for the demand lately seen."""
    needed = max(0, demand.target(KEEP_SPREAD) - used)
    return max(0, free - needed)


def slots_to_return(demand: Demand, held: int, borrowed_free: int) -> int:
    """Return how many borrowed slots to give back, as the demand has gone."""
    surplus = held - demand.target(ASK_SPREAD)
    return max(0, min(surplus, borrowed_free))


@dataclass(frozen=True, slots=True)
class _IdleWord:
    idle: int
    at: float


@dataclass(slots=True)
class IdleBook:
    """What peers lately told of idle slots, by service and ordinal."""

    _words: dict[str, dict[int, _IdleWord]] = field(default_factory=dict)

    def note(self, ordinal: int, service: str, idle: int, now: float) -> None:
        """Take in a peer's word."""
        words = self._words.setdefault(service, {})
        words.pop(ordinal, None)
        if idle > 0:
            words[ordinal] = _IdleWord(idle, now)

    def choose_lenders(
        self, service: str, count: int, distances: dict[int, int], now: float
    ) -> list[tuple[int, int]]:
        """Return whom to ask for how many: the nearest first, then the most idle."""
        words = self._words.get(service, {})
        for ordinal in [o for o, w in words.items() if now - w.at > IDLE_WORD_SECONDS]:
            del words[ordinal]
        ranked = sorted(
            (distances[ordinal], -word.idle, ordinal)
            for ordinal, word in words.items()
            if ordinal in distances
        )
        return _split(count, ranked)


def peers_to_tell(
    ordinals: Iterable[int], own: int, turn: int, count: int
) -> list[int]:
    """Return the few peers that hear of idle slots this turn, all in their time."""
    others = sorted(ordinal for ordinal in ordinals if ordinal != own)
    if not others:
        return []
    start = (turn * count + own) % len(others)
    chosen = [others[(start + step) % len(others)] for step in range(count)]
    return list(dict.fromkeys(chosen))


def _split(count: int, ranked: list[tuple[int, int, int]]) -> list[tuple[int, int]]:
    asks = []
    for _, negative_idle, ordinal in ranked[:MAX_LENDERS_PER_ASK]:
        if count <= 0:
            break
        part = min(count, -negative_idle)
        asks.append((ordinal, part))
        count -= part
    return asks
