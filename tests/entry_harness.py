"""Runs an entry VM inside the process of a test, with a fake store and servers."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import yarl

from daisylift_node.entry_config import EntrySettings
from daisylift_node.process.entry_application import EntryApplication
from tests.fakes.loopback import (
    CALLER_PORT,
    DIRECTORY_PORT,
    METRICS_PORT,
    PEER_PORT,
    READINESS_PORT,
    free_network,
)
from tests.fakes.platform import FakePlatform
from tests.fakes.scripted_server import ScriptedServer

HOST = 'a.example'
SETTLE_SECONDS = 0.15


class DiscardingLogStream:
    """A log stream that discards all lines."""

    dropped = 0

    async def drain(self) -> None:
        """Do nothing."""


def make_rule(
    prefix: str, service: str, kind: str = 'safe', **action: Any
) -> dict[str, Any]:
    """Return a routing rule in the format of the desired state."""
    return {
        'name': f'r{prefix}',
        'kind': kind,
        'target_latency_ms': 200,
        'priority': 1,
        'sticky': True,
        'match': {'path_prefix': prefix},
        'action': {
            'service': service,
            'timeout_ms': 1000,
            'attempts': 2,
            'home_regions': [],
            **action,
        },
    }


def make_desired_state(
    version: int, *rules: dict[str, Any], **fields: Any
) -> dict[str, Any]:
    """Return a desired state document; ``fields`` are further ones of it."""
    return {
        'version': f'{version:08x}',
        'limits': {'body_bytes': 100_000, 'idle_timeout_ms': 15000},
        'listeners': [{'host': HOST, 'rules': list(rules)}],
        'clusters': [
            {'name': name, 'health_path': '/health', 'cold_per_s': 19.0}
            for name in ('catalogue', 'till')
        ],
        **fields,
    }


def make_registration(
    server: ScriptedServer, service: str = 'catalogue', **changes: Any
) -> dict[str, Any]:
    """Return the registration document of a backend server."""
    return {
        'service': service,
        'address': f'127.0.0.1:{server.port}',
        'zone': 'arusha-a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 1,
        'born': 1,
        **changes,
    }


@dataclass(slots=True)
class CallerResponse:
    """The response that the caller received."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True)
class EntryHarness:
    """One entry VM with a store and a caller."""

    store: FakePlatform = field(default_factory=FakePlatform)
    name: str = 'entry-1'
    grace_seconds: float = 0.5
    heartbeat_ms: float = 1500.0
    application: EntryApplication | None = None
    caller: aiohttp.ClientSession | None = None
    owns_store: bool = True

    async def __aenter__(self) -> 'EntryHarness':
        if self.owns_store:
            await self.store.start()
        host = f'{free_network()}.1'
        settings = EntrySettings.model_validate(
            {
                'vm': {
                    'id': self.name,
                    'host': host,
                    'failure_domain': 'arusha-a',
                    'region': 'arusha',
                },
                'listen': {
                    'caller': f'{host}:{CALLER_PORT}',
                    'readiness': f'{host}:{READINESS_PORT}',
                    'directory': f'{host}:{DIRECTORY_PORT}',
                    'metrics_port': METRICS_PORT,
                },
                'peer': {'port': PEER_PORT},
                'store': {
                    'address': f'127.0.0.1:{self.store.port}',
                    'heartbeat_ms': self.heartbeat_ms,
                },
                'domains': {'arusha-a': 'arusha', 'dar-a': 'dar'},
                'limits': {'memory_mb': 300, 'file_descriptors': 4000},
                'bounds': {'grace_s': self.grace_seconds},
            }
        )
        lines: Any = DiscardingLogStream()
        self.application = EntryApplication(settings, lines)
        await self.application.start()
        self.caller = aiohttp.ClientSession()
        await asyncio.sleep(SETTLE_SECONDS)
        return self

    async def __aexit__(self, *exception: object) -> None:
        assert self.application is not None
        assert self.caller is not None
        await self.caller.close()
        if not self.application.handler.is_stopping:
            await self.application.stop()
        if self.owns_store:
            await self.store.stop()

    async def configure(
        self, version: int, *rules: dict[str, Any], **fields: Any
    ) -> None:
        """Write a desired state and wait until the entry VM applies it."""
        state = make_desired_state(version, *rules, **fields)
        self.store.write('config', 'main', state)
        await asyncio.sleep(SETTLE_SECONDS)

    async def register(self, **registrations: dict[str, Any]) -> None:
        """Write registrations, keyed by id, and wait until the entry VM applies them.

        Underscores in the ids become hyphens.
        """
        for name, registration in registrations.items():
            self.store.write('servers', name.replace('_', '-'), registration)
        await asyncio.sleep(SETTLE_SECONDS)

    async def send(
        self, method: str = 'GET', path: str = '/x/1', **keywords: Any
    ) -> CallerResponse:
        """Send a request as a caller and return the complete response."""
        assert self.application is not None
        assert self.caller is not None
        address = self.application.settings.listen.caller
        headers = {
            'Host': HOST,
            'Request-Id': 'r-1',
            'Affinity-Key': '17',
            'Deadline-Milliseconds': '1500',
            **keywords.pop('headers', {}),
        }
        url = yarl.URL(f'http://{address}{path}', encoded=True)
        async with self.caller.request(
            method, url, headers=headers, **keywords
        ) as response:
            return CallerResponse(
                response.status, dict(response.headers), await response.read()
            )

    async def get(self, listener: str, path: str) -> CallerResponse:
        """Send a GET to the readiness or directory address."""
        assert self.application is not None
        assert self.caller is not None
        address = getattr(self.application.settings.listen, listener)
        async with self.caller.get(f'http://{address}{path}') as response:
            return CallerResponse(
                response.status, dict(response.headers), await response.read()
            )
