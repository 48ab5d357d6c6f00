"""A stand-in for the platform's object store, with faults to switch on.

It speaks the store's published protocol: objects by kind and name, conditional
changes, pages, watches with history, and the ways in which calls fail.
"""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

PAGE_ITEMS = 50
MAX_WAIT_SECONDS = 30.0


@dataclass(slots=True)
class StoreFaults:
    """What is wrong with the store at the moment."""

    status: int = 0
    silent: bool = False
    reset: bool = False
    deaf_watches: bool = False
    lose_answers: int = 0


@dataclass(slots=True)
class FakeObjectStore:
    """Holds objects in memory; revisions rise over all kinds."""

    faults: StoreFaults = field(default_factory=StoreFaults)
    revision: int = 1
    calls: int = 0
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    events: list[tuple[int, str, dict[str, Any]]] = field(default_factory=list)
    history_from: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    port: int = 0
    _runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._runner = web.ServerRunner(
            web.Server(self._handle), shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def write(self, kind: str, name: str, specification: Any) -> int:
        """Write an object as the operator or a backend server does."""
        self.revision += 1
        metadata = {'name': name, 'revision': self.revision, 'finalizers': []}
        stored = {'metadata': metadata, 'specification': specification, 'status': None}
        self.objects[kind, name] = stored
        self._tell(kind, {'object': stored, 'deleted': False})
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        stored = self.objects.pop((kind, name))
        self._tell(kind, {'object': stored, 'deleted': True})

    def forget_history(self) -> None:
        """Answer watches from before with 410 from now on."""
        self.history_from = self.revision
        self.changed.set()

    def _tell(self, kind: str, event: dict[str, Any]) -> None:
        self.events.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls += 1
        if self.faults.silent:
            await asyncio.sleep(MAX_WAIT_SECONDS)
        if self.faults.reset and request.transport is not None:
            request.transport.abort()
        if self.faults.status:
            return web.Response(status=self.faults.status)
        kind, _, name = request.path.removeprefix('/-/objects/').partition('/')
        response = await self._answer(request, kind, name)
        if request.method != 'GET' and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return response

    async def _answer(
        self, request: web.BaseRequest, kind: str, name: str
    ) -> web.Response:
        if request.method == 'GET' and not name:
            if 'watch' in request.query:
                return await self._watch(request, kind)
            return self._list(kind, request.query.get('after', ''))
        if request.method == 'GET':
            stored = self.objects.get((kind, name))
            return _json(stored) if stored else web.Response(status=404)
        if request.method == 'POST':
            return self._create(kind, json.loads(await request.read()))
        if request.method == 'PUT':
            return self._replace(kind, name, json.loads(await request.read()))
        return self._delete(kind, name, request.query.get('revision'))

    def _list(self, kind: str, after: str) -> web.Response:
        names = sorted(
            name for stored_kind, name in self.objects if stored_kind == kind
        )
        names = [name for name in names if name > after]
        items = [self.objects[kind, name] for name in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        return _json({'items': items, 'more': more, 'at': self.revision})

    async def _watch(self, request: web.BaseRequest, kind: str) -> web.Response:
        at = int(request.query['watch'])
        wait_seconds = int(request.query.get('wait_ms', '0')) / 1000.0
        deadline = asyncio.get_running_loop().time() + wait_seconds
        while True:
            if at < self.history_from:
                return web.Response(status=410)
            news = [
                event
                for revision, event_kind, event in self.events
                if revision > at and event_kind == kind
            ]
            if news and not self.faults.deaf_watches:
                return _json({'events': news, 'at': self.revision})
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0.0:
                return _json({'events': [], 'at': at})
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.02))
            except TimeoutError:
                continue

    def _create(self, kind: str, document: dict[str, Any]) -> web.Response:
        name = document['metadata']['name']
        if (kind, name) in self.objects:
            return _json(self.objects[kind, name], status=409)
        self.write(kind, name, document['specification'])
        return _json(self.objects[kind, name])

    def _replace(
        self, kind: str, name: str, document: dict[str, Any]
    ) -> web.Response:
        stored = self.objects.get((kind, name))
        if stored is None:
            return web.Response(status=404)
        expected = document['metadata'].get('revision')
        if expected is not None and expected != stored['metadata']['revision']:
            return _json(stored, status=409)
        if stored['specification'] != document['specification']:
            self.write(kind, name, document['specification'])
        return _json(self.objects[kind, name])

    def _delete(self, kind: str, name: str, expected: str | None) -> web.Response:
        stored = self.objects.get((kind, name))
        if stored is None:
            return web.Response(status=404)
        if expected is not None and int(expected) != stored['metadata']['revision']:
            return _json(stored, status=409)
        self.remove(kind, name)
        return _json(stored)


def _json(value: Any, status: int = 200) -> web.Response:
    return web.json_response(value, status=status)
