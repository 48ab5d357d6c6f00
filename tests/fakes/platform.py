"""Fake platform with an object store and a VM list, and with switchable faults.

The store implements the platform's published protocol: objects by kind and name,
conditional writes, paged lists, watches with history, and error responses. It can come
back from an older copy of itself, in a new era.

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
PAGE_ITEMS = 500
MAX_WAIT_SECONDS = 30.0
WRITES = ('POST', 'PUT', 'DELETE')


@dataclass(frozen=True, slots=True)
class RawJson:
    """Bytes that stand in responses as they are, in the place of a JSON value."""

    content: bytes


def encode_json(value: Any) -> bytes:
    """Return the value as JSON, with the bytes of each RawJson in its place."""
    raw: list[bytes] = []

    def placeholder(found: RawJson) -> str:
        raw.append(found.content)
        return f'raw-json-{len(raw) - 1}'

    text = json.dumps(value, default=placeholder).encode()
    for number, content in enumerate(raw):
        text = text.replace(f'"raw-json-{number}"'.encode(), content, 1)
    return text


@dataclass(slots=True)
class Faults:
    """The active faults of the platform.

    ``lose_answers`` is the number of coming writes that take effect but whose
    connection is aborted before the response; ``deaf_watches`` makes watches report
    no events; ``delay_seconds`` delays every call.
    """

    down: bool = False
    status: int = 0
    silent: bool = False
    reset: bool = False
    deaf_watches: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0


@dataclass(slots=True)
class Limits:
    """Rate limits for writes and reads; 0 means no limit."""

    writes_per_second: int = 0
    reads_per_second: int = 0


@dataclass(frozen=True, slots=True)
class StoreEvent:
    """One change to the store."""

    revision: int
    kind: str
    stored: dict[str, Any]
    deleted: bool
    at: float


@dataclass(slots=True)
class FakePlatform:
    """The state of the store, and its HTTP application."""

    faults: Faults = field(default_factory=Faults)
    limits: Limits = field(default_factory=Limits)
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    events: list[StoreEvent] = field(default_factory=list)
    vms: list[dict[str, str]] = field(default_factory=list)
    revision: int = 1
    era: int = 1
    history_from: int = 0
    port: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    _recent: dict[str, list[float]] = field(default_factory=dict)
    _runner: web.AppRunner | None = None

    def application(self) -> web.Application:
        """Return the HTTP application that serves the store."""
        application = web.Application(
            middlewares=[self._with_faults], client_max_size=2 * MAX_VALUE_BYTES
        )
        application.add_routes(
            [
                web.get('/-/objects/{kind}', self._list_or_watch),
                web.post('/-/objects/{kind}', self._create),
                web.get('/-/objects/{kind}/{name}', self._get),
                web.put('/-/objects/{kind}/{name}', self._put),
                web.delete('/-/objects/{kind}/{name}', self._delete),
                web.get('/v1/vms', self._vms),
                web.post('/control', self._control),
                web.get('/control', self._state),
            ]
        )
        application.on_response_prepare.append(self._name_era)
        return application

    async def start(self) -> None:
        """Listen on a free loopback port, inside the process of the test."""
        self._runner = web.AppRunner(
            self.application(), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', 0).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def discard_history(self) -> None:
        """Discard the history, so that watches from older revisions get status 410."""
        self.history_from = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, revision: int) -> None:
        """Come back from the copy that was made at the revision, in the next era.

        Later changes are lost, their revisions are given out again, and the connections
        of waiting watches break.
        """
        self.events = [each for each in self.events if each.revision <= revision]
        self.objects = {}
        for event in self.events:
            key = event.kind, event.stored['metadata']['name']
            self.objects.pop(key, None)
            if not event.deleted:
                self.objects[key] = event.stored
        self.revision = revision
        self.history_from = min(self.history_from, revision)
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def revision_before(self, seconds: float) -> int:
        """Return the revision that the store had so many seconds ago."""
        then = time.monotonic() - seconds
        return max(
            (each.revision for each in self.events if each.at <= then), default=1
        )

    async def _name_era(self, _: web.Request, response: web.StreamResponse) -> None:
        response.headers['Store-Era'] = str(self.era)

    @web.middleware
    async def _with_faults(self, request: web.Request, handler: Any) -> Any:
        if request.path == '/control':
            return await handler(request)
        self.calls[f'{request.method} {request.path.split("/")[2]}'] += 1
        if self.faults.down:
            raise web.HTTPServiceUnavailable
        if self.faults.silent:
            await asyncio.sleep(MAX_WAIT_SECONDS)
        if self.faults.reset:
            request.transport.abort()
        if self.faults.status:
            return web.Response(status=self.faults.status)
        if self.faults.delay_seconds:
            # Read now, so that the call takes effect even if the client times out.
            await request.read()
            await asyncio.sleep(self.faults.delay_seconds)
        self._check_rate(request.method)
        response = await handler(request)
        if request.method in WRITES and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return response

    def _check_rate(self, method: str) -> None:
        is_write = method in WRITES
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

    async def _list_or_watch(self, request: web.Request) -> web.Response:
        if 'watch' in request.query:
            return await self._watch(request)
        kind = request.match_info['kind']
        after = request.query.get('after', '')
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        return _json_response(
            {
                'items': [self.objects[kind, name] for name in names[:PAGE_ITEMS]],
                'more': len(names) > PAGE_ITEMS,
                'at': self.revision,
            }
        )

    async def _create(self, request: web.Request) -> web.Response:
        document = await _read_document(request)
        key = request.match_info['kind'], document['metadata']['name']
        if key in self.objects:
            return web.json_response(self.objects[key], status=409)
        return web.json_response(self.write(*key, document['specification']))

    async def _put(self, request: web.Request) -> web.Response:
        document = await _read_document(request)
        current = self.objects.get(_key(request))
        if current is None:
            raise web.HTTPNotFound
        if not _is_at(current, document['metadata'].get('revision')):
            return web.json_response(current, status=409)
        if current['specification'] == document['specification']:
            return web.json_response(current)
        stored = self.write(*_key(request), document['specification'])
        return web.json_response(stored)

    def write(self, kind: str, name: str, specification: Any) -> dict[str, Any]:
        """Store an object unconditionally and return it."""
        self.revision += 1
        metadata = {'name': name, 'revision': self.revision, 'finalizers': []}
        stored = {'metadata': metadata, 'specification': specification, 'status': None}
        self.objects[kind, name] = stored
        self._record_event(kind, stored, deleted=False)
        return stored

    def write_object(self, kind: str, name: str, stored: Any) -> None:
        """Store an object that has this form as a whole, under the name."""
        self.revision += 1
        self.objects[kind, name] = stored
        self._record_event(kind, stored, deleted=False)

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Delete an object and return it."""
        self.revision += 1
        stored = self.objects.pop((kind, name))
        self._record_event(kind, stored, deleted=True)
        return stored

    async def _delete(self, request: web.Request) -> web.Response:
        current = self.objects.get(_key(request))
        if current is None:
            raise web.HTTPNotFound
        revision = request.query.get('revision')
        if not _is_at(current, None if revision is None else int(revision)):
            return web.json_response(current, status=409)
        return web.json_response(self.remove(*_key(request)))

    def _record_event(
        self, kind: str, stored: dict[str, Any], *, deleted: bool
    ) -> None:
        event = StoreEvent(self.revision, kind, stored, deleted, time.monotonic())
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _watch(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        revision = int(request.query['watch'])
        wait_seconds = int(request.query.get('wait_ms', '0')) / 1000.0
        deadline = time.monotonic() + wait_seconds
        era = self.era
        while True:
            if era != self.era and request.transport is not None:
                request.transport.abort()
            if not self.history_from <= revision <= self.revision:
                return web.Response(status=410)
            events = self._events_after(kind, revision)
            left = deadline - time.monotonic()
            if self.faults.deaf_watches:
                events = []
            if events or left <= 0 or self.faults.down:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue
        if self.faults.down:
            raise web.HTTPServiceUnavailable
        at = revision if self.faults.deaf_watches else self.revision
        return _json_response({'at': at, 'events': events})

    def _events_after(self, kind: str, revision: int) -> list[dict[str, Any]]:
        return [
            {'object': event.stored, 'deleted': event.deleted}
            for event in self.events
            if event.revision > revision and event.kind == kind
        ]

    async def _vms(self, _: web.Request) -> web.Response:
        return web.json_response({'vms': self.vms})

    async def _control(self, request: web.Request) -> web.Response:
        """Set faults, limits or the VM list, or restore, from the JSON body.

        ``restore_seconds`` is the age of the copy from which the store comes back.
        """
        document = await request.json()
        if 'restore_seconds' in document:
            self.restore(self.revision_before(document['restore_seconds']))
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


def _json_response(content: Any) -> web.Response:
    return web.Response(body=encode_json(content), content_type='application/json')


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info['kind'], request.match_info['name']


async def _read_document(request: web.Request) -> dict[str, Any]:
    content = await request.read()
    if len(content) > MAX_VALUE_BYTES:
        raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(content))
    document: dict[str, Any] = json.loads(content)
    return document


def _is_at(stored: dict[str, Any], revision: int | None) -> bool:
    return revision is None or revision == stored['metadata']['revision']


def main() -> None:
    """Serve the fake platform until interrupted."""
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
