"""Strikes the fleet with the faults of a plan."""

import asyncio
import signal
from collections.abc import Sequence
from typing import TypeVar

from soak.fleet import DOMAINS, Fleet
from soak.plan import Fault
from soak.proxy import Link
from tests.fakes.platform_server import PlatformServer

SLOW_STORE_SECONDS = 0.3
SLOW_LINK_SECONDS = 0.2
REFUSED_STATUS = 429
LOST_ANSWERS = 3
PartT = TypeVar('PartT')
STORE_FAULTS = {
    'store_down': {'down': True},
    'store_silent': {'silent': True},
    'store_reset': {'reset': True},
    'store_refuses': {'status': REFUSED_STATUS},
    'store_slow': {'delay_seconds': SLOW_STORE_SECONDS},
    'store_loses_answers': {'lose_answers': LOST_ANSWERS},
}
LINK_HARMS = {
    'up_silent': {'silent_up': True},
    'down_silent': {'silent_down': True},
    'silent': {'silent_up': True, 'silent_down': True},
    'refused': {'refusing': True},
    'slow': {'delay_seconds': SLOW_LINK_SECONDS},
}


async def strike(fleet: Fleet, fault: Fault) -> None:
    """Let one fault strike and end."""
    if fault.kind in STORE_FAULTS:
        await _harm_store(fleet, fault)
        return
    family, _, what = fault.kind.partition('_')
    if family == 'store' and what.startswith('link_'):
        vm = _one_of(fleet.vms, fault.pick)
        harm = what.removeprefix('link_')
        await _harm_link(fleet, vm.store_link, vm.name, harm, fault.seconds)
        return
    if family == 'server':
        await _harm_server(fleet, fault, what)
        return
    await _strike_vm_or_change(fleet, fault)


async def _strike_vm_or_change(fleet: Fleet, fault: Fault) -> None:
    vm = _one_of(fleet.vms, fault.pick)
    match fault.kind:
        case 'stop':
            await fleet.stop_vm(vm)
        case 'kill':
            await fleet.kill_vm(vm)
        case 'pause':
            await fleet.pause_vm(vm, fault.seconds)
        case 'reload':
            if vm.process is not None and not vm.is_changing:
                vm.process.send_signal(signal.SIGHUP)
        case 'drain':
            await fleet.replace(_one_of(_serving(fleet), fault.pick))
        case 'evacuate':
            await fleet.evacuate(_one_of(list(DOMAINS), fault.pick), fault.seconds)
        case 'configure':
            fleet.configure()
        case 'store_forgets':
            fleet.store.discard_history()


async def _harm_store(fleet: Fleet, fault: Fault) -> None:
    start = fleet.now()
    harms = STORE_FAULTS[fault.kind]
    calm = {name: getattr(type(fleet.store.faults)(), name) for name in harms}
    for name, value in harms.items():
        setattr(fleet.store.faults, name, value)
    await asyncio.sleep(fault.seconds)
    for name, value in calm.items():
        setattr(fleet.store.faults, name, value)
    fleet.disturbed('store', start)


async def _harm_link(
    fleet: Fleet, link: Link, part: str, harm: str, seconds: float
) -> None:
    start = fleet.now()
    for name, value in LINK_HARMS.get(harm, {}).items():
        setattr(link, name, value)
    if harm in ('reset', 'refused'):
        link.reset()
    await asyncio.sleep(seconds)
    link.heal()
    fleet.disturbed(part, start)


async def _harm_server(fleet: Fleet, fault: Fault, what: str) -> None:
    server = _one_of(_serving(fleet), fault.pick)
    if what.startswith('link_'):
        link = fleet.links_by_id[server.id]
        harm = what.removeprefix('link_')
        await _harm_link(fleet, link, server.id, harm, fault.seconds)
        return
    start = fleet.now()
    if what == 'crash':
        await server.crash()
        await asyncio.sleep(fault.seconds)
        server.born += 1
        await server.start()
        fleet.register(server)
    elif what == 'loses_answers':
        server.lose_answers = True
        await asyncio.sleep(fault.seconds)
        server.lose_answers = False
    else:
        server.spoil_answers = True
        await asyncio.sleep(fault.seconds)
        server.spoil_answers = False
    fleet.disturbed(server.id, start)


def _serving(fleet: Fleet) -> list[PlatformServer]:
    leaving = {each.name for each in fleet.ledger.leaving}
    servers = fleet.servers_by_id.values()
    return [each for each in servers if each.is_up and each.id not in leaving]


def _one_of(parts: Sequence[PartT], pick: float) -> PartT:
    return parts[int(pick * len(parts))]
