"""Callers that keep connections open until the entry VM process ends."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

import aiohttp

from daisylift_node.connection.send_once import SendOnce
from soak.fleet import EntryVm, Fleet, key_of
from soak.ledger import RequestOutcome
from tests.fakes.loopback import DIRECTORY_PORT

DEADLINE_MS = 2000
PAUSE_SECONDS = 0.03
ABORTED_SHARE = 0.03  # share of the requests that callers abort
ABORT_AFTER_SECONDS = 0.015
ADDRESSES_TTL_SECONDS = 2.0  # maximum time for which a directory response is used
DIRECTORY_TIMEOUT_SECONDS = 1.0
OBJECT_COUNT = 40
ODD_KEY_SHARE = 0.1  # share of the requests with a new key, and with one taken away


@dataclass(slots=True)
class CallerGroup:
    """A group of callers; the outcomes of requests go to the fleet's ledger."""

    fleet: Fleet
    rng: random.Random
    is_stopping: bool = False
    _numbers: itertools.count = field(default_factory=itertools.count)
    _key_rng: random.Random = field(default_factory=lambda: random.Random(1))

    async def call(self, domain: str) -> None:
        """Send requests from one caller, one at a time, until the soak ends."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0)
        async with aiohttp.ClientSession(connector=connector) as session:
            vms: list[EntryVm] = []
            vms_valid_until = 0.0
            while not self.is_stopping:
                if self.fleet.now() >= vms_valid_until:
                    vms = await self._fetch_vms(session, domain) or vms
                    vms_valid_until = self.fleet.now() + ADDRESSES_TTL_SECONDS
                if vms and not await self._request(session, self.rng.choice(vms)):
                    vms_valid_until = 0.0
                await asyncio.sleep(PAUSE_SECONDS * self.rng.uniform(0.5, 1.5))

    async def _fetch_vms(
        self, session: aiohttp.ClientSession, domain: str
    ) -> list[EntryVm]:
        vm = self.rng.choice(self.fleet.vms)
        url = f'http://{vm.host}:{DIRECTORY_PORT}/-/resolve'
        query = {'name': 'a.example', 'region': '', 'zone': domain}
        timeout = aiohttp.ClientTimeout(total=DIRECTORY_TIMEOUT_SECONDS)
        try:
            async with session.get(url, params=query, timeout=timeout) as response:
                addresses = (await response.json())['addresses']
        except (aiohttp.ClientError, TimeoutError):
            return []  # the caller keeps the addresses that it has
        return [each for each in self.fleet.vms if each.address in addresses]

    async def _request(self, session: aiohttp.ClientSession, vm: EntryVm) -> bool:
        number = next(self._numbers)
        request_id = f'r{number}'
        version = len(self.fleet.ledger.versions)
        prefix = self.rng.choice(('a', 'a', 'o', 'm', f'n{version}'))
        key = self._choose_key(version)
        path = f'/{prefix}/{self.rng.randrange(OBJECT_COUNT)}'
        is_aborted = self.rng.random() < ABORTED_SHARE
        seconds = ABORT_AFTER_SECONDS if is_aborted else DEADLINE_MS / 1000.0 + 1.0
        sent_at = self.fleet.now()
        status, stamp, body, limited_server = None, '', b'', ''
        leaving_server = ''
        try:
            async with session.request(
                'POST' if prefix == 'o' else 'GET',
                f'http://{vm.address}{path}',
                data=b'pay' if prefix == 'o' else None,
                headers={
                    'Host': 'a.example',
                    'Request-Id': request_id,
                    'Affinity-Key': path,
                    'Deadline-Milliseconds': str(DEADLINE_MS),
                    **self._identity_headers(key),
                },
                timeout=aiohttp.ClientTimeout(total=seconds),
                middlewares=(SendOnce(),),
            ) as response:
                body = await response.read()
                status = response.status
                stamp = response.headers.get('Response-Stamp', '')
                if 'Server-Limit' in response.headers:
                    limited_server = response.headers['Instance-Id']
                if 'Server-Leaving' in response.headers:
                    leaving_server = response.headers['Instance-Id']
        except (aiohttp.ClientError, TimeoutError):
            status = None  # no complete response; the ledger decides if that is allowed
        self.fleet.ledger.outcomes.append(
            RequestOutcome(
                request_id=request_id,
                vm=vm.name,
                path=path,
                repeatable=prefix != 'o',
                sent_at=sent_at,
                ended_at=self.fleet.now(),
                status=status,
                stamp=stamp,
                body=body,
                is_aborted=is_aborted,
                limited_server=limited_server,
                leaving_server=leaving_server,
                key=key,
            )
        )
        return status is not None

    def _identity_headers(self, key: str) -> dict[str, str]:
        if not self.fleet.has_tenants:
            return {}
        return {'Authorization': f'Bearer {key}', 'Tenant': 'claimed'}

    def _choose_key(self, version: int) -> str:
        """Return a key that is in force, mostly; else a new one, or one taken away."""
        drawn = self._key_rng.random()
        if drawn < ODD_KEY_SHARE:
            return key_of(version)
        return key_of(version - (3 if drawn < 2.0 * ODD_KEY_SHARE else 1))
