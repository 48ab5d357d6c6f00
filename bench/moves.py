"""Measures free slots and moved traffic while a region is drained under load.

Run it with ``python -m bench.moves [kanga|teduh]``. Callers cache lookup answers for
their TTL and use the first VM of an answer. The baseline is the same drain with a cap
of 100%, so that all traffic moves at once.
"""

import argparse
import asyncio
import itertools
import json
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from bench.load import LoadPlan, LoadResult, run_load
from bench.tables import print_machine, print_table, quantile
from tests.fakes.fleet import Fleet

EXAMPLES = Path(__file__).resolve().parents[1] / 'examples'
SERVICE_BY_WORKLOAD = {'kanga': 'catalogue', 'teduh': 'harga'}
CAPS = (0.25, 1.0)
PERIOD_SECONDS = 1.0
ANSWER_TTL_SECONDS = 0.5
BUSY_SHARE = 0.4
RATE_PER_SECOND = 100.0
RUN_SECONDS = 45.0
DRAIN_AT_SECONDS = 5.0
SAMPLE_SECONDS = 0.25
CLIENTS = 200
PERCENT = 100.0


@dataclass(slots=True)
class RunSamples:
    """The samples of one run."""

    free_by_region: dict[str, list[float]] = field(default_factory=dict)
    drained_share: list[tuple[float, float]] = field(default_factory=list)


def main() -> None:
    """Measure the workloads named on the command line, or both."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('workloads', nargs='*', default=list(SERVICE_BY_WORKLOAD))
    print_machine()
    for workload in parser.parse_args().workloads:
        rows = [_measure(workload, cap) for cap in CAPS]
        print_table(
            f'{workload}: drain of a region at {BUSY_SHARE:.0%} of all slots busy',
            (
                'cap',
                'minimum free slots by region, %',
                'largest move in a period, %',
                'remaining at the end, %',
                'outcomes',
                'p99 minus work ms',
            ),
            rows,
        )


def _measure(workload: str, cap: float) -> tuple[object, ...]:
    policy = json.loads((EXAMPLES / workload / 'policy.json').read_text())
    service = SERVICE_BY_WORKLOAD[workload]
    spec = next(s for s in policy['services'] if s['name'] == service)
    policy['services'] = [spec]
    spec |= {
        'shift_cap': cap,
        'shift_period_seconds': PERIOD_SECONDS,
        'answer_ttl_seconds': ANSWER_TTL_SECONDS,
    }
    slots = sum(server['slots'] for server in spec['servers'])
    work_seconds = BUSY_SHARE * slots / RATE_PER_SECOND
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory=Path(directory), policy=policy)
        try:
            fleet.start([entry['failure_domain'] for entry in policy['roster']])
            fleet.put_policy()
            result, samples = asyncio.run(_run(fleet, service, work_seconds))
        finally:
            fleet.stop()
    free_share = {
        r: f'{min(v) * PERCENT:.0f}' for r, v in samples.free_by_region.items()
    }
    p99 = quantile(result.latencies, 0.99) - work_seconds
    return (
        f'{cap:.0%}',
        free_share,
        f'{_largest_move(samples) * PERCENT:.0f}',
        f'{samples.drained_share[-1][1] * PERCENT:.0f}',
        dict(result.outcomes),
        f'{p99 * 1000:.0f}',
    )


async def _run(
    fleet: Fleet, service: str, work_seconds: float
) -> tuple[LoadResult, RunSamples]:
    samples = RunSamples()
    async with aiohttp.ClientSession() as session:
        await _set_work_seconds(session, fleet, work_seconds)
        clients = CachingClients(fleet, service, session)
        await clients.look_up_all()
        plan = LoadPlan('GET', '/x', RATE_PER_SECOND, RUN_SECONDS)
        running = asyncio.create_task(run_load(plan, clients.next_url))
        sampling = asyncio.create_task(_take_samples(session, fleet, clients, samples))
        await asyncio.sleep(DRAIN_AT_SECONDS)
        await asyncio.to_thread(fleet.admin, 'region', 'drain', clients.region)
        result = await running
        sampling.cancel()
    return result, samples


class CachingClients:
    """Clients that cache their lookup answers and use the first VM of an answer."""

    def __init__(
        self, fleet: Fleet, service: str, session: aiohttp.ClientSession
    ) -> None:
        domains = fleet.policy['failure_domains']
        self.region = domains[0]['region']
        self.region_by_site = {d['name']: d['region'] for d in domains}
        self._fleet = fleet
        self._service = service
        self._session = session
        self._answers: dict[str, dict[str, Any]] = {}
        self._client_cycle: Iterator[str] = itertools.cycle(
            f'10.{number}.0.1' for number in range(CLIENTS)
        )

    async def look_up_all(self) -> None:
        """Repeat the lookup of every client, at the nodes in turn."""
        nodes = itertools.cycle(self._fleet.nodes)
        addresses = [next(self._client_cycle) for _ in range(CLIENTS)]
        await asyncio.gather(*(self._look_up(c, next(nodes)) for c in addresses))

    def next_url(self) -> str:
        """Return the base URL for the request of the next client."""
        address = self._answers[next(self._client_cycle)]['entry_vms'][0]['address']
        return f'http://{address}/v1/services/{self._service}'

    def drained_share(self) -> float:
        """Return the share of clients that are still steered to the drained region."""
        in_region = sum(
            self.region_by_site[answer['site']] == self.region
            for answer in self._answers.values()
        )
        return in_region / len(self._answers)

    async def _look_up(self, client: str, node: Any) -> None:
        url = f'{node.caller_url}/v1/lookup?service={self._service}&client={client}'
        async with self._session.get(url) as response:
            self._answers[client] = await response.json()


async def _take_samples(
    session: aiohttp.ClientSession,
    fleet: Fleet,
    clients: CachingClients,
    samples: RunSamples,
) -> None:
    while True:
        await asyncio.sleep(SAMPLE_SECONDS)
        await clients.look_up_all()
        samples.drained_share.append((time.monotonic(), clients.drained_share()))
        for region, free_share in (await _free_shares(session, fleet, clients)).items():
            samples.free_by_region.setdefault(region, []).append(free_share)


async def _free_shares(
    session: aiohttp.ClientSession, fleet: Fleet, clients: CachingClients
) -> dict[str, float]:
    used: dict[str, int] = {}
    slots: dict[str, int] = {}
    for server in fleet.policy['services'][0]['servers']:
        region = clients.region_by_site[server['failure_domain']]
        url = f'http://127.0.0.1:{server["port"]}/control'
        async with session.get(url) as response:
            state = await response.json()
        used[region] = used.get(region, 0) + state['in_flight']
        slots[region] = slots.get(region, 0) + server['slots']
    return {region: 1.0 - used[region] / slots[region] for region in slots}


async def _set_work_seconds(
    session: aiohttp.ClientSession, fleet: Fleet, work_seconds: float
) -> None:
    for server in fleet.policy['services'][0]['servers']:
        url = f'http://127.0.0.1:{server["port"]}/control'
        async with session.post(url, json={'work_seconds': work_seconds}):
            pass


def _largest_move(samples: RunSamples) -> float:
    """Return the largest share that left the region within one shift period."""
    largest = 0.0
    for at, share in samples.drained_share:
        later = [s for t, s in samples.drained_share if at <= t < at + PERIOD_SECONDS]
        largest = max(largest, share - min(later))
    return largest


if __name__ == '__main__':
    main()
