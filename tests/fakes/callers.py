"""Simulated callers that look up an entry VM and send their requests to it.

A caller caches the answer of a lookup until its TTL expires.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp

REQUEST_SECONDS = 20.0
PAUSE_SECONDS = 0.02
LOOKUP_PAUSE_SECONDS = 0.05


@dataclass(slots=True)
class Callers:
    """Several callers of one service, with the outcomes of their requests.

    ``count_by_outcome`` counts ``answered``, ``cut`` (neither a complete response nor a
    refusal) and refusals by their reason; ``seconds`` holds the durations of the
    answered requests.
    """

    entry_urls: Sequence[str]
    service: str
    path: str
    rng: random.Random
    count_by_outcome: Counter[str] = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)
    _stopped: bool = False
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self, count: int) -> None:
        """Start the given number of callers."""
        self._tasks = [asyncio.create_task(self._call_on()) for _ in range(count)]

    async def stop(self) -> None:
        """Stop all callers after their current request."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def _call_on(self) -> None:
        timeout = aiohttp.ClientTimeout(total=REQUEST_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            address, until = '', 0.0
            while not self._stopped:
                if time.monotonic() >= until:
                    address, until = await self._look_up(session)
                if address:
                    await self._request(session, address)
                await asyncio.sleep(PAUSE_SECONDS)

    async def _look_up(self, session: aiohttp.ClientSession) -> tuple[str, float]:
        url = f'{self.rng.choice(self.entry_urls)}/v1/lookup'
        params = {'service': self.service, 'client': '127.0.0.1'}
        requested_at = time.monotonic()
        try:
            async with session.get(url, params=params) as response:
                document = await response.json(content_type=None)
        except aiohttp.ClientError:
            document = {}
        if not document.get('entry_vms'):
            await asyncio.sleep(LOOKUP_PAUSE_SECONDS)
            return '', 0.0
        vm = self.rng.choice(document['entry_vms'])
        return vm['address'], requested_at + document['ttl_seconds']

    async def _request(self, session: aiohttp.ClientSession, address: str) -> None:
        url = f'http://{address}/v1/services/{self.service}/{self.path}'
        began = time.monotonic()
        try:
            async with session.post(url, data=b'order') as response:
                content = await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError) as error:
            self.count_by_outcome[f'cut: {type(error).__name__}'] += 1
            return
        if response.status == 200:
            self.count_by_outcome['answered'] += 1
            self.seconds.append(time.monotonic() - began)
        else:
            self.count_by_outcome[content['title']] += 1
