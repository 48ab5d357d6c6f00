"""Gossip between entry VMs, and copies of the store for those that it turns away.

Heartbeats and revisions go in datagrams. A VM whose copy stays behind that of a peer
fetches the peer's copy over HTTP.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

import aiohttp
from aiohttp import web
from loguru import logger

from daisylift.decisions.break_news import BreakNews, BreakNotice
from daisylift.decisions.breaking import BreakingRequests, Digest
from daisylift.decisions.fleet_roles import (
    SMALL_FLEET,
    gossip_targets,
    watches_store,
)
from daisylift.decisions.liveness import (
    FAR_LOST_SECONDS,
    LARGE_FLEET_LOST_SECONDS,
    Liveness,
)
from daisylift.models.registered_server import EntryMember
from daisylift_node.connection.gossip_codec import (
    MAX_NOTICES_PER_DATAGRAM,
    GossipError,
    decode,
    encode,
    name_hash,
)
from daisylift_node.process.breaking import BreakRegister
from daisylift_node.version.documents import (
    DocumentChange,
    DocumentChanges,
    DocumentListing,
    StoredDocument,
)
from daisylift_node.version.fleet_view import FleetView
from daisylift_node.version.replica import Replica

GOSSIP_SECONDS = 0.25
BEHIND_SECONDS = 0.3  # a watch of its own has usually caught up by then
FETCH_TIMEOUT_SECONDS = 1.0
COPY_PATH = '/copies/{kind}'
SINCE_QUERY = 'since'
STOPPING_BREAKS = 3  # servers that one request may crash before it is stopped
BREAK_SECONDS = 120.0  # a stop ends after this; crashed servers are back in seconds


class PeerExchange(asyncio.DatagramProtocol):
    """Tells peers of this VM and of its copies, and hears of theirs."""

    def __init__(
        self, member: EntryMember, view: FleetView, clock: Callable[[], float]
    ) -> None:
        self.liveness = Liveness(member.name, member.incarnation)
        self.breaks = BreakRegister(
            clock,
            self._announce_break,
            BreakingRequests(max_breaks=STOPPING_BREAKS, break_seconds=BREAK_SECONDS),
        )
        self._break_news = BreakNews()
        self._member = member
        self._view = view
        self._clock = clock
        self._choice = random.Random()
        self._transport: asyncio.DatagramTransport | None = None
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None
        self._behind_since_by_kind: dict[str, float] = {}
        self._fetches: dict[str, asyncio.Task[None]] = {}
        self._names_by_hash: dict[int, str] = {}
        self._met_at = -1
        view.watches_store = self.watches_store

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
        self._meet_members()
        try:
            gossip = decode(data, self._names_by_hash)
        except GossipError as error:
            logger.bind(peer=address[0]).warning('datagram not readable: {}', error)
            return
        now = self._clock()
        self.liveness.hear(gossip.heartbeats, now)
        for notice in gossip.notices:
            if self.breaks.heard(notice.digest, notice.break_id):
                self._break_news.push(notice)
        url = f'http://{address[0]}:{address[1]}'
        replicas = self._view.replicas_by_kind.values()
        for replica, revision in zip(replicas, gossip.revisions, strict=False):
            self._compare(replica, revision, url, now)

    async def gossip(self) -> None:
        """Tell some peers."""
        if self._transport is None:
            return
        now = self._clock()
        self._meet_members()
        members = self._view.members_by_name.values()
        data = encode(
            self.liveness.news(now, self._choice, self._near_names()),
            [each.changed_at for each in self._view.replicas_by_kind.values()],
            self._break_news.take(MAX_NOTICES_PER_DATAGRAM),
        )
        for peer in gossip_targets(self._member, members, self._choice):
            self._transport.sendto(data, (peer.peer_host, peer.peer_port))

    def is_ready(self, name: str) -> bool:
        """Say whether the entry VM is alive and takes callers."""
        return self.liveness.is_ready(name, self._clock(), self._lost_seconds(name))

    def watches_store(self) -> bool:
        """Say whether this VM should keep watching the store itself."""
        now = self._clock()
        members = self._view.members_by_name
        live = {name for name in members if self.liveness.is_alive(name, now)}
        return watches_store(self._member, members.values(), live)

    def _announce_break(self, digest: Digest, break_id: int) -> None:
        self._break_news.push(BreakNotice(digest, break_id))

    def _near_names(self) -> list[str]:
        members = self._view.members_by_name.values()
        if self._is_small_fleet():
            return [member.name for member in members]
        domain = self._member.failure_domain
        return [each.name for each in members if each.failure_domain == domain]

    def _lost_seconds(self, name: str) -> float:
        member = self._view.members_by_name.get(name)
        is_near = member is None or member.failure_domain == self._member.failure_domain
        if is_near or self._is_small_fleet():
            return self.liveness.lost_seconds
        return FAR_LOST_SECONDS

    def _is_small_fleet(self) -> bool:
        return len(self._view.members_by_name) <= SMALL_FLEET

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

    def _meet_members(self) -> None:
        """Take over the registered members, if they have changed."""
        changed_at = self._view.members.changed_at
        if changed_at == self._met_at:
            return
        self._met_at = changed_at
        now = self._clock()
        members_by_name = self._view.members_by_name
        self._names_by_hash = {name_hash(name): name for name in members_by_name}
        for member in members_by_name.values():
            self.liveness.expect(member.name, member.incarnation, now)
        if not self._is_small_fleet():
            self.liveness.lost_seconds = LARGE_FLEET_LOST_SECONDS

    def _compare(self, replica: Replica, revision: int, url: str, now: float) -> None:
        kind = replica.kind
        if replica.is_loaded and revision <= replica.at:
            self._behind_since_by_kind.pop(kind, None)
            return
        since = self._behind_since_by_kind.setdefault(kind, now)
        patience = BEHIND_SECONDS if self.watches_store() else 0.0
        if now - since >= patience and kind not in self._fetches:
            task = asyncio.create_task(self._fetch(replica, url))
            self._fetches[kind] = task
            task.add_done_callback(lambda _: self._fetches.pop(kind, None))

    async def _fetch(self, replica: Replica, url: str) -> None:
        if self._session is None:
            return
        since = replica.at
        query = {SINCE_QUERY: str(since)} if replica.is_loaded else {}
        path = COPY_PATH.format(kind=replica.kind)
        try:
            async with self._session.get(url + path, params=query) as answer:
                copy = _read_copy(await answer.json())
        except (aiohttp.ClientError, OSError, ValueError) as error:
            logger.bind(kind=replica.kind, peer=url).warning(
                'copy not fetched: {}', str(error) or type(error).__name__
            )
            return
        if isinstance(copy, DocumentChanges):
            taken = replica.apply(copy, since)
        else:
            taken = replica.adopt(copy, url)
        if taken:
            self._behind_since_by_kind.pop(replica.kind, None)
            logger.bind(kind=replica.kind, at=replica.at, peer=url).info(
                'news taken from a peer'
            )

    async def _serve_copy(self, request: web.BaseRequest) -> web.Response:
        kind = request.path.rpartition('/')[2]
        replica = self._view.replicas_by_kind.get(kind)
        if replica is None or not replica.is_loaded:
            return web.Response(status=404)
        since = request.query.get(SINCE_QUERY, '')
        changes = replica.changes_since(int(since)) if since.isdigit() else None
        if changes is not None:
            return web.json_response(
                {
                    'at': changes.at,
                    'changes': [
                        [_entry(each.document), each.deleted]
                        for each in changes.changes
                    ],
                }
            )
        listing = replica.listing()
        return web.json_response(
            {
                'at': listing.at,
                'documents': [_entry(each) for each in listing.documents],
            }
        )


def _entry(document: StoredDocument) -> list[Any]:
    return [document.name, document.revision, document.body]


def _read_copy(answer: Any) -> DocumentListing | DocumentChanges:
    try:
        at = int(answer['at'])
        if 'changes' not in answer:
            documents = tuple(StoredDocument(*each) for each in answer['documents'])
            return DocumentListing(at=at, documents=documents)
        changes = tuple(
            DocumentChange(StoredDocument(*entry), bool(deleted))
            for entry, deleted in answer['changes']
        )
        return DocumentChanges(at=at, changes=changes)
    except (KeyError, TypeError) as error:
        raise ValueError(f'the copy can not be read: {error}') from error
