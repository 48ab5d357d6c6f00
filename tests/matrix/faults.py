"""The columns of the fault matrix: how each fault begins and ends."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tests.matrix.trial import TIMEOUT_SECONDS, Trial

VICTIM = 0
STORE_DELAY_SECONDS = 0.4
FROZEN_SECONDS = TIMEOUT_SECONDS + 0.5

Act = Callable[[Trial], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Fault:
    """A column; a ``from_start`` fault begins before the operation.

    ``hits_victim`` marks a fault that stops or silences the node VICTIM for a while.
    """

    name: str
    begin: Act
    end: Act
    from_start: bool = False
    hits_victim: bool = False


async def _nothing(_: Trial) -> None:
    """Do nothing."""


async def _stop_measurements(trial: Trial) -> None:
    await trial.set_servers(load_reported=False)


async def _restore_servers(trial: Trial) -> None:
    await trial.set_servers(
        load_reported=True,
        cross_answers=False,
        break_off_after_bytes=-1,
        work_seconds=0.0,
        break_tag='',
    )


async def _kill(trial: Trial) -> None:
    trial.signal(VICTIM, signal.SIGKILL)


async def _restart(trial: Trial) -> None:
    await trial.restart(VICTIM)


async def _freeze(trial: Trial) -> None:
    trial.signal(VICTIM, signal.SIGSTOP)


async def _resume(trial: Trial) -> None:
    await asyncio.sleep(FROZEN_SECONDS)
    trial.signal(VICTIM, signal.SIGCONT)


async def _store_down(trial: Trial) -> None:
    await trial.set_platform(down=True)


async def _store_slow(trial: Trial) -> None:
    await trial.set_platform(delay_seconds=STORE_DELAY_SECONDS)


async def _lose_answers(trial: Trial) -> None:
    await trial.set_platform(lose_answers=2)


async def _heal_store(trial: Trial) -> None:
    await trial.set_platform(down=False, delay_seconds=0.0, lose_answers=0)


async def _two_operators(trial: Trial) -> None:
    """Let two operators change the same server at once; at most one may succeed."""
    server = pay_server(trial)
    tag = trial.new_tag()
    base = await trial.version(1)
    ends = await asyncio.gather(
        trial.drain(1, server, True, f'{tag}-a', base),
        trial.drain(2, server, True, f'{tag}-b', base),
    )
    if ends.count('accepted') > 1:
        trial.violations.append(f'both operators succeeded on one version: {ends}')


async def _end_two_operators(trial: Trial) -> None:
    await trial.settle()
    await trial.drain(1, pay_server(trial), False, trial.new_tag())


async def _poison_request(trial: Trial) -> None:
    """Repeatedly send a poison request to several nodes."""
    tag = trial.new_tag()
    service = trial.workload.browse
    await trial.set_servers(service, break_tag=tag)
    for node in (1, 2, 1, 2, 1, 2):
        await trial.send(node, service, tag, method='POST')
    runs = await trial.executions(f'POST /work {tag}')
    if runs > MAX_POISON_RUNS:
        trial.violations.append(f'a poison request ran {runs} times')


async def _outdated_vm_list(trial: Trial) -> None:
    """List a VM that does not exist and omit one that does."""
    vms = [
        {'id': node.vm, 'failure_domain': node.failure_domain, 'state': 'running'}
        for node in trial.nodes[1:]
    ]
    vms.append({**vms[0], 'id': 'vm-gone'})
    await trial.control_platform({'vms': vms})


async def _restore_vm_list(trial: Trial) -> None:
    vms = [
        {'id': node.vm, 'failure_domain': node.failure_domain, 'state': 'running'}
        for node in trial.nodes
    ]
    await trial.control_platform({'vms': vms})


async def _bad_responses(trial: Trial) -> None:
    await trial.set_servers(cross_answers=True, break_off_after_bytes=70_000)


async def _cut_region(trial: Trial) -> None:
    """Silence the victim and the browse server of its region."""
    await _freeze(trial)
    await trial.set_servers(victim_region_server(trial), refuse=True)


async def _reconnect_region(trial: Trial) -> None:
    await _resume(trial)
    await trial.set_servers(victim_region_server(trial), refuse=False)


def combine(first: 'Fault', second: 'Fault') -> 'Fault':
    """Return a column that combines two faults."""

    async def begin(trial: Trial) -> None:
        await first.begin(trial)
        await second.begin(trial)

    async def end(trial: Trial) -> None:
        await second.end(trial)
        await first.end(trial)

    return Fault(
        name=f'{first.name} + {second.name}',
        begin=begin,
        end=end,
        from_start=first.from_start and second.from_start,
        hits_victim=first.hits_victim or second.hits_victim,
    )


def pay_server(trial: Trial) -> str:
    """Return the server of the pay service that operators change."""
    return _servers(trial, trial.workload.pay)[-1]['name']


def victim_region_server(trial: Trial) -> str:
    """Return the browse server of the victim's region."""
    return _servers(trial, trial.workload.browse)[0]['name']


def _servers(trial: Trial, service: str) -> list[dict]:
    services = trial.fleet.policy['services']
    return next(s['servers'] for s in services if s['name'] == service)


MAX_POISON_RUNS = 2
KILLED = Fault('process killed', _kill, _restart, hits_victim=True)
FROZEN = Fault('frozen and woken', _freeze, _resume, hits_victim=True)
DOWN = Fault('store down', _store_down, _heal_store)
SLOW = Fault('store slow', _store_slow, _heal_store, from_start=True)
LOST = Fault('store answer lost', _lose_answers, _heal_store, from_start=True)
FAULTS = (
    Fault('none', _nothing, _nothing),
    Fault('measurements stop', _stop_measurements, _restore_servers, from_start=True),
    KILLED,
    FROZEN,
    Fault('region cut', _cut_region, _reconnect_region, hits_victim=True),
    DOWN,
    SLOW,
    LOST,
    Fault('two operators', _two_operators, _end_two_operators),
    Fault('breaking request', _poison_request, _restore_servers),
    Fault('VM list late', _outdated_vm_list, _restore_vm_list, from_start=True),
    Fault('answers late, short, crossed', _bad_responses, _restore_servers, True),
    combine(KILLED, DOWN),
    combine(FROZEN, SLOW),
    combine(FROZEN, LOST),
)
