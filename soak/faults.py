"""Injects the faults of a plan into the fleet."""

import asyncio
import signal
from collections.abc import Sequence
from typing import TypeVar

from soak.fleet import DOMAINS, Fleet
from soak.plan import ADD_VM_KIND, RETURN_KIND, Fault
from soak.proxy import FaultyLink
from tests.fakes.platform_server import PlatformServer

SLOW_STORE_SECONDS = 0.3
SLOW_LINK_SECONDS = 0.2
REFUSED_STATUS = 429
LOST_RESPONSES = 3
TURNING_AWAY_SECONDS = 1.0
MAX_COPY_SECONDS = 10.0  # age of the copy from which the store comes back
MAX_LIMIT_PER_SECOND = 8.0
LIMIT_FACTORS = {'keep': 1.0, 'raise': 2.0, 'lower': 0.4}
STOP_OPTIONS: dict[str, dict[str, bool]] = {
    'stop': {},
    'stop_overlapping': {'launches_early': True},
    'stop_signals': {'sends_signals': True},
}
PartT = TypeVar('PartT')
STORE_FAULTS = {
    'store_down': {'down': True},
    'store_silent': {'silent': True},
    'store_reset': {'reset': True},
    'store_refuses': {'status': REFUSED_STATUS},
    'store_slow': {'delay_seconds': SLOW_STORE_SECONDS},
    'store_loses_answers': {'lose_answers': LOST_RESPONSES},
}
LINK_FAULTS = {
    'up_silent': {'silent_up': True},
    'down_silent': {'silent_down': True},
    'silent': {'silent_up': True, 'silent_down': True},
    'refused': {'refusing': True},
    'slow': {'delay_seconds': SLOW_LINK_SECONDS},
}


async def inject(fleet: Fleet, fault: Fault) -> None:
    """Inject one fault, and remove it after its duration."""
    if fault.kind == ADD_VM_KIND:
        await fleet.add_vm()
        return
    if fault.kind == RETURN_KIND:
        await _return_store(fleet, fault)
        return
    if fault.kind in STORE_FAULTS:
        await _inject_store_fault(fleet, fault)
        return
    family, _, effect = fault.kind.partition('_')
    if family == 'store' and effect.startswith('link_'):
        vm = _pick(fleet.vms, fault.target_fraction)
        link_fault = effect.removeprefix('link_')
        await _inject_link_fault(
            fleet, vm.store_link, vm.name, link_fault, fault.duration_seconds
        )
        return
    if family == 'limit':
        await _name_limit(fleet, fault, effect)
        return
    if family == 'says':
        await _say_in_answers(fleet, fault, effect)
        return
    if family == 'watchers':
        await _lose_watchers(fleet, fault, effect)
        return
    if family == 'server':
        await _inject_server_fault(fleet, fault, effect)
        return
    await _inject_vm_fault_or_change(fleet, fault)


async def _inject_vm_fault_or_change(fleet: Fleet, fault: Fault) -> None:
    vm = _pick(fleet.vms, fault.target_fraction)
    if fault.kind in STOP_OPTIONS:
        await fleet.stop_vm(vm, **STOP_OPTIONS[fault.kind])
        return
    match fault.kind:
        case 'kill':
            await fleet.kill_vm(vm)
        case 'pause':
            await fleet.pause_vm(vm, fault.duration_seconds)
        case 'reload':
            if vm.process is not None and not vm.is_changing:
                vm.process.send_signal(signal.SIGHUP)
        case 'drain':
            await fleet.replace_server(_pick(_serving(fleet), fault.target_fraction))
        case 'evacuate':
            await fleet.evacuate(
                _pick(list(DOMAINS), fault.target_fraction), fault.duration_seconds
            )
        case 'configure':
            fleet.write_desired_state()
        case 'store_forgets':
            fleet.store.discard_history()


async def _inject_store_fault(fleet: Fleet, fault: Fault) -> None:
    start = fleet.now()
    settings = STORE_FAULTS[fault.kind]
    defaults = {name: getattr(type(fleet.store.faults)(), name) for name in settings}
    for name, value in settings.items():
        setattr(fleet.store.faults, name, value)
    await asyncio.sleep(fault.duration_seconds)
    for name, value in defaults.items():
        setattr(fleet.store.faults, name, value)
    fleet.record_disturbance('store', start)


async def _return_store(fleet: Fleet, fault: Fault) -> None:
    start = fleet.now()
    fleet.store.faults.reset = True
    await asyncio.sleep(fault.duration_seconds)
    fleet.store.faults.reset = False
    copy_seconds = fault.duration_seconds + fault.target_fraction * MAX_COPY_SECONDS
    fleet.spawn(fleet.restore_store(copy_seconds))
    await asyncio.sleep(0.0)
    fleet.record_disturbance('store', start)


async def _inject_link_fault(
    fleet: Fleet, link: FaultyLink, component: str, link_fault: str, seconds: float
) -> None:
    start = fleet.now()
    for name, value in LINK_FAULTS.get(link_fault, {}).items():
        setattr(link, name, value)
    if link_fault in ('reset', 'refused'):
        link.reset()
    await asyncio.sleep(seconds)
    link.clear_faults()
    fleet.record_disturbance(component, start)


async def _name_limit(fleet: Fleet, fault: Fault, change: str) -> None:
    """Let a server name a limit, change it halfway, and withdraw it at the end."""
    server = _pick(_serving(fleet), fault.target_fraction)
    if server.limit_per_second is not None:
        return
    born = server.born
    per_second = MAX_LIMIT_PER_SECOND * fault.target_fraction
    for value in (per_second, LIMIT_FACTORS[change] * per_second):
        fleet.name_limit(server, value)
        await asyncio.sleep(0.5 * fault.duration_seconds)
        if not server.is_up or server.born != born:
            return
    fleet.name_limit(server, None)


async def _lose_watchers(fleet: Fleet, fault: Fault, way: str) -> None:
    """Kill or freeze the first VM of each failure domain, without a word."""
    await asyncio.gather(
        *(
            fleet.kill_vm(vm)
            if way == 'kill'
            else fleet.pause_vm(vm, fault.duration_seconds)
            for vm in fleet.first_of_each_domain()
        )
    )


async def _say_in_answers(fleet: Fleet, fault: Fault, statement: str) -> None:
    """Let a server say that it leaves, or turn requests away and ask for a pause."""
    server = _pick(_serving(fleet), fault.target_fraction)
    if statement == 'leaving':
        await fleet.leave_by_answers(server)
        return
    server.pause_seconds = fault.duration_seconds
    await asyncio.sleep(TURNING_AWAY_SECONDS)
    server.pause_seconds = None


async def _inject_server_fault(fleet: Fleet, fault: Fault, effect: str) -> None:
    server = _pick(_serving(fleet), fault.target_fraction)
    if effect.startswith('link_'):
        link = fleet.links_by_id[server.id]
        link_fault = effect.removeprefix('link_')
        await _inject_link_fault(
            fleet, link, server.id, link_fault, fault.duration_seconds
        )
        return
    start = fleet.now()
    if effect == 'crash':
        await fleet.crash_server(server)
        await asyncio.sleep(fault.duration_seconds)
        server.born += 1
        await server.start()
        fleet.register(server)
    elif effect == 'loses_answers':
        server.lose_answers = True
        await asyncio.sleep(fault.duration_seconds)
        server.lose_answers = False
    else:
        server.spoil_answers = True
        await asyncio.sleep(fault.duration_seconds)
        server.spoil_answers = False
    fleet.record_disturbance(server.id, start)


def _serving(fleet: Fleet) -> list[PlatformServer]:
    draining = {each.name for each in fleet.ledger.draining}
    servers = fleet.servers_by_id.values()
    return [each for each in servers if each.is_up and each.id not in draining]


def _pick(items: Sequence[PartT], fraction: float) -> PartT:
    return items[int(fraction * len(items))]
