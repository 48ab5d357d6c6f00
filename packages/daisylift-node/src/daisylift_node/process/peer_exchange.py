"""Gossip between entry VMs, and copies of the store for those that it turns away.

Heartbeats and revisions go in datagrams. A VM whose copy stays behind that of a peer
fetches the peer's copy over HTTP.
"""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any, cast

import aiohttp
from aiohttp import web
from loguru import logger

from daisylift.decisions.liveness import Heartbeat, Liveness
from daisylift.models.registered_server import EntryMember
from daisylift_node.version.documents import DocumentListing, StoredDocument
from daisylift_node.version.fleet_view import FleetView
from daisylift_node.version.replica import Replica

GOSSIP_SECONDS = 0.25
FANOUT = 4  # peers told each time; news reaches a thousand VMs in six rounds
BEHIND_SECONDS = 0.3  # a watch of its own has usually caught up by then
FETCH_TIMEOUT_SECONDS = 1.0
MAX_DATAGRAM_BYTES = 8192
COPY_PATH = '/copies/{kind}'


class PeerExchange(asyncio.DatagramProtocol):
    """Tells peers of this VM and of its copies, and hears of theirs."""

    def __init__(
        self, member: EntryMember, view: FleetView, clock: Callable[[], float]
    ) -> None:
        self.liveness = Liveness(member.name, member.incarnation)
        self._member = member
        self._view = view
        self._clock = clock
        self._choice = random.Random()
        self._transport: asyncio.DatagramTransport | None = None
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None
        self._behind_since_by_kind: dict[str, float] = {}
        self._fetches: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Listen for peers on the peer port, UDP and TCP."""
        loop = asyncio.get_running_loop()
        address = (self._member.peer_host, self._member.peer_port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=FETCH_TIMEOUT_SECONDS)
        )
        self._runner = web.ServerRunner(web.Server(self._serve_copy))
        await self._runner.setup()
        await web.TCPSite(self._runner, *address).start()

    async def stop(self) -> None:
        """Stop listening."""
        for task in self._fetches.values():
            task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take over heartbeats and compare revisions."""
        try:
            message = json.loads(data)
            heartbeats = [Heartbeat(*entry) for entry in message['beats']]
            revisions = dict(message['revisions'])
            host, port = message['from']
        except (ValueError, KeyError, TypeError) as error:
            logger.bind(peer=address[0]).warning('datagram not readable: {}', error)
            return
        now = self._clock()
        self.liveness.hear(heartbeats, now)
        for kind, revision in revisions.items():
            replica = self._view.replicas_by_kind.get(kind)
            if replica is not None:
                self._compare(replica, revision, f'http://{host}:{port}', now)

    async def gossip(self) -> None:
        """Tell some peers."""
        if self._transport is None:
            return
        now = self._clock()
        for member in self._view.members_by_name.values():
            self.liveness.expect(member.name, member.incarnation, now)
        peers = [
            member
            for member in self._view.members_by_name.values()
            if member.name != self._member.name
        ]
        message = {
            'from': [self._member.peer_host, self._member.peer_port],
            'beats': [
                [each.name, each.incarnation, each.counter, each.ready]
                for each in self.liveness.news(now, self._choice)
            ],
            'revisions': {
                kind: replica.changed_at
                for kind, replica in self._view.replicas_by_kind.items()
                if replica.is_loaded
            },
        }
        data = json.dumps(message, separators=(',', ':')).encode()
        for peer in self._choice.sample(peers, min(FANOUT, len(peers))):
            self._transport.sendto(data, (peer.peer_host, peer.peer_port))

    def is_ready(self, name: str) -> bool:
        """Say whether the entry VM is alive and takes callers."""
        return self.liveness.is_ready(name, self._clock())

    def long_lost(self) -> list[str]:
        """Return the VMs to remove, if this VM is the one to do it.

        The first live VM by name does it, so that the store gets one call for each.
        """
        now = self._clock()
        names = sorted(self._view.members_by_name)
        live = [name for name in names if self.liveness.is_alive(name, now)]
        if not live or live[0] != self._member.name:
            return []
        return [name for name in names if self.liveness.is_long_lost(name, now)]

    def _compare(self, replica: Replica, revision: Any, url: str, now: float) -> None:
        kind = replica.kind
        if not isinstance(revision, int):
            return
        if replica.is_loaded and revision <= replica.at:
            self._behind_since_by_kind.pop(kind, None)
            return
        since = self._behind_since_by_kind.setdefault(kind, now)
        if now - since >= BEHIND_SECONDS and kind not in self._fetches:
            task = asyncio.create_task(self._fetch(replica, url))
            self._fetches[kind] = task
            task.add_done_callback(lambda _: self._fetches.pop(kind, None))

    async def _fetch(self, replica: Replica, url: str) -> None:
        path = COPY_PATH.format(kind=replica.kind)
        if self._session is None:
            return
        try:
            async with self._session.get(url + path) as answer:
                listing = _read_listing(await answer.json())
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            logger.bind(kind=replica.kind, peer=url).warning(
                'copy not fetched: {}', error or type(error).__name__
            )
            return
        if replica.adopt(listing, url):
            self._behind_since_by_kind.pop(replica.kind, None)

    async def _serve_copy(self, request: web.BaseRequest) -> web.Response:
        kind = request.path.rpartition('/')[2]
        replica = self._view.replicas_by_kind.get(kind)
        if replica is None or not replica.is_loaded:
            return web.Response(status=404)
        listing = replica.listing()
        return web.json_response(
            {
                'at': listing.at,
                'documents': [
                    [each.name, each.revision, each.body] for each in listing.documents
                ],
            }
        )


def _read_listing(answer: Any) -> DocumentListing:
    try:
        documents = tuple(StoredDocument(*entry) for entry in answer['documents'])
        return DocumentListing(at=int(answer['at']), documents=documents)
    except (KeyError, TypeError) as error:
        raise ValueError(f'the copy can not be read: {error}') from error
