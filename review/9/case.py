"""Case 9: entries of another writer, whose values can't be read, hang an entry VM."""

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
from tests.fakes.platform import RawJson

ODD_ENTRIES = 4
ENTRY_BYTES = 1_040_000  # platform.value_bytes allows 1,048,576
NESTED_LISTS = 1200
HEARTBEAT_S = 1.5  # heartbeat_ms, in which upstreams write their entries
CALM_S = 4.0  # over stability_window_ms
STEADY_S = 12.0
PERIOD_S = 0.1  # between two requests
TIMEOUT_MS = 1000  # of the route
TIME_LIMIT_MS = 3000  # of the callers
LATE_S = 0.5
MIN_LATE_REQUESTS = 8
LAG_PERIOD_S = 0.05
LIMIT_S = 90.0


def odd_entry(number: int, *, is_readable: bool) -> RawJson:
    """Return an entry without the fields of a server; each is a little different.

    One that can't be read has lists that are nested too deeply for the JSON reader.
    """
    depth = 1 if is_readable else NESTED_LISTS
    head = b'{"note":%d,"nested":' % number + b'[' * depth + b']' * depth
    rest = b',"values":['
    count = (ENTRY_BYTES - len(head) - len(rest) - 3) // 3
    return RawJson(head + rest + b'[],' * count + b'1]}')


async def write_odd_entries(fleet: Fleet, *, is_readable: bool) -> None:
    """Write the entries again in each heartbeat interval."""
    number = 0
    while True:
        for index in range(ODD_ENTRIES):
            number += 1
            entry = odd_entry(number, is_readable=is_readable)
            fleet.store.write('servers', f'odd-{index}', entry)
        fleet.record.write(f'{ODD_ENTRIES} odd entries written')
        await asyncio.sleep(HEARTBEAT_S)


async def request(vm: EntryVm, request_id: str) -> float:
    """Send an order over a new connection; return the seconds until its end."""
    started_at = time.monotonic()
    result = 'no answer'
    try:
        async with asyncio.timeout(TIME_LIMIT_MS / 1000.0):
            reader, writer = await asyncio.open_connection(vm.host, CALLER_PORT)
            try:
                head = request_head(
                    'POST', '/o/1', request_id, TIME_LIMIT_MS, 'Content-Length: 5'
                )
                writer.write(head + b'order')
                response = await read_message(reader, is_response=True)
                result = str(response.status)
            finally:
                writer.close()
    except (asyncio.IncompleteReadError, OSError, TimeoutError):
        pass
    seconds = time.monotonic() - started_at
    vm.record.write(f'{request_id} ended after {seconds:.2f} s: {result}')
    return seconds


async def measure_lag(lags: list[float]) -> None:
    """Measure how late this script itself runs."""
    while True:
        due_at = time.monotonic() + LAG_PERIOD_S
        await asyncio.sleep(LAG_PERIOD_S)
        lags.append(time.monotonic() - due_at)


async def case(fleet: Fleet, has_trouble: bool) -> bool:
    """Return whether the rule CONFIG held."""
    fleet.servers += [
        Server(f'till-{number}', 'till', fleet.record) for number in range(4)
    ]
    state = desired_state(1, [rule('/o/', 'till', 'unsafe', TIMEOUT_MS)])
    await fleet.start(state, vm_count=1, kills_over_limit=False)
    vm = fleet.vms[0]
    lags: list[float] = []
    background = [
        asyncio.create_task(measure_lag(lags)),
        asyncio.create_task(write_odd_entries(fleet, is_readable=not has_trouble)),
    ]
    await asyncio.sleep(CALM_S)
    requests = []
    ends_at = time.monotonic() + STEADY_S
    while time.monotonic() < ends_at:
        requests.append(asyncio.create_task(request(vm, f'order-{len(requests)}')))
        await asyncio.sleep(PERIOD_S)
    seconds = await asyncio.gather(*requests)
    for each in background:
        each.cancel()
    unanswered = [each for each in seconds if each > TIMEOUT_MS / 1000.0]
    late = [each for each in unanswered if each > TIMEOUT_MS / 1000.0 + LATE_S]
    fleet.record.write(f'{len(seconds)} requests; this script lagged {max(lags):.2f} s')
    fleet.record.write(
        f'{len(unanswered)} unanswered at timeout_ms, {len(late)} half a second later'
    )
    return len(late) < MIN_LATE_REQUESTS or 2 * len(late) <= len(unanswered)


if __name__ == '__main__':
    play(Path(__file__).parent, case, LIMIT_S)
