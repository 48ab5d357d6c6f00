"""The HTTP client of the platform's object store."""

import asyncio
import socket
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote

import aiohttp
from loguru import logger
from yarl import URL

from daisylift.decisions.watch_margin import WatchMargin
from daisylift_node.connection.bounded_body import read_body
from daisylift_node.connection.send_once import SendOnce
from daisylift_node.connection.sockets import enable_silence_detection
from daisylift_node.version.documents import (
    ConflictError,
    DocumentChange,
    DocumentChanges,
    DocumentListing,
    HistoryGoneError,
    NotExecutedError,
    NotFoundError,
    StoredDocument,
    StoreError,
)
from daisylift_node.version.json_reader import is_usable, read_json

OBJECTS_PATH = '/-/objects'
ERA_HEADER = 'Store-Era'
CALL_TIMEOUT_SECONDS = 1.5  # a call takes a few milliseconds under normal load
SILENCE_TIMEOUT_MS = 2000  # unacknowledged data closes the connection after this time
MAX_PAGES = 1000
MS_PER_SECOND = 1000
MAX_LOGGED_CHARACTERS = 80
MAX_ANSWER_BYTES = 32 * 1024 * 1024  # a page has 1 MB, a batch of changes may be longer
REPLACEMENT_CHARACTER = '\ufffd'  # in the place of bytes that are not UTF-8
NOT_EXECUTED_STATUSES = (
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)


EntryT = TypeVar('EntryT')


@dataclass(frozen=True, slots=True)
class _Response:
    content: dict[str, Any]
    era: int


class StoreClient:
    """Calls the store over HTTP and raises every failure as a StoreError.

    ``era`` is the latest era that a response named, or 0 before the first one.
    """

    def __init__(self, url: str, timeout_seconds: float = CALL_TIMEOUT_SECONDS) -> None:
        self.era = 0
        self._on_return: list[Callable[[], None]] = []
        self._base = url.rstrip('/') + OBJECTS_PATH
        self._timeout_seconds = timeout_seconds
        self._session: aiohttp.ClientSession | None = None
        self._watch_margin = WatchMargin()

    async def start(self) -> None:
        """Open the session; connections are opened by the first calls."""
        connector = aiohttp.TCPConnector(limit=0, socket_factory=_open_socket)
        self._session = aiohttp.ClientSession(connector=connector)

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def on_return(self, callback: Callable[[], None]) -> None:
        """Call the callback when the store is back from an older copy."""
        self._on_return.append(callback)

    async def get(self, kind: str, name: str) -> StoredDocument:
        """Return one object; raise NotFoundError if there is none."""
        return _required((await self._call('GET', _path(kind, name))).content)

    async def list(
        self, kind: str, after: str = '', limit: int | None = None
    ) -> DocumentListing:
        """Return up to ``limit`` objects of the kind that follow ``after``, by name.

        The result has the lowest revision of the pages read, so that a watch from
        it also reports objects that changed between two pages. Pages from before and
        after a return of the store from an older copy raise StoreError.
        """
        documents: list[StoredDocument] = []
        lowest: int | None = None
        era: int | None = None
        for _ in range(MAX_PAGES):
            query = {'after': after} if after else {}
            response = await self._call('GET', f'/{kind}', query=query)
            page = response.content
            if era not in (None, response.era):
                raise StoreError(f'the store came back while {kind} was listed')
            era = response.era
            items = _readable(kind, map(_document, _field(page, 'items', list)))
            documents.extend(items)
            revision = _field(page, 'at', int)
            lowest = revision if lowest is None else min(lowest, revision)
            is_full = limit is not None and len(documents) >= limit
            if is_full or not page.get('more'):
                return DocumentListing(lowest, tuple(documents[:limit]), era)
            previous, after = after, _last_name(items, after)
            if after == previous:
                logger.bind(kind=kind, after=after[:MAX_LOGGED_CHARACTERS]).error(
                    'the rest of the list left out: no name on the page can be read'
                )
                return DocumentListing(lowest, tuple(documents), era)
        raise StoreError(f'the list of {kind} does not end')

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> DocumentChanges:
        """Wait for changes after the revision, at most ``wait_seconds``.

        Raise HistoryGoneError if the store no longer has the changes since then.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_seconds
        try:
            response = await self._call(
                'GET',
                f'/{kind}',
                query={
                    'watch': str(revision),
                    'wait_ms': str(int(wait_seconds * MS_PER_SECOND)),
                },
                timeout_seconds=wait_seconds + self._watch_margin.seconds,
            )
        except StoreError as error:
            if isinstance(error.__cause__, TimeoutError):
                self._watch_margin.record_timeout()
            raise
        if loop.time() >= ends_at:
            self._watch_margin.record_answer(loop.time() - ends_at)
        events = map(_change, _field(response.content, 'events', list))
        return DocumentChanges(
            revision=_field(response.content, 'at', int),
            changes=tuple(_readable(kind, events)),
            era=response.era,
        )

    async def create(self, kind: str, name: str, body: Any) -> StoredDocument:
        """Create an object; raise ConflictError if it exists."""
        document = {'metadata': {'name': name}, 'specification': body}
        response = await self._call('POST', f'/{kind}', document=document)
        return _required(response.content)

    async def update(
        self, kind: str, name: str, body: Any, revision: int
    ) -> StoredDocument:
        """Replace an object; raise ConflictError unless it is at the revision."""
        metadata = {'name': name, 'revision': revision}
        document = {'metadata': metadata, 'specification': body}
        response = await self._call('PUT', _path(kind, name), document=document)
        return _required(response.content)

    async def put(self, kind: str, name: str, body: Any) -> None:
        """Create the object, or replace it if it exists."""
        try:
            await self.create(kind, name, body)
        except ConflictError:
            document = {'metadata': {'name': name}, 'specification': body}
            await self._call('PUT', _path(kind, name), document=document)

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Delete the object; raise ConflictError unless it is at the revision."""
        query = {'revision': str(revision)}
        await self._call('DELETE', _path(kind, name), query=query)

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        document: Mapping[str, Any] | None = None,
        timeout_seconds: float | None = None,
    ) -> _Response:
        if self._session is None:
            raise NotExecutedError('the client has not been started')
        timeout = aiohttp.ClientTimeout(
            total=timeout_seconds or self._timeout_seconds,
            sock_connect=self._timeout_seconds,
        )
        call = f'{method} {path}'
        try:
            async with self._session.request(
                method,
                URL(self._base + path, encoded=True),
                params=query,
                json=document,
                timeout=timeout,
                middlewares=(SendOnce(),),
            ) as response:
                era = _era(response.headers.get(ERA_HEADER, ''))
                self._record_era(call, era)
                content = await read_body(response, MAX_ANSWER_BYTES)
                return _Response(_read_response(call, response.status, content), era)
        except aiohttp.ClientConnectorError as error:
            raise NotExecutedError(f'{call}: {error}') from error
        except (aiohttp.ClientError, OSError) as error:
            reason = str(error) or type(error).__name__
            raise StoreError(f'{call}: {reason}') from error

    def _record_era(self, call: str, era: int) -> None:
        if era <= self.era:
            return
        previous, self.era = self.era, era
        if not previous:
            return
        logger.bind(call=call, era=era, previous=previous).warning(
            'store is back from an older copy: revisions are given out again'
        )
        for callback in self._on_return:
            callback()


def _era(text: str) -> int:
    """Return the era in the header, or 0 if it is absent or not a number."""
    try:
        return max(0, int(text))
    except ValueError:
        return 0


def _read_response(call: str, status: int, text: bytes) -> dict[str, Any]:
    if status in NOT_EXECUTED_STATUSES:
        raise NotExecutedError(f'{call}: status {status}')
    if status == HTTPStatus.GONE:
        raise HistoryGoneError(f'{call}: history is gone')
    if status == HTTPStatus.NOT_FOUND:
        raise NotFoundError(f'{call}: object not found')
    if status == HTTPStatus.CONFLICT:
        current = _document(_object(call, text)) if text else None
        raise ConflictError(f'{call}: object exists or has another revision', current)
    if status >= HTTPStatus.MULTIPLE_CHOICES:
        raise StoreError(f'{call}: status {status}')
    return _object(call, text) if text else {}


def _object(call: str, text: bytes) -> dict[str, Any]:
    try:
        response = read_json(text)
    except ValueError as error:
        raise StoreError(f'{call}: the answer is not JSON: {error}') from error
    if not isinstance(response, dict):
        raise StoreError(f'{call}: the answer is not an object')
    return response


def _field(response: Mapping[str, Any], name: str, kind: type) -> Any:
    value = response.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise StoreError(f'the answer has no usable {name}')
    return value


def _path(kind: str, name: str) -> str:
    return f'/{kind}/{quote(name, safe="", errors="replace")}'


def _document(item: Any) -> StoredDocument | None:
    """Return the object, or None if its name cannot be read.

    The body is None if it or the revision cannot be read.
    """
    metadata = item.get('metadata') if isinstance(item, dict) else None
    name = metadata.get('name') if isinstance(metadata, dict) else None
    if not isinstance(name, str):
        return None
    revision = metadata.get('revision')
    if not isinstance(revision, int) or isinstance(revision, bool):
        return StoredDocument(name, 0, None)
    body = item.get('specification')
    return StoredDocument(name, revision, body if is_usable(body) else None)


def _required(item: Any) -> StoredDocument:
    document = _document(item)
    if document is None:
        raise StoreError('the object of the answer can not be read')
    return document


def _change(event: Any) -> DocumentChange | None:
    if not isinstance(event, dict):
        return None
    document = _document(event.get('object'))
    if document is None:
        return None
    return DocumentChange(document=document, deleted=event.get('deleted') is True)


def _readable(kind: str, entries: Iterable[EntryT | None]) -> list[EntryT]:
    """Return the entries that can be read, and log how many can't."""
    found = list(entries)
    readable = [entry for entry in found if entry is not None]
    if len(readable) < len(found):
        logger.bind(kind=kind, count=len(found) - len(readable)).warning(
            'entries of the store left out: their names can not be read'
        )
    return readable


def _last_name(documents: Sequence[StoredDocument], after: str) -> str:
    """Return the name after which the next page begins, ``after`` if there is none."""
    names = (document.name for document in documents)
    return max((name for name in names if _is_exact(name)), default=after)


def _is_exact(name: str) -> bool:
    """Return whether the name is as stored, without bytes that were replaced."""
    return REPLACEMENT_CHARACTER not in name and not any(map(_is_surrogate, name))


def _is_surrogate(character: str) -> bool:
    return '\ud800' <= character <= '\udfff'


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    enable_silence_detection(opened, SILENCE_TIMEOUT_MS)
    return opened
