"""Messages between nodes: authenticated datagrams, without guaranteed delivery."""

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from google.protobuf.message import Message
from loguru import logger
from returns.result import Failure, Result, Success

from daisylift.schema import peer_pb2 as pb
from daisylift_node.config import KeyedListenSettings
from daisylift_node.connection.datagram import (
    DatagramCodec,
    Drop,
    DropReason,
    ReplayFilter,
)
from daisylift_node.errors import PeerMessageError, StartError
from daisylift_node.process.metrics import Metrics

MAX_PENDING_REQUESTS = 1024
INCARNATION_RANDOM_BITS = 20
REQUEST_ID_RANDOM_BITS = 48

_FIELD_BY_TYPE = {
    field.message_type.full_name: field.name
    for field in pb.Envelope.DESCRIPTOR.oneofs_by_name['body'].fields
}

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Sender:
    """The process that a datagram came from; ``incarnation`` is 16 hex digits."""

    vm: str
    incarnation: str
    ordinal: int | None
    address: Address
    configuration_version: int


@dataclass(frozen=True, slots=True)
class Received:
    """A message that passed all checks; ``request_id`` is 0 unless it is a request."""

    sender: Sender
    body: Message
    request_id: int


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No reply arrived in time; the request may have been executed."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request did not leave this node."""

    reason: str


PeerFailure = TimedOut | NotSent
Handler = Callable[[Received], Message | None]
Listener = Callable[[Sender], None]


def new_incarnation() -> str:
    """Return 16 hex digits that sort after those of earlier starts of this VM.

    The upper part is the wall clock. If a VM's clock is set back between two starts,
    peers treat the VM as an older incarnation until they remove the earlier one.
    """
    clock = time.time_ns() >> INCARNATION_RANDOM_BITS << INCARNATION_RANDOM_BITS
    return f'{clock | secrets.randbits(INCARNATION_RANDOM_BITS):016x}'


class PeerLink(asyncio.DatagramProtocol):
    """Owns the peer socket: sends messages, and passes received ones to handlers.

    ``ordinal`` and ``configuration_version`` are sent in every datagram; the
    components that own these values keep them up to date.
    """

    def __init__(
        self, settings: KeyedListenSettings, vm: str, incarnation: str, metrics: Metrics
    ) -> None:
        self.ordinal: int | None = None
        self.configuration_version = 0
        self.vm = vm
        self.incarnation = incarnation
        self._incarnation_number = int(incarnation, 16)
        self._settings = settings
        self._drops = metrics.peer_drops
        self._sent = metrics.peer_datagrams.labels(direction='out')
        self._accepted = metrics.peer_datagrams.labels(direction='in')
        self._bytes_out = metrics.peer_bytes.labels(direction='out')
        self._bytes_in = metrics.peer_bytes.labels(direction='in')
        self._codec = DatagramCodec(settings.key.get_secret_value())
        self._replays = ReplayFilter()
        self._sequence = count(1)
        self._request_ids = count(1 + secrets.randbits(REQUEST_ID_RANDOM_BITS))
        self._handler_by_name: dict[str, Handler] = {}
        self._listeners: list[Listener] = []
        self._pending_by_id: dict[int, asyncio.Future[Message]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket; raise StartError if the address can't be bound."""
        loop = asyncio.get_running_loop()
        address = self._settings.host, self._settings.port
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        except OSError as error:
            raise StartError(
                f'can not listen on {address[0]}:{address[1]}/udp: {error.strerror}'
            ) from error

    async def stop(self) -> None:
        """Close the socket and end all requests that wait for a reply."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        for future in self._pending_by_id.values():
            future.cancel()

    def subscribe(self, body_name: str, handler: Handler) -> None:
        """Register the handler for messages with this field of the envelope's body.

        For a request, the handler's return value is sent as the reply; a handler that
        can't reply immediately returns None and calls ``reply`` later.
        """
        if body_name not in _FIELD_BY_TYPE.values():
            raise ValueError(f'the envelope has no body {body_name!r}')
        if body_name in self._handler_by_name:
            raise ValueError(f'{body_name!r} already has a handler')
        self._handler_by_name[body_name] = handler

    def listen(self, listener: Listener) -> None:
        """Call the listener with the sender of every accepted datagram."""
        self._listeners.append(listener)

    def send(self, address: Address, body: Message) -> None:
        """Send the message once.

        Raise PeerMessageError if it is too large or the socket is not open.
        """
        self._send(address, self._envelope(body))

    def reply(self, received: Received, body: Message) -> None:
        """Send the reply to a received request."""
        envelope = self._envelope(body)
        envelope.reply_to = received.request_id
        self._send(received.sender.address, envelope)

    async def request(
        self, address: Address, body: Message, timeout_seconds: float
    ) -> Result[Message, PeerFailure]:
        """Send the message once and wait for its reply.

        Retries are up to the caller, so the receiver may get a request again that it
        has already executed.
        """
        if len(self._pending_by_id) >= MAX_PENDING_REQUESTS:
            return Failure(NotSent('too many requests wait for a reply'))
        envelope = self._envelope(body)
        envelope.request_id = next(self._request_ids)
        future = asyncio.get_running_loop().create_future()
        self._pending_by_id[envelope.request_id] = future
        try:
            self._send(address, envelope)
            return Success(await asyncio.wait_for(future, timeout_seconds))
        except TimeoutError:
            return Failure(TimedOut())
        except PeerMessageError as error:
            return Failure(NotSent(str(error)))
        finally:
            del self._pending_by_id[envelope.request_id]

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport; called by the event loop."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Check a datagram and pass it to its handler; called by the event loop."""
        envelope = self._codec.decode(data)
        if isinstance(envelope, Drop):
            return self._drop(envelope.reason)
        name = envelope.WhichOneof('body')
        if name is None:
            return self._drop(DropReason.UNKNOWN_BODY)
        if (envelope.vm, envelope.incarnation) == (self.vm, self._incarnation_number):
            return self._drop(DropReason.OWN)
        dropped = self._replays.check(envelope)
        if dropped is not None:
            return self._drop(dropped.reason)
        self._accepted.inc()
        self._bytes_in.inc(len(data))
        sender = _sender(envelope, address)
        for listener in self._listeners:
            listener(sender)
        body = getattr(envelope, name)
        if envelope.reply_to:
            return self._accept_reply(envelope.reply_to, body)
        return self._handle(name, Received(sender, body, envelope.request_id))

    def error_received(self, error: OSError) -> None:
        """Count an error that the system reports for an earlier datagram."""
        self._drops.labels(reason='send-failed').inc()
        logger.debug('peer datagram not delivered: {}', error)

    def _handle(self, name: str, received: Received) -> None:
        handler = self._handler_by_name.get(name)
        if handler is None:
            return self._drop(DropReason.NO_HANDLER)
        try:
            reply = handler(received)
            if reply is not None and received.request_id:
                self.reply(received, reply)
        except Exception:
            self._drops.labels(reason='handler-failed').inc()
            logger.exception(
                'handler for peer message {} from {} failed', name, received.sender.vm
            )

    def _accept_reply(self, request_id: int, body: Message) -> None:
        future = self._pending_by_id.get(request_id)
        if future is None or future.done():
            self._drop(DropReason.LATE_REPLY)
            return
        future.set_result(body)

    def _envelope(self, body: Message) -> pb.Envelope:
        name = _FIELD_BY_TYPE[body.DESCRIPTOR.full_name]
        return pb.Envelope(
            vm=self.vm,
            incarnation=self._incarnation_number,
            sequence=next(self._sequence),
            configuration_version=self.configuration_version,
            ordinal=self.ordinal,
            **{name: body},
        )

    def _send(self, address: Address, envelope: pb.Envelope) -> None:
        data = self._codec.encode(envelope)
        if self._transport is None or self._transport.is_closing():
            raise PeerMessageError('the peer socket is not open')
        self._transport.sendto(data, address)
        self._sent.inc()
        self._bytes_out.inc(len(data))

    def _drop(self, reason: DropReason) -> None:
        self._drops.labels(reason=reason.value).inc()


def _sender(envelope: pb.Envelope, address: Address) -> Sender:
    return Sender(
        vm=envelope.vm,
        incarnation=f'{envelope.incarnation:016x}',
        ordinal=envelope.ordinal if envelope.HasField('ordinal') else None,
        address=(address[0], address[1]),
        configuration_version=envelope.configuration_version,
    )
