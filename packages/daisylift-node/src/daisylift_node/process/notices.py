"""Notices to all peers about draining servers and poison requests."""

from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Protocol

from google.protobuf.message import Message
from loguru import logger

from daisylift.decisions.configuration import ServerKey
from daisylift.decisions.poison_requests import DIGEST_BYTES, Digest
from daisylift.schema import peer_pb2 as pb
from daisylift_node.connection.peers import Address, Received
from daisylift_node.errors import PeerMessageError
from daisylift_node.process.metrics import Metrics

REPEAT_COUNT = 2
REPEAT_PERIOD_SECONDS = 0.5
MAX_PENDING = 64

Addresses = Callable[[], Iterable[Address]]


class PeerMessenger(Protocol):
    """The operations of the peer link that notices need."""

    def send(self, address: Address, body: Message) -> None:
        """Send a message once, without a retry."""

    def subscribe(
        self, body_name: str, handler: Callable[[Received], Message | None]
    ) -> None:
        """Call the handler for each received message of a kind."""


class PoisonRequestListener(Protocol):
    """Receives notices about poison requests that peers observed."""

    def apply_notice(self, digest: Digest, crash_id: int) -> bool:
        """Apply the notice of a peer; return whether it changed anything."""


class DrainListener(Protocol):
    """Receives notices about draining servers that peers observed."""

    def apply_drain_notice(self, server: ServerKey, draining: bool) -> None:
        """Apply the notice of a peer."""


@dataclass(slots=True)
class PendingNotice:
    """A notice that will be repeated, because datagrams can be lost."""

    body: Message
    repeats: int = REPEAT_COUNT


class Notices:
    """Sends peers the notices that they need within seconds.

    Each notice is sent at once and repeated REPEAT_COUNT times, so that one lost
    datagram does not matter; receivers tolerate duplicates. At most MAX_PENDING
    notices are repeated at a time; notices beyond that are dropped and counted.
    """

    def __init__(
        self, peers: PeerMessenger, addresses: Addresses, metrics: Metrics
    ) -> None:
        self._peers = peers
        self._addresses = addresses
        self._metrics = metrics
        self._pending: OrderedDict[Hashable, PendingNotice] = OrderedDict()

    def listen(
        self, poison_requests: PoisonRequestListener, drains: DrainListener
    ) -> None:
        """Pass on received notices to the listeners."""

        def on_poison_notice(received: Received) -> None:
            if len(received.body.digest) == DIGEST_BYTES:
                self._count('break', 'in')
                poison_requests.apply_notice(
                    received.body.digest, received.body.break_id
                )

        def on_drain_notice(received: Received) -> None:
            self._count('drain', 'in')
            body = received.body
            drains.apply_drain_notice(
                ServerKey(body.service, body.server), body.draining
            )

        self._peers.subscribe('break_notice', on_poison_notice)
        self._peers.subscribe('drain_notice', on_drain_notice)

    def announce_drain(self, server: ServerKey, draining: bool) -> None:
        """Announce that a server is draining, or no longer is."""
        body = pb.DrainNotice(
            service=server.service, server=server.server, draining=draining
        )
        self._announce('drain', server, body)

    def announce_poison_request(self, digest: Digest, crash_id: int) -> None:
        """Announce that a request crashed its server, or that it was answered."""
        body = pb.BreakNotice(digest=digest, break_id=crash_id)
        self._announce('break', (digest, crash_id), body)

    async def repeat(self) -> None:
        """Send all pending notices once more; called once per period."""
        for key, pending in list(self._pending.items()):
            self._send(pending.body)
            pending.repeats -= 1
            if pending.repeats <= 0:
                del self._pending[key]

    def _announce(self, kind: str, key: Hashable, body: Message) -> None:
        if key not in self._pending and len(self._pending) >= MAX_PENDING:
            self._count(kind, 'dropped')
            return
        self._pending[key] = PendingNotice(body)
        self._count(kind, 'out')
        self._send(body)

    def _send(self, body: Message) -> None:
        for address in self._addresses():
            try:
                self._peers.send(address, body)
            except PeerMessageError as error:
                logger.warning('notice to peers not sent: {}', error)
                return

    def _count(self, kind: str, direction: str) -> None:
        self._metrics.notices.labels(kind=kind, direction=direction).inc()
