"""Lets an entry VM that has started learn from peers which requests crash servers.

Notices of crashes are sent for seconds only. A VM that starts later asks the first
peers that it hears from, over HTTP.
"""

import asyncio
import math
from typing import Any

import aiohttp
from aiohttp import web
from loguru import logger

from daisylift.decisions.poison_requests import (
    DIGEST_BYTES,
    MAX_CRASH_IDS,
    MAX_DIGESTS,
    KnownCrashes,
)
from daisylift_node.connection.bounded_body import read_body
from daisylift_node.process.poison_requests import CRASH_ID_BITS, PoisonRequestRegister
from daisylift_node.version.json_reader import read_json

POISON_KIND = 'poison-requests'
PEERS_ASKED = 3  # one may have started just before
MAX_TRIES = 12
MAX_BYTES = 2 * 1024 * 1024  # MAX_DIGESTS entries


class PoisonCopies:
    """Serves what this VM knows, and fetches what some peers know after a start."""

    def __init__(self, register: PoisonRequestRegister) -> None:
        self._register = register
        self._asked: set[str] = set()
        self._tries = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def fetch_after_start(self, session: aiohttp.ClientSession, url: str) -> None:
        """Ask the peer, unless it or enough others have been asked."""
        if (
            url in self._asked
            or len(self._asked) >= PEERS_ASKED
            or self._tries >= MAX_TRIES
        ):
            return
        self._asked.add(url)
        self._tries += 1
        task = asyncio.create_task(self._fetch(session, url))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel the fetches."""
        for task in self._tasks:
            task.cancel()

    def response(self) -> web.Response:
        """Return all that this VM knows."""
        known = self._register.known_crashes()
        return web.json_response({'crashes': [_entry(each) for each in known]})

    async def _fetch(self, session: aiohttp.ClientSession, url: str) -> None:
        try:
            async with session.get(f'{url}/copies/{POISON_KIND}') as response:
                if response.status == web.HTTPNotFound.status_code:
                    return  # a peer of an older version
                content = await read_body(response, MAX_BYTES)
            crashes = _read_crashes(read_json(content))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self._asked.discard(url)
            logger.bind(peer=url, reason=repr(error)).warning(
                'poison requests not fetched from the peer'
            )
            return
        self._register.learn(crashes)
        logger.bind(peer=url, crashes=len(crashes)).info(
            'poison requests fetched from a peer'
        )


def _entry(known: KnownCrashes) -> list[Any]:
    return [
        known.digest.hex(),
        [f'{each:x}' for each in known.ids],  # readers may limit numbers
        round(known.remaining_seconds, 3),
        round(known.seconds_since_crash, 3),
    ]


def _read_crashes(document: Any) -> list[KnownCrashes]:
    """Return the entries; raise ValueError if one is not valid."""
    try:
        return [_read_entry(*entry) for entry in document['crashes'][:MAX_DIGESTS]]
    except (KeyError, OverflowError, TypeError) as error:
        raise ValueError(f'invalid copy: {error}') from error


def _read_entry(
    digest: str, ids: list[str], remaining: float, since_crash: float
) -> KnownCrashes:
    known = KnownCrashes(
        bytes.fromhex(digest),
        tuple(int(each, 16) for each in ids),
        float(remaining),
        float(since_crash),
    )
    are_ids = all(0 < each < 2**CRASH_ID_BITS for each in known.ids)
    are_finite = math.isfinite(known.remaining_seconds) and math.isfinite(
        known.seconds_since_crash
    )
    if len(known.digest) != DIGEST_BYTES or len(known.ids) > MAX_CRASH_IDS:
        raise ValueError('invalid copy: a digest or its crashes')
    if not are_ids or not are_finite:
        raise ValueError('invalid copy: the id or the time of a crash')
    return known
