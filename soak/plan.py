"""Plans which faults are injected and when, as a pure function of the seed."""

import random
from dataclasses import dataclass

PLANNED = ('stop', 'reload', 'drain', 'evacuate', 'configure')
UNPLANNED = (
    'kill',
    'pause',
    'store_down',
    'store_silent',
    'store_reset',
    'store_refuses',
    'store_slow',
    'store_loses_answers',
    'store_forgets',
    'store_link_up_silent',
    'store_link_down_silent',
    'store_link_refused',
    'server_crash',
    'server_loses_answers',
    'server_spoils_answers',
    'server_link_silent',
    'server_link_reset',
    'server_link_slow',
)
MIN_GAP_SECONDS = 0.1
MAX_GAP_SECONDS = 1.2
MIN_LENGTH_SECONDS = 0.3
MAX_LENGTH_SECONDS = 4.0
CALM_SECONDS = 4.0  # without faults at the end; 1 s over the stability window
PLANNED_SHARE = 0.5  # share of the run, from its start, with planned events only
SERIES_SHARE = 0.2  # share of the faults injected three times in quick succession
SERIES_GAP_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault to inject.

    ``at`` is in seconds from the start of the run and ``seconds`` is the duration.
    ``pick``, from 0 to 1, selects the component that is affected.
    """

    kind: str
    at: float
    seconds: float
    pick: float


def make_plan(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run of the given length in seconds, ordered by time."""
    choice = random.Random(seed)
    faults: list[Fault] = []
    planned_until = PLANNED_SHARE * seconds
    at = choice.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
    while at < seconds - CALM_SECONDS:
        kinds = PLANNED if at < planned_until else PLANNED + UNPLANNED
        kind = choice.choice(kinds)
        length = choice.uniform(MIN_LENGTH_SECONDS, MAX_LENGTH_SECONDS)
        length = min(length, seconds - CALM_SECONDS - at)
        times = 3 if choice.random() < SERIES_SHARE else 1
        for index in range(times):
            moment = at + index * SERIES_GAP_SECONDS
            faults.append(Fault(kind, moment, length, choice.random()))
        at += choice.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
    return sorted(faults, key=lambda fault: fault.at)
