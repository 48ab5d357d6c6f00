"""A relay and its callers' port, run inside the test process."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from daisylift.decisions.configuration import Configuration, ServerKey
from daisylift.models import Policy
from daisylift_node.connection.caller import caller_server
from daisylift_node.connection.upstream import UpstreamConnections
from daisylift_node.process import clock
from daisylift_node.process.health import HealthRegistry
from daisylift_node.process.links import LinkPacer
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.poison_requests import PoisonRequestRegister
from daisylift_node.request.admission import Admission
from daisylift_node.request.call import Call
from daisylift_node.request.ending import Ending
from daisylift_node.request.exchange import Exchange
from daisylift_node.request.peer_offload import PeerOffload
from daisylift_node.request.relay import RelayHandler
from tests.fakes.wire import Script, WireServer

SERVICE = 'till'
LOCAL_DOMAIN = 'arusha-1'
SEED = 3


@dataclass(frozen=True, slots=True)
class FakePermit:
    """A permit whose ``may_start`` returns the current setting of its pool."""

    server: ServerKey
    slot: int
    may_start: Callable[[float], bool]


@dataclass(slots=True)
class FakePermits:
    """A pool of permits with a fixed number of slots per server.

    ``unknown_outcomes`` has, for each released permit, whether the outcome of its
    request was unknown.
    """

    slots: int = 4
    may_start: bool = True
    used: dict[ServerKey, set[int]] = field(default_factory=dict)
    max_used: int = 0
    unknown_outcomes: list[bool] = field(default_factory=list)

    def free_slots(self, server: ServerKey) -> int:
        return self.slots - len(self.used.get(server, ()))

    def take(self, server: ServerKey) -> FakePermit | None:
        used = self.used.setdefault(server, set())
        free = set(range(self.slots)) - used
        if not free:
            return None
        slot = min(free)
        used.add(slot)
        self.max_used = max(self.max_used, len(used))
        return FakePermit(server, slot, lambda _, seconds_left=0.0: self.may_start)

    def release(
        self,
        permit: FakePermit,
        outcome_unknown: bool = False,
        remaining_seconds: float = 0.0,
    ) -> None:
        self.used[permit.server].remove(permit.slot)
        self.unknown_outcomes.append(outcome_unknown)


@dataclass(slots=True)
class RelayNode:
    """A relay under test; ``port`` is its callers' port."""

    port: int
    server: web.Server
    permits: FakePermits
    health: HealthRegistry
    admission: Admission
    relay: RelayHandler
    metrics: Metrics
    connections: UpstreamConnections
    links: LinkPacer
    poison_requests: PoisonRequestRegister
    notices: list[tuple[bytes, int]]
    drains: list[tuple[ServerKey, bool]]
    _runner: web.BaseRunner

    @staticmethod
    def clock() -> float:
        """Return the time of the node's clock, in seconds."""
        return clock.now()

    @property
    def url(self) -> str:
        """Return the URL of the service."""
        return f'http://127.0.0.1:{self.port}/v1/services/{SERVICE}'

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration to all components."""
        self.health.set_configuration(configuration, clock.now())
        self.admission.set_configuration(configuration)
        self.relay.set_configuration(configuration)
        self.links.set_configuration(configuration)
        self.connections.keep_only(self.health.by_server)

    def counter_sum(self, name: str, **labels: str) -> float:
        """Return the sum of a counter over all samples with the given labels."""
        return sum(
            sample.value
            for metric in self.metrics.registry.collect()
            for sample in metric.samples
            if sample.name == name and labels.items() <= sample.labels.items()
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._runner.cleanup()
        await self.connections.stop()


def relay_policy(ports: list[int], **service: Any) -> Policy:
    """Return a policy with one service and one server per port."""
    servers = [
        {
            'name': f'{SERVICE}-{number}',
            'host': '127.0.0.1',
            'port': port,
            'failure_domain': LOCAL_DOMAIN,
            'slots': 4,
            'connections': 8,
        }
        for number, port in enumerate(ports)
    ]
    return Policy.model_validate(
        {
            'failure_domains': [
                {'name': LOCAL_DOMAIN, 'region': 'arusha'},
                {'name': 'dar-1', 'region': 'dar'},
            ],
            'roster': [{'ordinal': 0, 'failure_domain': LOCAL_DOMAIN}],
            'services': [{'name': SERVICE, 'servers': servers, **service}],
        }
    )


class NoPeerOffload:
    """Peer offload that finds no free slot at any other entry VM."""

    async def serve(self, call: Call) -> None:
        return None

    def addresses(self) -> tuple[str, ...]:
        return ('127.0.0.1:9',)


async def start_relay(
    ports: list[int], offload: PeerOffload | None = None, **service: Any
) -> RelayNode:
    """Start a relay in front of the servers on the given ports."""
    now = clock.now
    metrics = Metrics()
    permits = FakePermits()
    drains: list[tuple[ServerKey, bool]] = []
    health = HealthRegistry(lambda *sign: drains.append(sign), now)
    connections = UpstreamConnections()
    links = LinkPacer(LOCAL_DOMAIN, now, metrics)
    notices: list[tuple[bytes, int]] = []
    poison_requests = PoisonRequestRegister(now, lambda *notice: notices.append(notice))
    admission = Admission(
        failure_domain=LOCAL_DOMAIN,
        permits=permits,
        health=health,
        clock=now,
        random=random.Random(SEED).random,
        closed_regions=links.closed_regions,
    )
    relay = RelayHandler(
        guard=_PassThroughGuard(),
        admission=admission,
        exchange=Exchange(connections, health, links, now),
        offload=offload or NoPeerOffload(),
        poison_requests=poison_requests,
        metrics=metrics,
        clock=now,
    )
    server = caller_server(_no_lookup, _no_lookup, relay.handle)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    node = RelayNode(
        port=next(_ports(runner)),
        server=server,
        permits=permits,
        health=health,
        admission=admission,
        relay=relay,
        metrics=metrics,
        connections=connections,
        links=links,
        poison_requests=poison_requests,
        notices=notices,
        drains=drains,
        _runner=runner,
    )
    policy = relay_policy(ports, **service)
    node.configure(Configuration(version=1, policy=policy))
    return node


@asynccontextmanager
async def running_relay(
    *scripts: Script, **service: Any
) -> AsyncIterator[tuple[RelayNode, list[WireServer]]]:
    """Run a relay in front of one server per script."""
    servers = [WireServer(script) for script in scripts]
    for server in servers:
        await server.start()
    node = await start_relay([server.port for server in servers], **service)
    try:
        yield node, servers
    finally:
        await node.stop()
        for server in servers:
            await server.stop()


def _ports(runner: web.BaseRunner) -> Iterator[int]:
    for address in runner.addresses:
        yield address[1]


class _PassThroughGuard:
    """Idempotency guard that lets every call through."""

    async def run(
        self, call: Call, serve: Callable[[Call], Awaitable[Ending]]
    ) -> Ending:
        """Serve the call."""
        return await serve(call)


async def _no_lookup(_: web.BaseRequest) -> web.StreamResponse:
    return web.json_response({})
