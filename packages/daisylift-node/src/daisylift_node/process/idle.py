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

ASKED_PEERS = 3
ASK_SECONDS = 0.1
KEPT_SECONDS = 0.25
MAX_SLOTS_TOLD = 1024

Clock = Callable[[], float]
Others = Callable[[], Sequence[Member]]
FreeSlots = Callable[[str], int]


@dataclass(slots=True)
class IdlePeer:
    """A peer that reported idle slots; ``slots`` is reduced with each use."""

    member: Member
    slots: int


@dataclass(slots=True)
class Answers:
    """The reports of peers on one service, valid KEPT_SECONDS from ``asked_at``."""

    asked_at: float
    peers: list[IdlePeer]


class IdlePeers:
    """Caches the idle slots of peers.

    Each service is queried at most once per KEPT_SECONDS; concurrent callers share
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
        self._answers: dict[str, Answers] = {}
        self._asking: dict[str, asyncio.Task[None]] = {}
        peers.subscribe('idle_query', self._on_query)

    async def find(self, service: str) -> Member | None:
        """Return a peer that probably has an idle slot, or None."""
        answers = self._answers.get(service)
        if answers is None or self._clock() >= answers.asked_at + KEPT_SECONDS:
            await self._ask_once(service)
            answers = self._answers.get(service)
        if answers is None:
            return None
        idle = [peer for peer in answers.peers if peer.slots > 0]
        if not idle:
            return None
        best = max(idle, key=lambda peer: peer.slots)
        best.slots -= 1
        return best.member

    async def _ask_once(self, service: str) -> None:
        task = self._asking.get(service)
        if task is None:
            task = asyncio.create_task(self._ask(service))
            self._asking[service] = task
            task.add_done_callback(lambda _: self._asking.pop(service, None))
        await asyncio.shield(task)

    async def _ask(self, service: str) -> None:
        asked_at = self._clock()
        others = [m for m in self._others() if m.state is MemberState.ALIVE]
        start = int(self._random() * len(others))
        asked = (others[start:] + others[:start])[:ASKED_PEERS]
        told = await asyncio.gather(*(self._ask_peer(m, service) for m in asked))
        peers = [peer for peer in told if peer is not None]
        self._answers[service] = Answers(asked_at, peers)

    async def _ask_peer(self, member: Member, service: str) -> IdlePeer | None:
        query = pb.IdleQuery(service=service)
        match await self._peers.request(member.peer_address, query, ASK_SECONDS):
            case Success(pb.IdleAnswer() as answer):
                return IdlePeer(member, min(answer.slots, MAX_SLOTS_TOLD))
        return None

    def _on_query(self, received: Received) -> pb.IdleAnswer:
        return pb.IdleAnswer(slots=self._free_slots(received.body.service))
