"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from lab.http import Message, read_message, response_bytes

OBJECTS = '/-/objects/'
Reply = tuple[int, Any]


@dataclass(slots=True)
class Store:
    """Objects by kind and name, with revisions, lists and watches.

    While ``is_silent``, a call that arrives gets no answer, and neither does anything
    that follows on its connection. Watches that were waiting before go on.
    """

    is_silent: bool = False
    port: int = 0
    host: str = '127.0.0.1'
    swallowed_calls: int = 0
    _revision: int = 1
    _objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    _events: list[tuple[int, str, dict[str, Any]]] = field(default_factory=list)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def write(self, kind: str, name: str, specification: Any) -> dict[str, Any]:
        """Store an object, as its writer does, and return it."""
        self._revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'created': self._revision,
                'finalizers': [],
                'deletion_timestamp': False,
            },
            'specification': specification,
            'status': None,
        }
        self._objects[kind, name] = stored
        self._record(kind, {'object': stored, 'deleted': False})
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._revision += 1
        stored = self._objects.pop((kind, name))
        self._record(kind, {'object': stored, 'deleted': True})

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._serve_calls(reader, writer)
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _serve_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (call := await read_message(reader)) is not None:
            if self.is_silent:
                self.swallowed_calls += 1
                await reader.read()
                return
            status, content = await self._answer(call)
            body = b'' if content is None else json.dumps(content).encode()
            headers = {'Content-Type': 'application/json'}
            writer.write(response_bytes(status, headers, body))
            await writer.drain()

    async def _answer(self, call: Message) -> Reply:
        parts = urlsplit(call.target)
        kind, _, name = unquote(parts.path.removeprefix(OBJECTS)).partition('/')
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if call.method == 'GET' and 'watch' in query:
            wait_seconds = int(query.get('wait_ms', '0')) / 1000.0
            return await self._watch(kind, int(query['watch']), wait_seconds)
        if call.method == 'GET' and not name:
            return self._list(kind, query.get('after', ''))
        document = json.loads(call.body) if call.body else {}
        if call.method == 'POST':
            name = document['metadata']['name']
        current = self._objects.get((kind, name))
        if call.method == 'POST' and current is None:
            return 200, self.write(kind, name, document['specification'])
        if call.method == 'POST':
            return 409, current
        if current is None:
            return 404, None
        revision = document.get('metadata', {}).get('revision', query.get('revision'))
        return self._change(call.method, kind, name, revision, document)

    def _change(
        self, method: str, kind: str, name: str, revision: Any, document: dict[str, Any]
    ) -> Reply:
        current = self._objects[kind, name]
        if revision is not None and int(revision) != current['metadata']['revision']:
            return 409, current
        if method == 'PUT' and document['specification'] != current['specification']:
            return 200, self.write(kind, name, document['specification'])
        if method == 'DELETE':
            self.remove(kind, name)
        return 200, current

    def _list(self, kind: str, after: str) -> Reply:
        items = [
            stored
            for (each, name), stored in sorted(self._objects.items())
            if each == kind and name > after
        ]
        return 200, {'items': items, 'more': False, 'at': self._revision}

    async def _watch(self, kind: str, revision: int, wait_seconds: float) -> Reply:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_seconds
        while True:
            events = [
                event
                for at, each, event in self._events
                if each == kind and at > revision
            ]
            remaining = ends_at - loop.time()
            if events or remaining <= 0.0:
                return 200, {'events': events, 'at': self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)
