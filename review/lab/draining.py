"""Orders of clients, an upstream that drains and exits, and the check of DRAIN."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import Iterable
from dataclasses import dataclass

from lab.deployment import CALLER_PORT, HOST, Deployment, Entry, Record, ask
from lab.upstream import Upstream

LONGER_SECONDS = 1.0  # the upstream serves a little longer, and then exits
TIME_LIMIT_MS = '3000'
SUCCESS = 200

request_numbers = itertools.count(1)


@dataclass(slots=True)
class Sent:
    """An order of a client, and the status of its answer; None without an answer."""

    entry: str
    at: float
    status: int | None = None


class Clients:
    """Clients that send orders, each to its own entry VM, on new connections."""

    def __init__(self) -> None:
        self.sent_by_id: dict[str, Sent] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, entries: Iterable[Entry], period_seconds: float) -> None:
        """Start one client for each entry VM."""
        self._tasks = [
            asyncio.create_task(self._send_orders(entry, period_seconds))
            for entry in entries
        ]

    async def stop(self) -> None:
        """Stop all clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_orders(self, entry: Entry, period_seconds: float) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._send_order(entry))
                await asyncio.sleep(period_seconds)

    async def _send_order(self, entry: Entry) -> None:
        request_id = f'{next(request_numbers):016x}'
        sent = self.sent_by_id[request_id] = Sent(entry.name, time.monotonic())
        headers = {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Milliseconds': TIME_LIMIT_MS,
        }
        body = b'{"amount": 90000}'
        with contextlib.suppress(OSError):
            answer = await ask(
                entry.host, CALLER_PORT, 'POST', f'/pay/{request_id}', headers, body
            )
            sent.status = None if answer is None else answer.status


async def drain(
    deployment: Deployment, record: Record, upstream: Upstream, drain_seconds: float
) -> float:
    """Drain the upstream and let it exit; return when the store accepted its report."""
    deployment.store.write('servers', upstream.id, upstream.registration('draining'))
    accepted_at = time.monotonic()
    record.add(f'the store accepts that {upstream.id} is draining')
    await asyncio.sleep(drain_seconds + LONGER_SECONDS)
    record.add(f'{upstream.id} exits')
    await upstream.stop()
    deployment.store.remove('servers', upstream.id)
    return accepted_at


def count_late(
    deployment: Deployment,
    record: Record,
    clients: Clients,
    upstream: Upstream,
    accepted_at: float,
    drain_seconds: float,
) -> int:
    """Return how many orders reached the upstream late; record those that were lost."""
    late = lost = 0
    for run in deployment.runs:
        if run.upstream != upstream.id or run.at <= accepted_at:
            continue
        sent = clients.sent_by_id[run.request_id]
        after = run.at - accepted_at
        lost += sent.status != SUCCESS
        if after > drain_seconds:
            late += 1
            record.add(
                f'order {run.request_id}, sent to {sent.entry} '
                f'{sent.at - accepted_at:.3f} s after the acceptance, runs at '
                f'{upstream.id} {after:.3f} s after it; answered {sent.status}'
            )
    sent_by_id = clients.sent_by_id
    served = sum(sent.status == SUCCESS for sent in sent_by_id.values())
    record.add(f'{len(sent_by_id)} orders, {served} of them served')
    record.add(f'{lost} orders ran at {upstream.id} and were cut by its exit')
    record.add(f'{late} orders reached {upstream.id} later than {drain_seconds} s')
    return late
