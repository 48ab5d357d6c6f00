"""Client of the platform's object store and VM list, with typed failures."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Literal, TypeVar

import aiohttp
from pydantic import TypeAdapter
from returns.result import Failure, Result, Success

from daisylift_node.config import PlatformSettings
from daisylift_node.connection.bounded_body import read_body
from daisylift_node.platform import StoreClient
from daisylift_node.process.metrics import Metrics
from daisylift_node.version.documents import (
    ConflictError,
    DocumentChange,
    DocumentListing,
    HistoryGoneError,
    NotExecutedError,
    NotFoundError,
    StoredDocument,
    StoreError,
)
from daisylift_node.version.json_reader import read_json

MAX_VALUE_BYTES = 1024 * 1024
MAX_LIST_BYTES = 32 * 1024 * 1024
MAX_REASON_CHARACTERS = 200
VMS_PATH = '/v1/vms'
RawT = TypeVar('RawT')
ValueT = TypeVar('ValueT')


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object in the platform's store; versions increase store-wide."""

    kind: str
    name: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class Listing:
    """The objects of a kind at one revision of the store, in the store's era."""

    revision: int
    objects: tuple[StoredObject, ...]
    era: int = 0


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change of an object."""

    type: Literal['put', 'delete']
    object: StoredObject


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """The changes since a revision, and the revision after the last of them."""

    revision: int
    events: tuple[WatchEvent, ...]


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM in the platform's VM list, which lags behind the actual state."""

    id: str
    failure_domain: str
    state: str  # 'running' or 'leaving'


@dataclass(frozen=True, slots=True)
class VmList:
    """All VMs that the platform lists."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """The condition of a write did not hold; ``current`` is the stored object."""

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Missing:
    """There is no such object."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call had no effect: the platform rejected it or was not reached."""

    reason: str


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The platform no longer has the changes since the revision of a watch."""

    reason: str


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The response was lost; a write may have taken effect."""

    reason: str


_VM_LIST = TypeAdapter(VmList)
PlatformFailure = Conflict | Missing | Unavailable | HistoryGone | Uncertain
JsonValue = Any


class PlatformClient:
    """Calls the platform; returns every failure as a typed result, raises none."""

    def __init__(self, settings: PlatformSettings, metrics: Metrics) -> None:
        self._url = str(settings.url).rstrip('/')
        self._timeout_seconds = settings.timeout_seconds
        self._store = StoreClient(self._url, settings.timeout_seconds)
        self._metrics = metrics
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pools."""
        self._session = aiohttp.ClientSession()
        await self._store.start()

    async def stop(self) -> None:
        """Close the connection pools."""
        await self._store.stop()
        if self._session is not None:
            await self._session.close()

    @property
    def era(self) -> int:
        """The era of the store: it increases when the store is back from a copy."""
        return self._store.era

    async def get(self, kind: str, name: str) -> Result[StoredObject, PlatformFailure]:
        """Read one object."""
        return await self._call(
            'get', kind, self._store.get(kind, name), _stored_object
        )

    async def list(
        self, kind: str, after: str = '', limit: int = 1000
    ) -> Result[Listing, PlatformFailure]:
        """Read up to ``limit`` objects of the kind that follow ``after``, by name."""
        return await self._call(
            'list', kind, self._store.list(kind, after, limit), _listing
        )

    async def create(
        self, kind: str, name: str, value: JsonValue
    ) -> Result[StoredObject, PlatformFailure]:
        """Create an object that must not exist yet."""
        if _is_too_large(value):
            return Failure(VALUE_TOO_LARGE)
        return await self._call(
            'create', kind, self._store.create(kind, name, value), _stored_object
        )

    async def update(
        self, kind: str, name: str, value: JsonValue, version: int
    ) -> Result[StoredObject, PlatformFailure]:
        """Replace an object that must still be at the version."""
        if _is_too_large(value):
            return Failure(VALUE_TOO_LARGE)
        call = self._store.update(kind, name, value, version)
        return await self._call('update', kind, call, _stored_object)

    async def delete(
        self, kind: str, name: str, version: int
    ) -> Result[None, PlatformFailure]:
        """Delete an object that must still be at the version."""
        call = self._store.delete(kind, name, version)
        return await self._call('delete', kind, call, lambda _kind, _none: None)

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[WatchBatch, PlatformFailure]:
        """Wait for changes of a kind after the revision, at most ``wait_seconds``."""
        return await self._call(
            'watch',
            kind,
            self._store.watch(kind, revision, wait_seconds),
            lambda kind, batch: WatchBatch(
                revision=batch.revision,
                events=tuple(_watch_event(kind, each) for each in batch.changes),
            ),
        )

    async def list_vms(self) -> Result[tuple[Vm, ...], PlatformFailure]:
        """Read the list of live and leaving VMs."""
        return await self._call('list_vms', '', self._read_vms(), lambda _, vms: vms)

    async def _call(
        self,
        call: str,
        kind: str,
        awaitable: Awaitable[RawT],
        translate: Callable[[str, RawT], ValueT],
    ) -> Result[ValueT, PlatformFailure]:
        result: Result[ValueT, PlatformFailure]
        try:
            result = Success(translate(kind, await awaitable))
        except StoreError as error:
            result = Failure(_failure(kind, error))
        label = 'ok'
        if isinstance(result, Failure):
            label = type(result.failure()).__name__.lower()
        self._metrics.platform_calls.labels(call=call, result=label).inc()
        return result

    async def _read_vms(self) -> tuple[Vm, ...]:
        if self._session is None:
            raise NotExecutedError('the client has not been started')
        timeout = aiohttp.ClientTimeout(total=self._timeout_seconds)
        try:
            async with self._session.get(
                self._url + VMS_PATH, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise NotExecutedError(f'VM list: status {response.status}')
                content = await read_body(response, MAX_LIST_BYTES)
            return _VM_LIST.validate_python(read_json(content)).vms
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # A list without one of its VMs would give up the VM's ordinal.
            raise StoreError(f'VM list: {error!r}'[:MAX_REASON_CHARACTERS]) from error


VALUE_TOO_LARGE = Unavailable(reason='the value is over a megabyte')


def _is_too_large(value: JsonValue) -> bool:
    return len(json.dumps(value).encode()) > MAX_VALUE_BYTES


def _failure(kind: str, error: StoreError) -> PlatformFailure:
    if isinstance(error, ConflictError):
        current = error.current
        return Conflict(None if current is None else _stored_object(kind, current))
    if isinstance(error, NotFoundError):
        return Missing()
    if isinstance(error, HistoryGoneError):
        return HistoryGone(reason=str(error))
    if isinstance(error, NotExecutedError):
        return Unavailable(reason=str(error))
    return Uncertain(reason=str(error))


def _stored_object(kind: str, document: StoredDocument) -> StoredObject:
    return StoredObject(kind, document.name, document.revision, document.body)


def _listing(kind: str, listing: DocumentListing) -> Listing:
    return Listing(
        revision=listing.revision,
        objects=tuple(_stored_object(kind, each) for each in listing.documents),
        era=listing.era,
    )


def _watch_event(kind: str, change: DocumentChange) -> WatchEvent:
    return WatchEvent(
        type='delete' if change.deleted else 'put',
        object=_stored_object(kind, change.document),
    )
