"""A stand-in for the platform: object API and VM list, with faults to switch on.

Run it as a process with ``python -m tests.fakes.platform --port PORT``.
"""

import argparse
import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

MAX_VALUE_BYTES = 1024 * 1024
RATE_WINDOW_SECONDS = 1.0


@dataclass(slots=True)
class Faults:
    """What is wrong with the platform at the moment.

    ``lose_answers`` counts the writes that will take effect while their answer is
    cut off; ``delay_seconds`` slows every call down.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0


@dataclass(slots=True)
class Limits:
    """The most calls of a sort in a second; 0 means no limit."""

    writes_per_second: int = 0
    reads_per_second: int = 0


@dataclass(slots=True)
class FakePlatform:
    """The state of the store, and its HTTP application."""

    faults: Faults = field(default_factory=Faults)
    limits: Limits = field(default_factory=Limits)
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    vms: list[dict[str, str]] = field(default_factory=list)
    revision: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    _recent: dict[str, list[float]] = field(default_factory=dict)

    def application(self) -> web.Application:
        """Return the HTTP application that serves the store."""
        application = web.Application(
            middlewares=[self._with_faults], client_max_size=2 * MAX_VALUE_BYTES
        )
        application.add_routes(
            [
                web.get('/v1/objects/{kind}/{name}', self._get),
                web.get('/v1/objects/{kind}', self._list),
                web.put('/v1/objects/{kind}/{name}', self._put),
                web.delete('/v1/objects/{kind}/{name}', self._delete),
                web.get('/v1/watch/{kind}', self._watch),
                web.get('/v1/vms', self._vms),
                web.post('/control', self._control),
                web.get('/control', self._state),
            ]
        )
        return application

    @web.middleware
    async def _with_faults(self, request: web.Request, handler: Any) -> Any:
        if request.path == '/control':
            return await handler(request)
        self.calls[f'{request.method} {request.path.split("/")[2]}'] += 1
        if self.faults.down:
            raise web.HTTPServiceUnavailable
        if self.faults.delay_seconds:
            await request.read()  # so that the call lands, though its caller gave up
            await asyncio.sleep(self.faults.delay_seconds)
        self._check_rate(request.method)
        response = await handler(request)
        if request.method in ('PUT', 'DELETE') and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return response

    def _check_rate(self, method: str) -> None:
        is_write = method in ('PUT', 'DELETE')
        limit = self.limits.reads_per_second
        if is_write:
            limit = self.limits.writes_per_second
        if limit == 0:
            return
        now = time.monotonic()
        recent = self._recent.setdefault('write' if is_write else 'read', [])
        recent[:] = [at for at in recent if at > now - RATE_WINDOW_SECONDS]
        if len(recent) >= limit:
            raise web.HTTPTooManyRequests
        recent.append(now)

    async def _get(self, request: web.Request) -> web.Response:
        found = self.objects.get(_key(request))
        if found is None:
            raise web.HTTPNotFound
        return web.json_response(found)

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        after = request.query.get('after', '')
        limit = int(request.query.get('limit', '1000'))
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        objects = [self.objects[kind, name] for name in names[:limit]]
        return web.json_response({'revision': self.revision, 'objects': objects})

    async def _put(self, request: web.Request) -> web.Response:
        content = await request.read()
        if len(content) > MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(content))
        key = _key(request)
        current = self.objects.get(key)
        if not _condition_holds(request, current):
            return web.json_response(current, status=412)
        return web.json_response(self.write(*key, json.loads(content)))

    def write(self, kind: str, name: str, value: Any) -> dict[str, Any]:
        """Store a value whatever is there, and return the object."""
        self.revision += 1
        stored = {'kind': kind, 'name': name, 'version': self.revision, 'value': value}
        self.objects[kind, name] = stored
        self._note('put', stored)
        return stored

    async def _delete(self, request: web.Request) -> web.Response:
        key = _key(request)
        current = self.objects.get(key)
        if current is None:
            raise web.HTTPNotFound
        if not _condition_holds(request, current):
            return web.json_response(current, status=412)
        self.revision += 1
        del self.objects[key]
        self._note('delete', current)
        return web.Response(status=204)

    def _note(self, event_type: str, stored: dict[str, Any]) -> None:
        event = {'type': event_type, 'object': stored, 'revision': self.revision}
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _watch(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        revision = int(request.query.get('revision', '0'))
        deadline = time.monotonic() + float(request.query.get('timeout', '10'))
        while True:
            events = self._events_after(kind, revision)
            left = deadline - time.monotonic()
            if events or left <= 0 or self.faults.down:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue
        if self.faults.down:
            raise web.HTTPServiceUnavailable
        return web.json_response({'revision': self.revision, 'events': events})

    def _events_after(self, kind: str, revision: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self.events
            if event['revision'] > revision and event['object']['kind'] == kind
        ]

    async def _vms(self, _: web.Request) -> web.Response:
        return web.json_response({'vms': self.vms})

    async def _control(self, request: web.Request) -> web.Response:
        """Set faults, limits or the VM list from a JSON document."""
        document = await request.json()
        for name, value in document.get('faults', {}).items():
            setattr(self.faults, name, value)
        for name, value in document.get('limits', {}).items():
            setattr(self.limits, name, value)
        self.vms = document.get('vms', self.vms)
        self.changed.set()
        self.changed = asyncio.Event()
        return web.json_response({})

    async def _state(self, _: web.Request) -> web.Response:
        return web.json_response({'calls': self.calls, 'revision': self.revision})


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info['kind'], request.match_info['name']


def _condition_holds(request: web.Request, current: dict[str, Any] | None) -> bool:
    if request.headers.get('If-None-Match') == '*':
        return current is None
    expected = request.headers.get('If-Match')
    if expected is None:
        return False
    return current is not None and expected == f'"{current["version"]}"'


def main() -> None:
    """Serve the stand-in until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--vms', default='[]', help='the VM list, as JSON')
    arguments = parser.parse_args()
    platform = FakePlatform(vms=json.loads(arguments.vms))
    web.run_app(
        platform.application(),
        host='127.0.0.1',
        port=arguments.port,
        print=None,
        shutdown_timeout=0.1,
        access_log=None,
    )


if __name__ == '__main__':
    main()
