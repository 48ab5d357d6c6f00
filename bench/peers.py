"""Compares the cost of messages between nodes over UDP datagrams and gRPC.

Run it with ``python -m bench.peers``. Sender and receiver run in this process, so the
processor time is the sum of both. Loopback, uvloop, median of several rounds.
"""

import asyncio
import contextlib
import os
import socket
import statistics
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import uvloop
from grpclib.client import Channel
from grpclib.const import Cardinality, Handler
from grpclib.server import Server, Stream

from daisylift.schema import peer_pb2 as pb
from daisylift_node.config import KeyedListenSettings
from daisylift_node.connection.peers import PeerLink, new_incarnation
from daisylift_node.process.metrics import Metrics

ROUNDS = 5
MESSAGES = 2000
CALLS = 300
BURST = 16
KEY = 'a-key-for-the-bench'
UNARY = '/bench.Peer/Unary'
STREAM = '/bench.Peer/Stream'

Measure = Callable[[], Awaitable[float]]


class GrpcPeer:
    """A gRPC server that replies to probes, in unary calls or on a stream."""

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as grpclib requires."""
        types = pb.Probe, pb.ProbeAnswer
        return {
            UNARY: Handler(self._answer, Cardinality.UNARY_UNARY, *types),
            STREAM: Handler(self._answer, Cardinality.STREAM_STREAM, *types),
        }

    async def _answer(self, stream: Stream) -> None:
        async for _ in stream:
            await stream.send_message(pb.ProbeAnswer())


def free_port(kind: socket.SocketKind = socket.SOCK_DGRAM) -> int:
    """Return a port that is currently free."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


@contextlib.asynccontextmanager
async def running_link(vm: str) -> AsyncIterator[tuple[PeerLink, tuple[str, int]]]:
    """Open a peer link; yield it with its address."""
    settings = KeyedListenSettings(host='127.0.0.1', port=free_port(), key=KEY)
    link = PeerLink(settings, vm, new_incarnation(), Metrics())
    await link.start()
    try:
        yield link, (settings.host, settings.port)
    finally:
        await link.stop()


async def one_way() -> float:
    """Send datagrams one way; return the processor time per datagram in us."""
    async with (
        running_link('vm-0') as (link, _),
        running_link('vm-1') as (peer, address),
    ):
        request_ids = []
        peer.subscribe(
            'probe', lambda received: request_ids.append(received.request_id)
        )
        before = time.process_time()
        for number in range(MESSAGES):
            link.send(address, pb.Probe())
            if number % BURST == 0:
                await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        processor_seconds = time.process_time() - before
        return processor_seconds / max(len(request_ids), 1) * 1e6


async def request_and_reply() -> float:
    """Send requests by datagram and await replies; return processor us per request."""
    async with (
        running_link('vm-0') as (link, _),
        running_link('vm-1') as (peer, address),
    ):
        peer.subscribe('probe', lambda received: pb.ProbeAnswer())
        before = time.process_time()
        for _ in range(MESSAGES):
            (await link.request(address, pb.Probe(), 5.0)).unwrap()
        return (time.process_time() - before) / MESSAGES * 1e6


async def grpc_stream() -> float:
    """Send and receive on one gRPC stream; return processor us per message pair."""
    async with running_grpc() as channel:
        call = channel.request(
            STREAM, Cardinality.STREAM_STREAM, pb.Probe, pb.ProbeAnswer
        )
        async with call as stream:
            before = time.process_time()
            for _ in range(CALLS):
                await stream.send_message(pb.Probe())
                await stream.recv_message()
            processor_seconds = time.process_time() - before
            await stream.end()
        return processor_seconds / CALLS * 1e6


async def grpc_unary() -> float:
    """Make unary gRPC calls on one connection; return processor us per call."""
    async with running_grpc() as channel:
        before = time.process_time()
        for _ in range(CALLS):
            call = channel.request(
                UNARY, Cardinality.UNARY_UNARY, pb.Probe, pb.ProbeAnswer
            )
            async with call as stream:
                await stream.send_message(pb.Probe(), end=True)
                await stream.recv_message()
        return (time.process_time() - before) / CALLS * 1e6


@contextlib.asynccontextmanager
async def running_grpc() -> AsyncIterator[Channel]:
    """Start a gRPC peer and yield a channel to it."""
    server = Server([GrpcPeer()])
    port = free_port(socket.SOCK_STREAM)
    await server.start('127.0.0.1', port)
    channel = Channel('127.0.0.1', port)
    try:
        yield channel
    finally:
        channel.close()
        server.close()
        await server.wait_closed()


async def measure(name: str, run: Measure) -> None:
    """Run several rounds and print their median, minimum and maximum."""
    rounds = [await run() for _ in range(ROUNDS)]
    print(
        f'{name:<34} {statistics.median(rounds):8.0f} '
        f'{min(rounds):8.0f} {max(rounds):8.0f}'
    )


async def main() -> None:
    """Print the table."""
    print(f'{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}')
    print(
        f'{"us of processor time, both sides":<34} {"median":>8} {"min":>8} {"max":>8}'
    )
    await measure('datagram, one way', one_way)
    await measure('datagram, request and reply', request_and_reply)
    await measure('gRPC, open stream, round trip', grpc_stream)
    await measure('gRPC, unary call', grpc_unary)


if __name__ == '__main__':
    uvloop.run(main())
