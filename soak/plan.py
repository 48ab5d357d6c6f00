"""Plans which faults are injected and when, as a pure function of the seed."""

import random
from dataclasses import dataclass

PLANNED_KINDS = ('stop', 'reload', 'drain', 'evacuate', 'configure')
UNPLANNED_KINDS = (
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
LIMIT_KINDS = ('limit_keep', 'limit_raise', 'limit_lower')
STATEMENT_KINDS = ('says_leaving', 'says_paused')
MAX_STATEMENT_SECONDS = 3.0  # of a pause
MAX_STATEMENT_GAP_SECONDS = 4.0
START_KINDS = ('stop_overlapping', 'stop_signals')
MAX_STARTS = 2
WATCHERS_KINDS = ('watchers_kill', 'watchers_pause')
WATCHED_CHANGE_KINDS = ('configure', 'drain', 'evacuate')
WATCHERS_LEAD_SECONDS = 0.2  # from the loss of the VMs that watch to the change
MIN_WATCHERS_VMS = 7  # fewer VMs would all be lost at once
MAX_WATCHERS_GAP_SECONDS = 7.0
ADD_VM_KIND = 'add_vm'
RETURN_KIND = 'store_return'
MAX_RETURNS = 2
MAX_AWAY_SECONDS = 2.0
MIN_GAP_SECONDS = 0.1
MAX_GAP_SECONDS = 1.2
MIN_DURATION_SECONDS = 0.3
MAX_DURATION_SECONDS = 4.0
FINAL_CALM_SECONDS = 4.0  # without faults at the end; 1 s over the stability window
PLANNED_SHARE = 0.5  # share of the run, from its start, with planned events only
MAX_LIMIT_GAP_SECONDS = 3.0
MIN_LIMIT_SECONDS = 5.0  # the bound is checked from 3 s after a limit is named
MAX_LIMIT_SECONDS = 12.0
SERIES_SHARE = 0.2  # share of the faults injected three times in quick succession
SERIES_GAP_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault to inject.

    ``at`` is the time from the start of the run, in seconds. ``target_fraction``, from
    0 to 1, selects the component that is affected.
    """

    kind: str
    at: float
    duration_seconds: float
    target_fraction: float


def make_plan(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run of the given duration in seconds, ordered by time."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    planned_until = PLANNED_SHARE * seconds
    at = rng.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
    while at < seconds - FINAL_CALM_SECONDS:
        kinds = PLANNED_KINDS if at < planned_until else PLANNED_KINDS + UNPLANNED_KINDS
        kind = rng.choice(kinds)
        duration = rng.uniform(MIN_DURATION_SECONDS, MAX_DURATION_SECONDS)
        duration = min(duration, seconds - FINAL_CALM_SECONDS - at)
        times = 3 if rng.random() < SERIES_SHARE else 1
        for index in range(times):
            starts_at = at + index * SERIES_GAP_SECONDS
            faults.append(Fault(kind, starts_at, duration, rng.random()))
        at += rng.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
    return sorted(faults, key=lambda fault: fault.at)


def make_limit_plan(seed: int, seconds: float) -> list[Fault]:
    """Return the limits that servers name in a run, and one VM that is added.

    They are drawn apart from the other faults, which so stay the same for a seed.
    """
    rng = random.Random(f'limits/{seed}')
    end = seconds - FINAL_CALM_SECONDS
    faults = [Fault(ADD_VM_KIND, rng.uniform(0.0, 0.5 * end), 0.0, rng.random())]
    at = rng.uniform(0.0, MAX_LIMIT_GAP_SECONDS)
    while at < end - MIN_LIMIT_SECONDS:
        duration = min(rng.uniform(MIN_LIMIT_SECONDS, MAX_LIMIT_SECONDS), end - at)
        faults.append(Fault(rng.choice(LIMIT_KINDS), at, duration, rng.random()))
        at += rng.uniform(0.0, MAX_LIMIT_GAP_SECONDS)
    return sorted(faults, key=lambda fault: fault.at)


def make_statement_plan(seed: int, seconds: float) -> list[Fault]:
    """Return what servers say in their answers: that they leave, or want nothing.

    They are drawn apart from the other faults, which so stay the same for a seed.
    """
    rng = random.Random(f'statements/{seed}')
    end = seconds - FINAL_CALM_SECONDS - MAX_STATEMENT_SECONDS
    faults = []
    at = rng.uniform(0.0, MAX_STATEMENT_GAP_SECONDS)
    while at < end:
        duration = rng.uniform(MIN_DURATION_SECONDS, MAX_STATEMENT_SECONDS)
        faults.append(Fault(rng.choice(STATEMENT_KINDS), at, duration, rng.random()))
        at += rng.uniform(0.0, MAX_STATEMENT_GAP_SECONDS)
    return faults


def make_start_plan(seed: int, seconds: float) -> list[Fault]:
    """Return restarts whose successor meets held ports, or signals in its start.

    They are drawn apart from the other faults, which so stay the same for a seed.
    """
    rng = random.Random(f'starts/{seed}')
    end = seconds - FINAL_CALM_SECONDS
    return [
        Fault(rng.choice(START_KINDS), rng.uniform(0.0, 0.6 * end), 0.0, rng.random())
        for _ in range(rng.randint(1, MAX_STARTS))
    ]


def make_return_plan(seed: int, seconds: float) -> list[Fault]:
    """Return the returns of the store from an older copy, each with a change after it.

    They are drawn apart from the other faults, which so stay the same for a seed.
    """
    rng = random.Random(f'returns/{seed}')
    latest = seconds - 2.0 * FINAL_CALM_SECONDS - MAX_AWAY_SECONDS
    faults = []
    for _ in range(rng.randint(0, MAX_RETURNS)):
        at = rng.uniform(min(PLANNED_SHARE * seconds, latest), latest)
        away_seconds = rng.uniform(MIN_DURATION_SECONDS, MAX_AWAY_SECONDS)
        faults.append(Fault(RETURN_KIND, at, away_seconds, rng.random()))
        changed_at = at + away_seconds + rng.uniform(0.0, MAX_GAP_SECONDS)
        faults.append(Fault('configure', changed_at, 0.0, 0.0))
    return faults


def make_watchers_plan(seed: int, seconds: float, vms: int) -> list[Fault]:
    """Return losses of the VMs that watch the store, each just before a change.

    They are drawn apart from the other faults, which so stay the same for a seed, and
    strike in the second half of the run, in fleets of MIN_WATCHERS_VMS or more.
    """
    rng = random.Random(f'watchers/{seed}')
    end = seconds - FINAL_CALM_SECONDS - MAX_DURATION_SECONDS
    faults: list[Fault] = []
    at = PLANNED_SHARE * seconds + rng.uniform(0.0, MAX_GAP_SECONDS)
    while vms >= MIN_WATCHERS_VMS and at < end:
        duration = rng.uniform(MIN_DURATION_SECONDS, MAX_DURATION_SECONDS)
        faults.append(Fault(rng.choice(WATCHERS_KINDS), at, duration, 0.0))
        kind, changed_at = rng.choice(WATCHED_CHANGE_KINDS), at + WATCHERS_LEAD_SECONDS
        faults.append(Fault(kind, changed_at, duration, rng.random()))
        at += rng.uniform(MAX_DURATION_SECONDS, MAX_WATCHERS_GAP_SECONDS)
    return faults
