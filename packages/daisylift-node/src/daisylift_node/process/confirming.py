"""Exchanges with peers which configuration versions the ordinals have confirmed."""

import asyncio
from itertools import count

from returns.result import Success

from daisylift.decisions.lending import peers_to_notify
from daisylift.schema import peer_pb2 as pb
from daisylift_node.connection.peers import PeerLink, Received
from daisylift_node.process.members import Members
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.permits import PermitPool

CONFIRMING_PERIOD_SECONDS = 0.25
TURNS_PER_EXCHANGE = 8
REPLY_SECONDS = 0.2
MAX_QUERIES_PER_TURN = 4
MAX_ORDINALS_PER_REPLY = 100


class Confirming:
    """Queries the ordinals that local slots wait for, and from time to time any peer.

    The confirmed version of an ordinal never decreases, whoever holds the ordinal.
    A report about an ordinal is therefore as good from a third node as from its
    holder, and replies pass on all versions that a node has received.
    """

    def __init__(
        self, permits: PermitPool, peers: PeerLink, members: Members, metrics: Metrics
    ) -> None:
        self._permits = permits
        self._peers = peers
        self._members = members
        self._metrics = metrics
        self._turns = count()
        peers.subscribe('confirm_query', self._on_query)

    async def take_turn(self) -> None:
        """Query a few of the awaited ordinals; every eighth turn, also another peer."""
        turn = next(self._turns)
        awaited = self._permits.ledger.awaited()
        self._metrics.unconfirmed_ordinals.set(len(awaited))
        chosen = _in_turn(sorted(awaited), turn)
        if turn % TURNS_PER_EXCHANGE == 0:
            chosen += self._any_peer(turn // TURNS_PER_EXCHANGE)
        await asyncio.gather(*(self._ask(ordinal, turn) for ordinal in chosen))

    def _any_peer(self, turn: int) -> list[int]:
        own = self._permits.ledger.ordinal
        return peers_to_notify(self._members.by_ordinal, own or 0, turn, 1)

    async def _ask(self, ordinal: int, turn: int) -> None:
        member = self._members.by_ordinal.get(ordinal)
        if member is None:
            return
        address = member.claim.peer_host, member.claim.peer_port
        pages = max(1, -(-len(self._members.by_ordinal) // MAX_ORDINALS_PER_REPLY))
        query = pb.ConfirmQuery(first_ordinal=turn % pages * MAX_ORDINALS_PER_REPLY)
        result = await self._peers.request(address, query, REPLY_SECONDS)
        match result:
            case Success(pb.ConfirmReply() as reply):
                self._on_reply(reply)

    def _on_reply(self, reply: pb.ConfirmReply) -> None:
        before = len(self._permits.ledger.awaited())
        if reply.HasField('own_ordinal') and reply.HasField('own_version'):
            self._note(reply.own_ordinal, reply.own_version)
        for ordinal, version in zip(reply.ordinals, reply.versions, strict=False):
            self._note(ordinal, version)
        if before and len(self._permits.ledger.awaited()) < before:
            self._permits.announce()

    def _note(self, ordinal: int, version: int) -> None:
        if ordinal != self._permits.ledger.ordinal:
            self._permits.ledger.record_confirmed(ordinal, version)

    def _on_query(self, received: Received) -> pb.ConfirmReply:
        ledger = self._permits.ledger
        first = received.body.first_ordinal
        known = [
            (ordinal, version)
            for ordinal, version in ledger.confirmations.table().items()
            if first <= ordinal < first + MAX_ORDINALS_PER_REPLY
        ]
        return pb.ConfirmReply(
            own_ordinal=ledger.ordinal,
            own_version=ledger.confirmed_version(self._permits.now()),
            ordinals=[ordinal for ordinal, _ in known],
            versions=[version for _, version in known],
        )


def _in_turn(ordinals: list[int], turn: int) -> list[int]:
    """Return up to MAX_QUERIES_PER_TURN ordinals, rotating from turn to turn."""
    if len(ordinals) <= MAX_QUERIES_PER_TURN:
        return ordinals
    start = turn * MAX_QUERIES_PER_TURN % len(ordinals)
    return (ordinals + ordinals)[start : start + MAX_QUERIES_PER_TURN]
