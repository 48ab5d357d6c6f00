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

CONFIRMATION_PERIOD_SECONDS = 0.25
TICKS_PER_EXCHANGE = 8
REPLY_TIMEOUT_SECONDS = 0.2
MAX_QUERIES_PER_TICK = 4
MAX_ORDINALS_PER_REPLY = 100


class ConfirmationExchange:
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
        self._tick_numbers = count()
        peers.subscribe('confirm_query', self._on_query)

    async def tick(self) -> None:
        """Query a few of the awaited ordinals; every eighth tick, also another peer."""
        tick_number = next(self._tick_numbers)
        awaited = self._permits.ledger.awaited()
        self._metrics.unconfirmed_ordinals.set(len(awaited))
        chosen = _rotate(sorted(awaited), tick_number)
        if tick_number % TICKS_PER_EXCHANGE == 0:
            chosen += self._next_peer(tick_number // TICKS_PER_EXCHANGE)
        await asyncio.gather(*(self._query(ordinal, tick_number) for ordinal in chosen))

    def _next_peer(self, tick_number: int) -> list[int]:
        own = self._permits.ledger.ordinal
        return peers_to_notify(self._members.by_ordinal, own or 0, tick_number, 1)

    async def _query(self, ordinal: int, tick_number: int) -> None:
        member = self._members.by_ordinal.get(ordinal)
        if member is None:
            return
        address = member.claim.peer_host, member.claim.peer_port
        pages = max(1, -(-len(self._members.by_ordinal) // MAX_ORDINALS_PER_REPLY))
        query = pb.ConfirmQuery(
            first_ordinal=tick_number % pages * MAX_ORDINALS_PER_REPLY
        )
        result = await self._peers.request(address, query, REPLY_TIMEOUT_SECONDS)
        match result:
            case Success(pb.ConfirmReply() as reply):
                self._on_reply(reply)

    def _on_reply(self, reply: pb.ConfirmReply) -> None:
        before = len(self._permits.ledger.awaited())
        if reply.HasField('own_ordinal') and reply.HasField('own_version'):
            self._record_confirmed(reply.own_ordinal, reply.own_version)
        for ordinal, version in zip(reply.ordinals, reply.versions, strict=False):
            self._record_confirmed(ordinal, version)
        if before and len(self._permits.ledger.awaited()) < before:
            self._permits.notify_listeners()

    def _record_confirmed(self, ordinal: int, version: int) -> None:
        if ordinal != self._permits.ledger.ordinal:
            self._permits.ledger.record_confirmed(ordinal, version)

    def _on_query(self, received: Received) -> pb.ConfirmReply:
        ledger = self._permits.ledger
        first = received.body.first_ordinal
        confirmed = [
            (ordinal, version)
            for ordinal, version in ledger.confirmations.table().items()
            if first <= ordinal < first + MAX_ORDINALS_PER_REPLY
        ]
        return pb.ConfirmReply(
            own_ordinal=ledger.ordinal,
            own_version=ledger.confirmed_version(self._permits.now()),
            ordinals=[ordinal for ordinal, _ in confirmed],
            versions=[version for _, version in confirmed],
        )


def _rotate(ordinals: list[int], tick_number: int) -> list[int]:
    """Return up to MAX_QUERIES_PER_TICK ordinals, rotating through all of them."""
    if len(ordinals) <= MAX_QUERIES_PER_TICK:
        return ordinals
    start = tick_number * MAX_QUERIES_PER_TICK % len(ordinals)
    return (ordinals + ordinals)[start : start + MAX_QUERIES_PER_TICK]
