"""Stores pages of client blocks in the platform under the digest of their content."""

import asyncio
import base64
import binascii
from collections.abc import Callable

import xxhash
from loguru import logger
from returns.result import Failure, Success

from daisylift.decisions.blocks import (
    EMPTY_TABLE,
    BlockError,
    BlockTable,
    Page,
    decode_page,
    encode_page,
)
from daisylift.decisions.configuration import Configuration
from daisylift_node.process.platform import Conflict, PlatformClient, Uncertain

KIND = 'block-pages'
MAX_CONCURRENT_FETCHES = 4
RETRY_SECONDS = 2.0

TableListener = Callable[[BlockTable], None]


class BlockStore:
    """Keeps the block table in step with the pages that the configuration lists.

    Lookups use the previous table until all changed pages have been fetched.
    """

    def __init__(self, platform: PlatformClient, listener: TableListener) -> None:
        self.table = EMPTY_TABLE
        self._platform = platform
        self._listener = listener
        self._target_digests: dict[str, str] = {}
        self._loaded_digests: dict[str, str] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def is_loaded(self) -> bool:
        """Return whether the table has all pages of the configuration."""
        return self._target_digests == self._loaded_digests

    async def start(self) -> None:
        """Do nothing; pages are fetched when a configuration takes effect."""

    async def stop(self) -> None:
        """Cancel a fetch in progress."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def set_configuration(self, configuration: Configuration) -> None:
        """Fetch, in the background, the pages that the configuration lists."""
        self._target_digests = dict(configuration.blocks.digest_by_start)
        if not self.is_loaded and (self._task is None or self._task.done()):
            self._task = asyncio.create_task(self._load())

    async def write(self, page: Page) -> str | None:
        """Store a page; return its digest, or None if the store did not confirm it."""
        content = encode_page(page)
        digest = xxhash.xxh3_128_hexdigest(content)
        value = {'content': base64.b64encode(content).decode()}
        match await self._platform.create(KIND, digest, value):
            case Success() | Failure(Conflict()):
                return digest
            case Failure(Uncertain()):
                found = await self._platform.get(KIND, digest)
                return digest if isinstance(found, Success) else None
        return None

    async def _load(self) -> None:
        while not self.is_loaded:
            try:
                is_done = await self._load_changed_pages()
            except Exception:
                logger.exception('client block pages not loaded; will try again')
                is_done = False
            if not is_done:
                await asyncio.sleep(RETRY_SECONDS)

    async def _load_changed_pages(self) -> bool:
        """Fetch the changed pages and apply them together.

        Return False, with the table unchanged, if any page could not be fetched.
        """
        target = dict(self._target_digests)
        changed = [
            name
            for name, digest in target.items()
            if self._loaded_digests.get(name) != digest
        ]
        pages: dict[str, Page | None] = dict.fromkeys(
            self._loaded_digests.keys() - target
        )
        for first in range(0, len(changed), MAX_CONCURRENT_FETCHES):
            names = changed[first : first + MAX_CONCURRENT_FETCHES]
            found = await asyncio.gather(*(self._fetch(target[n]) for n in names))
            if None in found:
                return False
            pages.update(zip(names, found, strict=True))
        self.table = self.table.with_pages(pages)
        self._loaded_digests = target
        self._listener(self.table)
        return True

    async def _fetch(self, digest: str) -> Page | None:
        result = await self._platform.get(KIND, digest)
        if not isinstance(result, Success):
            return None
        try:
            content = base64.b64decode(result.unwrap().value['content'], validate=True)
            if xxhash.xxh3_128_hexdigest(content) != digest:
                raise BlockError('the content does not match its digest')
            return decode_page(content)
        except (BlockError, binascii.Error, KeyError, TypeError) as error:
            logger.error(
                'cannot decode client block page {}, will fetch it again: {}',
                digest,
                error,
            )
            return None
