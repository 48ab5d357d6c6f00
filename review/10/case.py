"""Case 10: a planned stop cuts pipelined requests whose answers the VM holds."""

import asyncio
import time
from pathlib import Path

from review.standins_2 import (
    CALLER_PORT,
    EntryVm,
    Fleet,
    Server,
    desired_state,
    play,
    read_message,
    request_head,
    rule,
)

CALLERS = 4
LOOKUPS = 3  # sent behind one export on the same connection
TIME_LIMIT_MS = 8034  # of the exports of qiraa-net-grown, whose grace_s is 6, too
EXPORT_WORK_S = 7.0
LOOKUP_WORK_S = 0.1
GRACE_S = 6.0
CALM_S = 4.0  # over stability_window_ms
LEAD_S = 0.5  # from the requests to SIGTERM
LIMIT_S = 60.0


async def call(vm: EntryVm, name: str) -> dict[str, float | None]:
    """Send an export and lookups; return when each was answered, None if it wasn't."""
    reader, writer = await asyncio.open_connection(vm.host, CALLER_PORT)
    ids = [f'{name}.export', *(f'{name}.lookup-{n}' for n in range(LOOKUPS))]
    paths = ['/e/1', *(f'/c/{n}' for n in range(LOOKUPS))]
    answered_at: dict[str, float | None] = dict.fromkeys(ids)
    for request_id, path in zip(ids, paths, strict=True):
        writer.write(request_head('GET', path, request_id, TIME_LIMIT_MS))
    vm.record.write(f'{name} sent {ids}')
    try:
        for request_id in ids:
            response = await read_message(reader, is_response=True)
            vm.record.write(f'{request_id} answered {response.status}')
            answered_at[request_id] = time.monotonic()
    except (asyncio.IncompleteReadError, ConnectionError):
        vm.record.write(f'the connection of {name} ended')
    finally:
        writer.close()
    return answered_at


async def case(fleet: Fleet, has_trouble: bool) -> bool:
    """Return whether the rule LOST held."""
    for number in range(4):
        exports = Server(f'exports-{number}', 'exports', fleet.record)
        exports.work_s = EXPORT_WORK_S
        lookups = Server(f'lookups-{number}', 'lookups', fleet.record)
        lookups.work_s = LOOKUP_WORK_S
        fleet.servers += [exports, lookups]
    rules = [
        rule('/e/', 'exports', 'safe', TIME_LIMIT_MS),
        rule('/c/', 'lookups', 'safe', TIME_LIMIT_MS),
    ]
    await fleet.start(desired_state(1, rules), vm_count=1)
    vm = fleet.vms[0]
    await asyncio.sleep(CALM_S)
    calls = [asyncio.create_task(call(vm, f'caller-{n}')) for n in range(CALLERS)]
    await asyncio.sleep(LEAD_S)
    stopped_at = time.monotonic()
    if has_trouble:
        await vm.terminate(GRACE_S)
    answers: dict[str, float | None] = {}
    for each in await asyncio.gather(*calls):
        answers |= each
    # The upstream was not at work any more in the last sixth of the grace time.
    last_work_at = stopped_at + GRACE_S * 5 / 6
    lost = [
        run.request_id
        for server in fleet.servers
        for run in server.runs
        if run.ended_at is not None
        and run.ended_at < last_work_at
        and answers[run.request_id] is None
    ]
    fleet.record.write(f'run to the end and never answered: {len(lost)} {lost}')
    return not lost


if __name__ == '__main__':
    play(Path(__file__).parent, case, LIMIT_S)
