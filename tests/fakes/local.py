"""A fleet of fakes and complete nodes in one event loop, for tests of handlers."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp import web
from google.protobuf.json_format import ParseDict

from daisylift.schema import operator_pb2 as pb
from daisylift_admin.client import NodeAddress, OperatorClient
from daisylift_node.config import Settings
from daisylift_node.process.application import Application
from tests.fakes.fleet import KEY, free_ports
from tests.fakes.platform import FakePlatform, Faults, Limits
from tests.fakes.upstream import Behaviour, FakeUpstream, serve

READY_POLLS = 400
POLL_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """The response that a caller received."""

    status: int
    outcome: str
    body: bytes
    headers: dict[str, str]

    @property
    def document(self) -> dict[str, Any]:
        """Return the body as a JSON document."""
        return json.loads(self.body)

    @property
    def problem(self) -> str:
        """Return the reason of a refusal, or an empty string for other responses."""
        if self.headers.get('Content-Type') != 'application/problem+json':
            return ''
        return self.document['type'].removeprefix('urn:daisylift:')


@dataclass(slots=True)
class LocalFleet:
    """The platform, the backend servers and the nodes, all in one event loop."""

    policy: dict[str, Any]
    domains: list[str]
    platform_timeout_seconds: float = 2.0
    platform: FakePlatform = field(default_factory=FakePlatform)
    upstream_by_name: dict[str, FakeUpstream] = field(default_factory=dict)
    nodes: list[Application] = field(default_factory=list)
    session: aiohttp.ClientSession | None = None
    _runners: list[web.AppRunner] = field(default_factory=list)
    _stopped: list[Application] = field(default_factory=list)
    _platform_port: int = 0

    async def __aenter__(self) -> 'LocalFleet':
        """Start everything, put the policy and wait until all nodes are ready."""
        await self._start_platform()
        await self._start_upstreams()
        for number, domain in enumerate(self.domains):
            self.nodes.append(Application(self._settings(number, domain)))
            await self.nodes[-1].start()
        await self.put_policy()
        for node in self.nodes:
            await wait_until(lambda n=node: self._sees_all(n))
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop everything."""
        await self.session.close()
        running = [n for n in self.nodes if n not in self._stopped]
        await asyncio.gather(*(node.stop() for node in running))
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    async def put_policy(self) -> None:
        """Put the policy as an operator, through the first node."""
        request = pb.PutPolicyRequest(header=pb.ChangeHeader(operation_id='first'))
        ParseDict(self.policy, request.policy)
        async with self.operator(0) as operator:
            await operator.put_policy(request)

    async def set_server_drain(self, service: str, server: str, draining: bool) -> str:
        """Start or end the drain of a server; wait until all nodes apply it.

        Returns the outcome of the change.
        """
        version = self.nodes[0].follower.current.version
        request = pb.SetServerDrainRequest(
            header=pb.ChangeHeader(
                operation_id=f'drain-{version}', base_version=version
            ),
            service=service,
            server=server,
            draining=draining,
        )
        async with self.operator(0) as operator:
            reply = await operator.set_server_drain(request)
        await wait_until(
            lambda: all(n.follower.current.version > version for n in self.nodes)
        )
        return reply.WhichOneof('outcome')

    def operator(self, node: int) -> OperatorClient:
        """Return an operators' client connected to a node."""
        address = self.nodes[node].settings.operator
        return OperatorClient(NodeAddress(address.host, address.port), KEY)

    async def send(
        self,
        node: int,
        path: str,
        *,
        method: str = 'POST',
        body: bytes = b'{"amount": 90000}',
        headers: dict[str, str] | None = None,
    ) -> CallerResponse:
        """Send one request to a node as a caller."""
        address = self.nodes[node].settings.caller
        url = f'http://{address.host}:{address.port}{path}'
        data = None if method == 'GET' else body
        async with self.session.request(
            method, url, data=data, headers=headers
        ) as response:
            return CallerResponse(
                status=response.status,
                outcome=response.headers.get('Daisylift-Outcome', ''),
                body=await response.read(),
                headers=dict(response.headers),
            )

    async def stop_node(self, node: int) -> None:
        """Stop one node permanently."""
        await self.nodes[node].stop()
        self._stopped.append(self.nodes[node])

    async def request_id(self, node: int) -> str:
        """Return a new request id issued by a node."""
        response = await self.send(node, '/v1/request-ids')
        return response.document['request_id']

    def executions(self) -> Counter[str]:
        """Return how often the backend servers ran each request."""
        total: Counter[str] = Counter()
        for upstream in self.upstream_by_name.values():
            total += upstream.executions
        return total

    def clear_faults(self) -> None:
        """Clear all faults of the platform and the backend servers."""
        self.platform.faults = Faults()
        self.platform.limits = Limits()
        for upstream in self.upstream_by_name.values():
            upstream.behaviour = Behaviour()

    def set_behaviour(self, **values: object) -> None:
        """Change the behaviour of all backend servers."""
        for upstream in self.upstream_by_name.values():
            for name, value in values.items():
                setattr(upstream.behaviour, name, value)

    def stored(self, kind: str) -> list[dict[str, Any]]:
        """Return the objects of a kind that are stored on the platform."""
        return [o for (k, _), o in sorted(self.platform.objects.items()) if k == kind]

    def _sees_all(self, node: Application) -> bool:
        named = node.steering.entry_vms_for(self.domains[0], 0)
        return node.is_ready() and len(named) >= len(self.domains)

    async def _start_platform(self) -> None:
        (port,) = free_ports(1)
        self.platform.vms = [
            {'id': f'vm-{number}', 'failure_domain': domain, 'state': 'running'}
            for number, domain in enumerate(self.domains)
        ]
        runner = web.AppRunner(
            self.platform.application(), access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', port).start()
        self._runners.append(runner)
        self._platform_port = port

    async def _start_upstreams(self) -> None:
        servers = [s for service in self.policy['services'] for s in service['servers']]
        upstreams = {}
        for server, port in zip(servers, free_ports(len(servers)), strict=True):
            server['host'] = '127.0.0.1'
            server['port'] = port
            upstreams[port] = FakeUpstream(name=server['name'], slots=server['slots'])
            self.upstream_by_name[server['name']] = upstreams[port]
        self._runners += await serve(upstreams)

    def _settings(self, number: int, domain: str) -> Settings:
        caller, operations, operator, peer = free_ports(4)
        return Settings.model_validate(
            {
                'vm': {'id': f'vm-{number}', 'failure_domain': domain},
                'caller': {'host': '127.0.0.1', 'port': caller},
                'operations': {'host': '127.0.0.1', 'port': operations},
                'operator': {'host': '127.0.0.1', 'port': operator, 'key': KEY},
                'peer': {'host': '127.0.0.1', 'port': peer, 'key': KEY},
                'platform': {
                    'url': f'http://127.0.0.1:{self._platform_port}',
                    'timeout_seconds': self.platform_timeout_seconds,
                },
                'stop': {'announce_seconds': 0.0, 'finish_seconds': 1.0},
            }
        )


async def wait_until(condition: Any) -> None:
    """Poll until the condition is true; raise TimeoutError if it stays false."""
    for _ in range(READY_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_SECONDS)
    raise TimeoutError(f'condition not met after {READY_POLLS} polls')
