"""Callers that keep connections open until the entry VM process ends."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

import aiohttp

from daisylift_node.connection.send_once import SendOnce
from soak.fleet import EntryVm, Fleet
from soak.ledger import RequestOutcome
from tests.fakes.loopback import DIRECTORY_PORT

LIMIT_MS = 2000
PAUSE_SECONDS = 0.03
LEAVING_SHARE = 0.03  # share of the requests that callers abort
LEAVING_SECONDS = 0.015
NAMES_SECONDS = 2.0  # maximum time for which a directory answer is used
DIRECTORY_TIMEOUT_SECONDS = 1.0
OBJECTS = 40


@dataclass(slots=True)
class Callers:
    """A group of callers; the outcomes of requests go to the fleet's ledger."""

    fleet: Fleet
    choice: random.Random
    is_stopping: bool = False
    _numbers: itertools.count = field(default_factory=itertools.count)

    async def call(self, domain: str) -> None:
        """Send requests from one caller, one at a time, until the soak ends."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0)
        async with aiohttp.ClientSession(connector=connector) as session:
            vms: list[EntryVm] = []
            known_until = 0.0
            while not self.is_stopping:
                if self.fleet.now() >= known_until:
                    vms = await self._look_up(session, domain) or vms
                    known_until = self.fleet.now() + NAMES_SECONDS
                if vms and not await self._request(session, self.choice.choice(vms)):
                    known_until = 0.0
                await asyncio.sleep(PAUSE_SECONDS * self.choice.uniform(0.5, 1.5))

    async def _look_up(
        self, session: aiohttp.ClientSession, domain: str
    ) -> list[EntryVm]:
        vm = self.choice.choice(self.fleet.vms)
        url = f'http://{vm.host}:{DIRECTORY_PORT}/-/resolve'
        query = {'name': 'a.example', 'region': '', 'zone': domain}
        timeout = aiohttp.ClientTimeout(total=DIRECTORY_TIMEOUT_SECONDS)
        try:
            async with session.get(url, params=query, timeout=timeout) as answer:
                addresses = (await answer.json())['addresses']
        except (aiohttp.ClientError, TimeoutError):
            return []  # the caller keeps the addresses that it has
        return [each for each in self.fleet.vms if each.address in addresses]

    async def _request(self, session: aiohttp.ClientSession, vm: EntryVm) -> bool:
        number = next(self._numbers)
        request_id = f'r{number}'
        version = len(self.fleet.ledger.versions)
        prefix = self.choice.choice(('a', 'a', 'o', 'm', f'n{version}'))
        path = f'/{prefix}/{self.choice.randrange(OBJECTS)}'
        leaves = self.choice.random() < LEAVING_SHARE
        seconds = LEAVING_SECONDS if leaves else LIMIT_MS / 1000.0 + 1.0
        sent_at = self.fleet.now()
        status, stamp, body = None, '', b''
        try:
            async with session.request(
                'POST' if prefix == 'o' else 'GET',
                f'http://{vm.address}{path}',
                data=b'pay' if prefix == 'o' else None,
                headers={
                    'Host': 'a.example',
                    'Request-Id': request_id,
                    'Affinity-Key': path,
                    'Deadline-Milliseconds': str(LIMIT_MS),
                },
                timeout=aiohttp.ClientTimeout(total=seconds),
                middlewares=(SendOnce(),),
            ) as answer:
                body = await answer.read()
                status = answer.status
                stamp = answer.headers.get('Response-Stamp', '')
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
                is_aborted=leaves,
            )
        )
        return status is not None
