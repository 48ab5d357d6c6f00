"""The client of the platform's object API and VM list."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Literal

import aiohttp
from returns.result import Failure, Result, Success

from daisylift_node.config import PlatformSettings
from daisylift_node.connection.send_once import SendOnce
from daisylift_node.process.metrics import Metrics

MAX_VALUE_BYTES = 1024 * 1024
WATCH_MARGIN_SECONDS = 2.0
HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412
HTTP_TOO_LARGE = 413
HTTP_TOO_MANY_REQUESTS = 429


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as the platform holds it; the version rises over the whole store."""

    kind: str
    name: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class Listing:
    """The objects of a kind at one revision of the store."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change of an object: put or delete."""

    type: Literal['put', 'delete']
    object: StoredObject


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """The changes after a revision, and the revision they lead to."""

    revision: int
    events: tuple[WatchEvent, ...]


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM as the platform's list, which lags, tells of it."""

    id: str
    failure_domain: str
    state: Literal['running', 'leaving']


@dataclass(frozen=True, slots=True)
class Conflict:
    """The condition of a write did not hold; ``current`` is what is there."""

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Missing:
    """There is no such object."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform answered that it did not do it, or was never reached."""

    reason: str


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The answer was lost; a write may have taken effect."""

    reason: str


PlatformFailure = Conflict | Missing | Unavailable | Uncertain
JsonValue = Any


class PlatformClient:
    """Calls the platform; every failure is a typed result, never an exception."""

    def __init__(self, settings: PlatformSettings, metrics: Metrics) -> None:
        self._url = str(settings.url).rstrip('/')
        self._timeout_seconds = settings.timeout_seconds
        self._metrics = metrics
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession()

    async def stop(self) -> None:
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()

    async def get(self, kind: str, name: str) -> Result[StoredObject, PlatformFailure]:
        """Read one object."""
        answer = await self._call('get', 'GET', f'/v1/objects/{kind}/{name}')
        return answer.map(_stored_object)

    async def list(
        self, kind: str, after: str = '', limit: int = 1000
    ) -> Result[Listing, PlatformFailure]:
        """Read the objects of a kind by name, those after a name, up to a limit."""
        params = {'after': after, 'limit': str(limit)}
        answer = await self._call('list', 'GET', f'/v1/objects/{kind}', params=params)
        return answer.map(_listing)

    async def create(
        self, kind: str, name: str, value: JsonValue
    ) -> Result[StoredObject, PlatformFailure]:
        """Write an object that must not exist yet."""
        headers = {'If-None-Match': '*'}
        path = f'/v1/objects/{kind}/{name}'
        answer = await self._call('create', 'PUT', path, headers=headers, body=value)
        return answer.map(_stored_object)

    async def update(
        self, kind: str, name: str, value: JsonValue, version: int
    ) -> Result[StoredObject, PlatformFailure]:
        """Write an object that must still be at the version."""
        headers = {'If-Match': f'"{version}"'}
        path = f'/v1/objects/{kind}/{name}'
        answer = await self._call('update', 'PUT', path, headers=headers, body=value)
        return answer.map(_stored_object)

    async def delete(
        self, kind: str, name: str, version: int
    ) -> Result[None, PlatformFailure]:
        """Delete an object that must still be at the version."""
        headers = {'If-Match': f'"{version}"'}
        path = f'/v1/objects/{kind}/{name}'
        answer = await self._call('delete', 'DELETE', path, headers=headers)
        return answer.map(lambda _: None)

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[WatchBatch, PlatformFailure]:
        """Wait for changes of a kind after the revision, at most the given time."""
        params = {'revision': str(revision), 'timeout': str(wait_seconds)}
        answer = await self._call(
            'watch',
            'GET',
            f'/v1/watch/{kind}',
            params=params,
            timeout_seconds=wait_seconds + WATCH_MARGIN_SECONDS,
        )
        return answer.map(_watch_batch)

    async def list_vms(self) -> Result[tuple[Vm, ...], PlatformFailure]:
        """Read the list of live and leaving VMs."""
        answer = await self._call('list_vms', 'GET', '/v1/vms')
        return answer.map(_vms)

    async def _call(
        self,
        call: str,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        body: JsonValue = None,
        timeout_seconds: float | None = None,
    ) -> Result[Any, PlatformFailure]:
        result = await self._exchange(
            method,
            path,
            params=params,
            headers=headers,
            data=None if body is None else json.dumps(body).encode(),
            timeout_seconds=timeout_seconds or self._timeout_seconds,
        )
        label = 'ok'
        if isinstance(result, Failure):
            label = type(result.failure()).__name__.lower()
        self._metrics.platform_calls.labels(call=call, result=label).inc()
        return result

    async def _exchange(
        self,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None,
        headers: dict[str, str] | None,
        data: bytes | None,
        timeout_seconds: float,
    ) -> Result[Any, PlatformFailure]:
        if data is not None and len(data) > MAX_VALUE_BYTES:
            return Failure(Unavailable(reason='the value is over a megabyte'))
        if self._session is None:
            return Failure(Unavailable(reason='the client is not started'))
        try:
            async with self._session.request(
                method,
                self._url + path,
                params=params,
                headers=headers,
                data=data,
                timeout=aiohttp.ClientTimeout(total=timeout_seconds),
                middlewares=(SendOnce(),),
            ) as response:
                return _judge(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            return Failure(Unavailable(reason=str(error)))
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            return Failure(Uncertain(reason=repr(error)))


def _judge(status: int, content: bytes) -> Result[Any, PlatformFailure]:
    if status < 300:
        return Success(json.loads(content) if content else None)
    if status == HTTP_NOT_FOUND:
        return Failure(Missing())
    if status == HTTP_PRECONDITION_FAILED:
        return Failure(Conflict(current=_current(content)))
    if status in (HTTP_TOO_LARGE, HTTP_TOO_MANY_REQUESTS, 503):
        return Failure(Unavailable(reason=f'status {status}'))
    return Failure(Uncertain(reason=f'status {status}'))


def _current(content: bytes) -> StoredObject | None:
    document = json.loads(content) if content else None
    return _stored_object(document) if document else None


def _stored_object(document: dict[str, Any]) -> StoredObject:
    return StoredObject(
        kind=document['kind'],
        name=document['name'],
        version=document['version'],
        value=document['value'],
    )


def _stored_objects(documents: Sequence[dict[str, Any]]) -> tuple[StoredObject, ...]:
    return tuple(_stored_object(document) for document in documents)


def _listing(document: dict[str, Any]) -> Listing:
    return Listing(
        revision=document['revision'], objects=_stored_objects(document['objects'])
    )


def _watch_batch(document: dict[str, Any]) -> WatchBatch:
    events = tuple(
        WatchEvent(type=event['type'], object=_stored_object(event['object']))
        for event in document['events']
    )
    return WatchBatch(revision=document['revision'], events=events)


def _vms(document: dict[str, Any]) -> tuple[Vm, ...]:
    return tuple(
        Vm(id=vm['id'], failure_domain=vm['failure_domain'], state=vm['state'])
        for vm in document['vms']
    )
