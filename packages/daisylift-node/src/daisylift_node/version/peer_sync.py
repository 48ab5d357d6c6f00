"""Synchronises the configuration between peers.

A new version is announced to a few peers by datagram, with the change itself if it is
small enough. A node that is behind pulls the missing changes from a peer over gRPC.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from loguru import logger
from pydantic import ValidationError

from daisylift.decisions.announcements import announcement_targets
from daisylift.decisions.configuration import Configuration
from daisylift.headers import KEY_METADATA
from daisylift.models import Change
from daisylift.schema import peer_pb2, sync_pb2
from daisylift.schema.sync_grpc import ConfigurationSyncBase, ConfigurationSyncStub
from daisylift_node.config import KeyedListenSettings
from daisylift_node.connection.keys import require_key
from daisylift_node.connection.peers import Address, PeerLink, Received, Sender
from daisylift_node.errors import PeerMessageError, StartError
from daisylift_node.process.metrics import Metrics
from daisylift_node.version.configuration import ConfigurationFollower

MAX_UPDATE_BYTES = 900
MAX_KEPT_CHANGES = 4096
PULL_TIMEOUT_SECONDS = 5.0
PULL_DELAY_SECONDS = 0.2
EMPTY_PULL_PAUSE_SECONDS = 2.0

Addresses = Callable[[], dict[int, Address]]


class ChangeHistory(ConfigurationSyncBase):
    """Keeps the latest changes as JSON and serves them to peers that are behind."""

    def __init__(self, key: str) -> None:
        self._key = key
        self._changes: deque[tuple[int, bytes]] = deque(maxlen=MAX_KEPT_CHANGES)

    def add(self, change: Change) -> bytes:
        """Keep a change and return it as JSON."""
        content = change.model_dump_json().encode()
        self._changes.append((change.version, content))
        return content

    def clear(self) -> None:
        """Remove all changes, because versions were skipped."""
        self._changes.clear()

    def after(self, version: int) -> list[bytes]:
        """Return the changes after the version, or none if some are no longer kept."""
        if not self._changes or self._changes[0][0] > version + 1:
            return []
        return [content for number, content in self._changes if number > version]

    async def Pull(self, stream: Stream) -> None:  # noqa: N802
        """Send the changes after the requested version, one message per change."""
        require_key(stream.metadata, self._key)
        request = await stream.recv_message()
        for content in self.after(request.version if request else 0):
            await stream.send_message(sync_pb2.PullReply(change=content))


class PeerSync:
    """Announces new versions to peers and pulls missing changes from them."""

    def __init__(
        self,
        settings: KeyedListenSettings,
        link: PeerLink,
        follower: ConfigurationFollower,
        addresses: Addresses,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._link = link
        self._follower = follower
        self._addresses = addresses
        self._pulls = metrics.peer_pulls
        self._key = settings.key.get_secret_value()
        self._history = ChangeHistory(self._key)
        self._server = Server([self._history])
        self._pull: asyncio.Task[None] | None = None
        self._latest_change = b''
        follower.subscribe_changes(self._on_change)
        follower.subscribe(self._announce_version)

    async def start(self) -> None:
        """Listen for pulls on the peer port (TCP) and for announcements by datagram."""
        address = self._settings
        try:
            await self._server.start(address.host, address.port)
        except OSError as error:
            raise StartError(
                f'cannot listen on {address.host}:{address.port}/tcp: {error.strerror}'
            ) from error
        self._link.subscribe('configuration_news', self._on_update)
        self._link.listen(self._on_sender)

    async def stop(self) -> None:
        """Cancel a pull in progress and stop listening."""
        if self._pull is not None:
            self._pull.cancel()
            await asyncio.gather(self._pull, return_exceptions=True)
        self._server.close()
        await self._server.wait_closed()

    def _on_change(self, before: Configuration, change: Change | None) -> None:
        if change is None:
            self._history.clear()
            self._latest_change = b''
            return
        self._latest_change = self._history.add(change)

    def _announce_version(self, configuration: Configuration) -> None:
        """Announce the version that took effect to a few peers."""
        self._link.configuration_version = configuration.version
        update = peer_pb2.ConfigurationNews(version=configuration.version)
        if len(self._latest_change) <= MAX_UPDATE_BYTES:
            update.change = self._latest_change
        addresses = self._addresses()
        own = self._link.ordinal if self._link.ordinal is not None else -1
        for ordinal in announcement_targets(
            configuration.version, own, list(addresses)
        ):
            try:
                self._link.send(addresses[ordinal], update)
            except PeerMessageError as error:
                logger.debug('configuration update not sent to a peer: {}', error)

    def _on_update(self, received: Received) -> None:
        update: peer_pb2.ConfigurationNews = received.body
        if update.version != self._follower.current.version + 1 or not update.change:
            return
        change = _parse(update.change)
        if change is not None and change.version == update.version:
            self._pulls.labels(result='news').inc()
            self._follower.apply([change])

    def _on_sender(self, sender: Sender) -> None:
        if sender.configuration_version <= self._follower.current.version:
            return
        if self._pull is None or self._pull.done():
            version = sender.configuration_version
            self._pull = asyncio.create_task(self._pull_from(sender.address, version))

    async def _pull_from(self, address: Address, version: int) -> None:
        """Pull the changes that are still missing after a short delay.

        The delay of 0.2 s gives announcements by datagram time to arrive first.
        """
        await asyncio.sleep(PULL_DELAY_SECONDS)
        current = self._follower.current.version
        if current >= version:
            return
        channel = Channel(address[0], address[1])
        try:
            async with asyncio.timeout(PULL_TIMEOUT_SECONDS):
                changes = await self._fetch(channel, current)
        except (TimeoutError, OSError, GRPCError, StreamTerminatedError) as error:
            self._pulls.labels(result='failed').inc()
            logger.info(
                'cannot pull configuration changes from the peer at {}: {}',
                address,
                error,
            )
            return
        finally:
            channel.close()
        self._pulls.labels(result='ok' if changes else 'nothing').inc()
        self._follower.apply(changes)
        if not changes:
            await self._follower.catch_up()
            await asyncio.sleep(EMPTY_PULL_PAUSE_SECONDS)

    async def _fetch(self, channel: Channel, version: int) -> list[Change]:
        changes = []
        metadata = {KEY_METADATA: self._key}
        async with ConfigurationSyncStub(channel).Pull.open(
            metadata=metadata
        ) as stream:
            await stream.send_message(sync_pb2.PullRequest(version=version), end=True)
            async for reply in stream:
                change = _parse(reply.change)
                if change is None:
                    break
                changes.append(change)
        return changes


def _parse(content: bytes) -> Change | None:
    try:
        return Change.model_validate_json(content)
    except ValidationError as error:
        logger.error('cannot decode a change from a peer, ignored: {}', error)
        return None
