"""Measures the cost of lookups and of the client block table.

Run it with ``python -m bench.lookups [--blocks COUNT...]``.
"""

import argparse
import asyncio
import ipaddress
import random
import sys
import time

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from daisylift.decisions.blocks import (
    EMPTY_TABLE,
    BlockRange,
    BlockTable,
    Page,
    encode_page,
    merged_pages,
)
from daisylift.decisions.configuration import Configuration, apply_change
from daisylift.decisions.steering import position_of, site_at
from daisylift.models import Change, Claim, Policy, PutPolicy, SetBlockPages
from daisylift_node.process.members import Member
from daisylift_node.process.metrics import Metrics
from daisylift_node.request.lookup import LookupHandler
from daisylift_node.request.request_ids import RequestIdIssuer
from daisylift_node.version.steering import Steering

SITES = 200
REGIONS = 3
NODES = 930
KEY = b'key'
NODE_DOMAINS = 7
LOOKUPS = 20_000
HTTP_LOOKUPS = 3_000


class FixedMembers:
    """The members of a fleet that never changes."""

    def __init__(self, count: int) -> None:
        self.by_ordinal = {number: _member(number) for number in range(count)}
        self.own = self.by_ordinal[0].claim


def build_table(blocks: int, rng: random.Random) -> BlockTable:
    """Return a table of IPv4 blocks of 2,048 addresses with random home sites."""
    ranges = [
        BlockRange(4, number << 11, (number + 1) << 11, rng.randrange(SITES))
        for number in range(blocks)
    ]
    return EMPTY_TABLE.with_pages(merged_pages(EMPTY_TABLE, ranges))


def build_configuration(services: int, servers_per_site: int) -> Configuration:
    """Return a configuration in which all sites serve all services."""
    domains = [{'name': _site(n), 'region': f'r{n % REGIONS}'} for n in range(SITES)]
    policy = Policy.model_validate(
        {
            'failure_domains': domains,
            'roster': [
                {'ordinal': n, 'failure_domain': _site(n % NODE_DOMAINS)}
                for n in range(NODES)
            ],
            'services': [
                {'name': f'service-{s}', 'servers': _servers(servers_per_site)}
                for s in range(services)
            ],
        }
    )
    body = PutPolicy(policy=policy)
    first = Change(version=1, operation_id='policy', body=body)
    sites = tuple(_site(n) for n in range(SITES))
    pages = SetBlockPages(sites=sites, pages={'4.00000000': '0' * 32})
    second = Change(version=2, operation_id='blocks', body=pages)
    return apply_change(apply_change(Configuration(), first), second)


def measure(blocks: int) -> None:
    """Print the table row for a number of blocks."""
    rng = random.Random(7)
    started = time.process_time()
    table = build_table(blocks, rng)
    build_seconds = time.process_time() - started
    megabytes = sum(map(_array_bytes, table.pages_by_name().values())) / 1e6
    configuration = build_configuration(services=3, servers_per_site=1)
    steering = Steering(FixedMembers(NODES))
    steering.set_configuration(configuration)
    steering.set_blocks(table)
    steering.refresh_entries()
    handler = LookupHandler(steering, _issuer(), Metrics())
    clients = [
        str(ipaddress.IPv4Address(rng.randrange(blocks << 11))) for _ in range(LOOKUPS)
    ]
    addresses = [ipaddress.ip_address(client) for client in clients]
    find_us = _microseconds(lambda: [table.find(address) for address in addresses])
    steer_us = _microseconds(
        lambda: [_steer(configuration, table, a) for a in addresses]
    )
    answer_us = _microseconds(lambda: [handler.answer('service-0', c) for c in clients])
    one = BlockRange(4, (blocks // 2) << 11, (blocks // 2 + 1) << 11, 199)
    changed = merged_pages(table, [one])
    page_bytes = sum(len(encode_page(page)) for page in changed.values() if page)
    print(
        f'{blocks:>10,} {megabytes:>8.1f} {build_seconds:>8.2f} {find_us:>9.2f} '
        f'{steer_us:>9.2f} {answer_us:>10.2f} {1e6 / answer_us:>12,.0f} '
        f'{page_bytes:>11,}'
    )


def _issuer() -> RequestIdIssuer:
    return RequestIdIssuer(FixedMembers(NODES), KEY)


async def measure_http(lookups: int) -> None:
    """Print the cost of a lookup over HTTP, client and server in this process."""
    rng = random.Random(7)
    steering = Steering(FixedMembers(NODES))
    steering.set_configuration(build_configuration(services=3, servers_per_site=1))
    steering.set_blocks(build_table(10_000, rng))
    steering.refresh_entries()
    application = web.Application()
    handler = LookupHandler(steering, _issuer(), Metrics())
    application.router.add_get('/v1/lookup', handler.handle)
    async with TestClient(TestServer(application)) as client:
        started = time.process_time()
        for _ in range(lookups):
            address = ipaddress.IPv4Address(rng.randrange(10_000 << 11))
            query = {'service': 'service-0', 'client': str(address)}
            async with client.get('/v1/lookup', params=query) as response:
                await response.read()
        each = (time.process_time() - started) / lookups
    print(
        f'over HTTP, client and server: {each * 1e6:.0f} us, {1 / each:,.0f}/s per core'
    )


def main() -> None:
    """Print the table for all sizes, and the cost over HTTP."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--blocks', type=int, nargs='*', default=[75_000, 300_000, 1_200_000]
    )
    print(
        '    blocks  arrays MB  build s   find us  steer us  answer us'
        '  answers/s/core  bytes of one change'
    )
    for blocks in parser.parse_args().blocks:
        measure(blocks)
    asyncio.run(measure_http(HTTP_LOOKUPS))


def _array_bytes(page: Page) -> int:
    return sys.getsizeof(page.starts) + sys.getsizeof(page.homes)


def _steer(configuration: Configuration, table: BlockTable, address: object) -> str:
    block = table.find(address)
    home = configuration.blocks.sites[block.home]
    cut = configuration.cuts['service-0'][home]
    return site_at(cut, position_of('service-0', block.key).point)


def _microseconds(work: object) -> float:
    best = float('inf')
    for _ in range(3):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best / LOOKUPS * 1e6


def _site(number: int) -> str:
    return f'site-{number}'


def _servers(per_site: int) -> list[dict[str, object]]:
    return [
        {
            'name': f'server-{site}-{number}',
            'host': f'10.0.0.{site}',
            'port': 8000 + number,
            'failure_domain': _site(site),
            'slots': 8,
            'connections': 300,
        }
        for site in range(SITES)
        for number in range(per_site)
    ]


def _member(number: int) -> Member:
    claim = Claim(
        ordinal=number,
        vm=f'vm-{number}',
        incarnation='0' * 16,
        failure_domain=_site(number % NODE_DOMAINS),
        caller_host='127.0.0.1',
        caller_port=7000,
        peer_host='127.0.0.1',
        peer_port=7001,
    )
    return Member(claim)


if __name__ == '__main__':
    main()
