"""Finds peers with idle slots for a service by querying a few of them."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Success

from daisylift.decisions.membership import MemberState
from daisylift.decisions.routing import RandomSource
from daisylift.schema import peer_pb2 as pb
from daisylift_node.connection.peers import PeerLink, Received
from daisylift_node.process.members import Member

QUERIED_PEERS = 3
QUERY_TIMEOUT_SECONDS = 0.1
CACHE_SECONDS = 0.25
MAX_REPORTED_SLOTS = 1024

Clock = Callable[[], float]
Others = Callable[[], Sequence[Member]]
FreeSlots = Callable[[str], int]


@dataclass(slots=True)
class IdlePeer:
    """A peer that reported idle slots; ``slots`` is reduced with each use."""

    member: Member
    slots: int


@dataclass(slots=True)
class IdleReports:
    """The reports of peers on one service, valid CACHE_SECONDS from ``queried_at``."""

    queried_at: float
    peers: list[IdlePeer]


class IdlePeers:
    """Caches the idle slots of peers.

    Each service is queried at most once per CACHE_SECONDS; concurrent callers share
    one query.
    """

    def __init__(
        self,
        peers: PeerLink,
        others: Others,
        free_slots: FreeSlots,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._peers = peers
        self._others = others
        self._free_slots = free_slots
        self._clock = clock
        self._random = random
        self._reports_by_service: dict[str, IdleReports] = {}
        self._queries_by_service: dict[str, asyncio.Task[None]] = {}
        peers.subscribe('idle_query', self._on_query)

    async def find(self, service: str) -> Member | None:
        """Return a peer that probably has an idle slot, or None."""
        reports = self._reports_by_service.get(service)
        if reports is None or self._clock() >= reports.queried_at + CACHE_SECONDS:
            await self._query_once(service)
            reports = self._reports_by_service.get(service)
        if reports is None:
            return None
        idle = [peer for peer in reports.peers if peer.slots > 0]
        if not idle:
            return None
        best = max(idle, key=lambda peer: peer.slots)
        best.slots -= 1
        return best.member

    async def _query_once(self, service: str) -> None:
        task = self._queries_by_service.get(service)
        if task is None:
            task = asyncio.create_task(self._query(service))
            self._queries_by_service[service] = task
            task.add_done_callback(
                lambda _: self._queries_by_service.pop(service, None)
            )
        await asyncio.shield(task)

    async def _query(self, service: str) -> None:
        queried_at = self._clock()
        others = [m for m in self._others() if m.state is MemberState.ALIVE]
        start = int(self._random() * len(others))
        queried = (others[start:] + others[:start])[:QUERIED_PEERS]
        replies = await asyncio.gather(*(self._query_peer(m, service) for m in queried))
        peers = [peer for peer in replies if peer is not None]
        self._reports_by_service[service] = IdleReports(queried_at, peers)

    async def _query_peer(self, member: Member, service: str) -> IdlePeer | None:
        query = pb.IdleQuery(service=service)
        match await self._peers.request(
            member.peer_address, query, QUERY_TIMEOUT_SECONDS
        ):
            case Success(pb.IdleAnswer() as answer):
                return IdlePeer(member, min(answer.slots, MAX_REPORTED_SLOTS))
        return None

    def _on_query(self, received: Received) -> pb.IdleAnswer:
        return pb.IdleAnswer(slots=self._free_slots(received.body.service))
