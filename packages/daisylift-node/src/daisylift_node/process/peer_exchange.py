"""Gossip between entry VMs, and exchange of their copies of the store.

Heartbeats, poison notices, revisions and limits of servers are sent in datagrams, and
how long ago the sender's copies were known to be complete. A VM whose copy stays behind
that of a peer fetches the peer's copy over HTTP, so that VMs that the store refuses to
serve stay up to date too.
"""

import asyncio
import random
import time
from collections.abc import Callable, Mapping
from itertools import starmap, zip_longest
from typing import Any, cast

import aiohttp
from aiohttp import web
from loguru import logger

from daisylift.decisions.fleet_roles import (
    SMALL_FLEET_MAX_VMS,
    gossip_targets,
    watches_store,
)
from daisylift.decisions.liveness import (
    LARGE_FLEET_LOST_SECONDS,
    OTHER_DOMAIN_LOST_SECONDS,
    Liveness,
)
from daisylift.decisions.poison_notices import BreakNotice, PoisonNoticeQueue
from daisylift.decisions.poison_requests import Digest, PoisonRequestCounter
from daisylift.models.registered_server import EntryMember
from daisylift_node.connection.bounded_body import read_body
from daisylift_node.connection.gossip_codec import (
    MAX_LIMITS_PER_DATAGRAM,
    MAX_NOTICES_BESIDE_LIMITS,
    MAX_NOTICES_PER_DATAGRAM,
    GossipError,
    decode,
    encode,
    encode_limits,
    name_hash,
)
from daisylift_node.connection.usage_codec import is_usage
from daisylift_node.process.open_ports import PortOpener
from daisylift_node.process.poison_copies import POISON_KIND, PoisonCopies
from daisylift_node.process.poison_requests import PoisonRequestRegister
from daisylift_node.version.documents import (
    DocumentChange,
    DocumentChanges,
    DocumentListing,
    Position,
    StoredDocument,
)
from daisylift_node.version.fleet_view import FleetView
from daisylift_node.version.json_reader import is_usable, read_json
from daisylift_node.version.replica import Replica

GOSSIP_PERIOD_SECONDS = 0.25
LIMITS_PERIOD_SECONDS = 0.5
FROZEN_SECONDS = 1.0  # without a gossip message of its own, a VM has stood still
ROLE_SECONDS = 0.2  # for which the role of this VM is not looked at again
FETCH_DELAY_SECONDS = 0.3  # this VM's own watch has usually caught up by then
FETCH_TIMEOUT_SECONDS = 1.0
COPY_STOP_SECONDS = 0.05  # a peer whose copy is cut off fetches it from another VM
MAX_COPY_BYTES = 32 * 1024 * 1024
COPY_PATH = '/copies/{kind}'
SINCE_QUERY = 'since'
ERA_QUERY = 'era'
POISON_CRASH_LIMIT = 3  # servers that a request may crash before it is refused
POISON_BLOCK_SECONDS = 120.0  # refusals end after this; servers restart in seconds


class PeerExchange(asyncio.DatagramProtocol):
    """Exchanges the state of this VM and the revisions of its copies with peers."""

    def __init__(
        self, member: EntryMember, view: FleetView, clock: Callable[[], float]
    ) -> None:
        self.liveness = Liveness(member.name, member.incarnation)
        self.poison_requests = PoisonRequestRegister(
            clock,
            self._queue_poison_notice,
            PoisonRequestCounter(
                max_crashes=POISON_CRASH_LIMIT, expiry_seconds=POISON_BLOCK_SECONDS
            ),
        )
        self._poison_notices = PoisonNoticeQueue()
        self._poison_copies = PoisonCopies(self.poison_requests)
        self._member = member
        self._view = view
        self._clock = clock
        self._rng = random.Random()
        self._transport: asyncio.DatagramTransport | None = None
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None
        self._awaited_by_kind: dict[str, tuple[Position, float]] = {}
        self._fetches: dict[str, asyncio.Task[None]] = {}
        self._names_by_hash: dict[int, str] = {}
        self._members_at: Position | None = None
        self._is_watching: bool | None = None
        self._role_at = 0.0
        self._sent_at: tuple[float, float] | None = None
        self.receive_usage: Callable[[bytes, tuple[str, int]], None] | None = None
        view.watches_store = self.watches_store

    async def start(self, ports: PortOpener) -> None:
        """Open the peer port for UDP and TCP."""
        address = (self._member.peer_host, self._member.peer_port)
        await ports.open_datagrams(*address, self)
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=FETCH_TIMEOUT_SECONDS)
        )
        self._runner = web.ServerRunner(
            web.Server(self._serve_copy), shutdown_timeout=COPY_STOP_SECONDS
        )
        await self._runner.setup()
        runner = self._runner
        await ports.open(*address, lambda: web.TCPSite(runner, *address).start())

    async def stop(self) -> None:
        """Cancel fetches and close all sockets."""
        for task in self._fetches.values():
            task.cancel()
        self._poison_copies.stop()
        if self._transport is not None:
            self._transport.close()
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio callback)."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Apply heartbeats and poison notices, and compare revisions."""
        try:
            if is_usage(data):
                if self.receive_usage is not None:
                    self.receive_usage(data, address)
                return
            self._apply_datagram(data, address)
        except Exception:
            logger.bind(peer=address[0], bytes=len(data)).exception(
                'gossip datagram not applied: unexpected error'
            )

    def _apply_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        self._update_members()
        try:
            gossip = decode(data, self._names_by_hash)
        except GossipError as error:
            logger.bind(peer=address[0]).warning(
                'ignoring an invalid gossip datagram: {}', error
            )
            return
        now = self._clock()
        self.liveness.receive(gossip.heartbeats, now)
        for notice in gossip.notices:
            if self.poison_requests.apply_notice(notice.digest, notice.break_id):
                self._poison_notices.push(notice)
        for limit in gossip.limits:
            self._view.apply_limit_notice(limit, now)
        url = f'http://{address[0]}:{address[1]}'
        if self._session is not None:
            self._poison_copies.fetch_after_start(self._session, url)
        replicas = list(self._view.replicas_by_kind.values())
        positions = list(
            starmap(Position, zip_longest(gossip.eras, gossip.revisions, fillvalue=0))
        )
        for replica, position in zip(replicas, positions, strict=False):
            self._fetch_if_behind(replica, position, url, now)
        for replica, position, age in zip(
            replicas, positions, gossip.ages, strict=False
        ):
            replica.confirm(position, age)

    async def send_gossip(self) -> None:
        """Send heartbeats, revisions and poison notices to some peers."""
        if self._transport is None:
            return
        now = self._clock()
        self._check_if_frozen()
        self._update_members()
        replicas = self._view.replicas_by_kind.values()
        changed = [each.last_change for each in replicas]
        data = encode(
            self.liveness.heartbeats_to_send(now, self._rng, self._reported_names()),
            [position.revision for position in changed],
            self._poison_notices.take(
                MAX_NOTICES_BESIDE_LIMITS
                if self._view.limit_notices
                else MAX_NOTICES_PER_DATAGRAM
            ),
            [position.era for position in changed],
            [each.age_seconds() for each in replicas],
        )
        self._send_to_peers(data)

    def _check_if_frozen(self) -> None:
        """Begin all watches anew if this VM has stood still, and may have missed much.

        Until the store answers them, this VM does not confirm the copies of its peers.
        """
        now = self._clock()
        previous, self._sent_at = self._sent_at, (_time_with_suspension(), now)
        if previous is None:
            return
        seconds = self._sent_at[0] - previous[0]
        suspended_seconds = max(0.0, seconds - (now - previous[1]))
        if seconds < FROZEN_SECONDS:
            return
        logger.bind(seconds=round(seconds, 2)).warning(
            'this VM stood still: beginning its watches of the store anew'
        )
        for replica in self._view.replicas_by_kind.values():
            replica.stood_still(suspended_seconds)

    async def send_limits(self) -> None:
        """Send the request rate limits that servers have named to some peers."""
        notices = self._view.limit_notices.take(MAX_LIMITS_PER_DATAGRAM, self._clock())
        if notices:
            self._send_to_peers(encode_limits(notices))

    def send_to(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram to one peer; one that can't be sent is logged."""
        if self._transport is None:
            return
        try:
            self._transport.sendto(data, address)
        except (OSError, OverflowError, ValueError) as error:
            logger.bind(peer=address[0], reason=str(error)).warning(
                'datagram not sent to a peer'
            )

    def _send_to_peers(self, data: bytes) -> None:
        if self._transport is None:
            return
        members = self._view.members_by_name.values()
        for peer in gossip_targets(self._member, members, self._rng):
            try:
                self._transport.sendto(data, (peer.peer_host, peer.peer_port))
            except (OSError, OverflowError, ValueError) as error:
                logger.bind(member=peer.name, reason=str(error)).warning(
                    'gossip not sent to a member'
                )

    def is_ready(self, name: str) -> bool:
        """Return whether the entry VM is alive and accepts callers."""
        return self.liveness.is_ready(name, self._clock(), self._lost_seconds(name))

    def is_alive(self, name: str) -> bool:
        """Return whether the entry VM seems to be alive."""
        within = self._lost_seconds(name)
        return self.liveness.is_alive(name, self._clock(), within)

    def watches_store(self) -> bool:
        """Return whether this VM should keep a watch on the store itself.

        A VM that stops is no candidate for others: the next one takes over while it
        still watches.
        """
        now = self._clock()
        if self._is_watching is not None and now - self._role_at < ROLE_SECONDS:
            return self._is_watching
        self._role_at = now
        members = self._view.members_by_name.values()
        domain = self._member.failure_domain
        candidates = {
            each.name
            for each in members
            if each.failure_domain == domain
            and self.liveness.is_alive(each.name, now)
            and not self.liveness.is_stopping(each.name)
        }
        is_watching = watches_store(self._member, members, candidates)
        self._record_role(is_watching, len(candidates))
        return is_watching

    def _record_role(self, is_watching: bool, candidate_count: int) -> None:
        if is_watching == self._is_watching:
            return
        self._is_watching = is_watching
        members = len(self._view.members_by_name)
        logger.bind(candidates=candidate_count, members=members).info(
            'watching the store for changes'
            if is_watching
            else 'relying on peers for changes of the store'
        )

    def _queue_poison_notice(self, digest: Digest, crash_id: int) -> None:
        self._poison_notices.push(BreakNotice(digest, crash_id))

    def _reported_names(self) -> list[str]:
        members = self._view.members_by_name.values()
        if self._is_small_fleet():
            return [member.name for member in members]
        domain = self._member.failure_domain
        return [each.name for each in members if each.failure_domain == domain]

    def _lost_seconds(self, name: str) -> float:
        member = self._view.members_by_name.get(name)
        is_same_domain = (
            member is None or member.failure_domain == self._member.failure_domain
        )
        if is_same_domain or self._is_small_fleet():
            return self.liveness.lost_seconds
        return OTHER_DOMAIN_LOST_SECONDS

    def _is_small_fleet(self) -> bool:
        return len(self._view.members_by_name) <= SMALL_FLEET_MAX_VMS

    def lost_members_to_remove(self) -> list[str]:
        """Return the names of the long-lost VMs that this VM should remove.

        Only the first live VM by name removes them, so that the store gets one call
        for each.
        """
        now = self._clock()
        names = sorted(self._view.members_by_name)
        live = [name for name in names if self.liveness.is_alive(name, now)]
        if not live or live[0] != self._member.name:
            return []
        return [name for name in names if self.liveness.is_long_lost(name, now)]

    def _update_members(self) -> None:
        """Apply the registered members, if they have changed."""
        members_at = self._view.members.last_change
        if members_at == self._members_at:
            return
        self._members_at = members_at
        now = self._clock()
        members_by_name = self._view.members_by_name
        self._names_by_hash = {name_hash(name): name for name in members_by_name}
        for member in members_by_name.values():
            self.liveness.expect(member.name, member.incarnation, now)
        if not self._is_small_fleet():
            self.liveness.lost_seconds = LARGE_FLEET_LOST_SECONDS

    def _fetch_if_behind(
        self, replica: Replica, position: Position, url: str, now: float
    ) -> None:
        """Fetch the peer's copy if the replica has stayed behind its position."""
        kind = replica.kind
        awaited, since = self._awaited_by_kind.get(kind, (position, now))
        if replica.is_loaded and awaited <= replica.position:
            self._awaited_by_kind.pop(kind, None)
            awaited, since = position, now
        if replica.is_loaded and position <= replica.position:
            return  # a peer that is behind as well says nothing about the others
        self._awaited_by_kind[kind] = (awaited, since)
        delay_seconds = FETCH_DELAY_SECONDS if self.watches_store() else 0.0
        if now - since >= delay_seconds and kind not in self._fetches:
            task = asyncio.create_task(self._fetch_or_log(replica, url))
            self._fetches[kind] = task
            task.add_done_callback(lambda _: self._fetches.pop(kind, None))

    async def _fetch_or_log(self, replica: Replica, url: str) -> None:
        try:
            await self._fetch(replica, url)
        except Exception:
            logger.bind(kind=replica.kind, peer=url).exception(
                'copy of a peer not applied: unexpected error'
            )

    async def _fetch(self, replica: Replica, url: str) -> None:
        if self._session is None:
            return
        since = replica.position
        query = {}
        if replica.is_loaded:
            query = {SINCE_QUERY: str(since.revision), ERA_QUERY: str(since.era)}
        path = COPY_PATH.format(kind=replica.kind)
        try:
            async with self._session.get(url + path, params=query) as response:
                content = await read_body(response, MAX_COPY_BYTES)
                copy = _read_copy(read_json(content))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            logger.bind(kind=replica.kind, peer=url).warning(
                'copy of the store not fetched from the peer: {}',
                str(error) or type(error).__name__,
            )
            return
        if isinstance(copy, DocumentChanges):
            is_applied = replica.apply_changes(copy, since)
        else:
            is_applied = replica.apply_listing(copy, url)
        if is_applied:
            self._awaited_by_kind.pop(replica.kind, None)
            logger.bind(kind=replica.kind, at=replica.revision, peer=url).info(
                'local copy updated from a peer'
            )

    async def _serve_copy(self, request: web.BaseRequest) -> web.Response:
        kind = request.path.rpartition('/')[2]
        if kind == POISON_KIND:
            return self._poison_copies.response()
        replica = self._view.replicas_by_kind.get(kind)
        if replica is None or not replica.is_loaded:
            return web.Response(status=404)
        since = _read_position(request.query)
        changes = replica.changes_since(since) if since is not None else None
        if changes is not None:
            return web.json_response(
                {
                    'at': changes.revision,
                    'era': changes.era,
                    'changes': [
                        [_entry(each.document), each.deleted]
                        for each in changes.changes
                    ],
                }
            )
        listing = replica.listing()
        return web.json_response(
            {
                'at': listing.revision,
                'era': listing.era,
                'documents': [_entry(each) for each in listing.documents],
            }
        )


def _time_with_suspension() -> float:
    """Return a steady time in seconds that also counts while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _entry(document: StoredDocument) -> list[Any]:
    return [document.name, document.revision, document.body]


def _read_position(query: Mapping[str, str]) -> Position | None:
    """Return the position that a peer has, or None if it has no copy."""
    try:
        return Position(int(query.get(ERA_QUERY, '0')), int(query[SINCE_QUERY]))
    except (KeyError, ValueError):
        return None


def _read_copy(response: Any) -> DocumentListing | DocumentChanges:
    try:
        revision = int(response['at'])
        era = int(response.get('era', 0))
        if 'changes' not in response:
            documents = tuple(map(_read_document, response['documents']))
            return DocumentListing(revision, documents, era)
        changes = tuple(
            DocumentChange(_read_document(entry), deleted is True)
            for entry, deleted in response['changes']
        )
        return DocumentChanges(revision, changes, era)
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f'invalid copy: {error}') from error


def _read_document(entry: Any) -> StoredDocument:
    name, revision, body = entry
    if not isinstance(name, str) or not isinstance(revision, int):
        raise ValueError('invalid copy: an object without a name or a revision')
    return StoredDocument(name, revision, body if is_usable(body) else None)
