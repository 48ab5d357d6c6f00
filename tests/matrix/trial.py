"""A fleet of processes on which cells run, with the observations of its callers."""

import asyncio
import contextlib
import itertools
import json
import re
import signal
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from daisylift.headers import IDEMPOTENCY_KEY, REQUEST_ID
from daisylift.schema import operator_pb2 as pb
from daisylift_admin.client import NodeAddress, OperatorClient
from daisylift_admin.errors import AdminError
from tests.fakes.fleet import KEY, Fleet, NodeProcess

EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'
NODES = 3
SERVERS_PER_SERVICE = 3
TIMEOUT_SECONDS = 1.0
CALLER_TIMEOUT_SECONDS = 4.0
SETTLE_POLLS = 300
POLL_SECONDS = 0.05
VERSION = re.compile(r'^daisylift_configuration_version (\S+)$', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Workload:
    """An example workload, with its services for browsing, paying and downloads."""

    name: str
    browse: str
    pay: str
    download: str


WORKLOADS = {
    'kanga': Workload('kanga', 'catalogue', 'till', 'plates'),
    'teduh': Workload('teduh', 'harga', 'tempahan', 'pelan'),
}


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The result of one request; ``status`` 0 means no complete response."""

    tag: str
    keyed: bool
    status: int = 0
    outcome: str = ''
    content_type: str = ''
    body: bytes = b''

    @property
    def is_answered(self) -> bool:
        """Return whether this is the response of a backend server."""
        return self.outcome == 'answered' and self.content_type == 'application/json'


@dataclass(slots=True)
class Trial:
    """A running fleet, with the results and violations of the cell under test."""

    workload: Workload
    fleet: Fleet
    session: aiohttp.ClientSession
    sent: list[RequestResult] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=itertools.count)
    _version_by_process: dict[int, int] = field(default_factory=dict)

    @property
    def nodes(self) -> list[NodeProcess]:
        """Return the nodes."""
        return self.fleet.nodes

    def new_tag(self) -> str:
        """Return an unused tag, which also serves as an idempotency key."""
        return f'tag-{next(self._numbers)}'

    async def send(
        self,
        node: int,
        service: str,
        tag: str,
        method: str = 'GET',
        headers: dict[str, str] | None = None,
    ) -> RequestResult:
        """Send a request as a caller and record the result."""
        headers = {'X-Tag': tag, **(headers or {})}
        keyed = bool({IDEMPOTENCY_KEY, REQUEST_ID} & headers.keys())
        url = f'{self.nodes[node].caller_url}/v1/services/{service}/work'
        data = None if method == 'GET' else tag.encode()
        try:
            async with self.session.request(
                method, url, headers=headers, data=data
            ) as answer:
                seen = RequestResult(
                    tag=tag,
                    keyed=keyed,
                    status=answer.status,
                    outcome=answer.headers.get('Daisylift-Outcome', ''),
                    content_type=answer.content_type,
                    body=await answer.read(),
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            seen = RequestResult(tag, keyed)
        self.sent.append(seen)
        return seen

    async def download(self, node: int, size: int) -> bool:
        """Return whether a download was answered; record it if it is incomplete."""
        service = self.workload.download
        url = f'{self.nodes[node].caller_url}/v1/services/{service}/download/{size}'
        try:
            async with self.session.get(url) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        if answer.headers.get('Daisylift-Outcome') != 'answered':
            return False
        if body != b'd' * size:
            self.violations.append(
                f'download passed as complete: got {len(body)} of {size} bytes'
            )
        return True

    async def get_json(self, url: str) -> dict[str, Any] | None:
        """Return a JSON document, or None if the GET fails."""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self.session.get(url) as answer:
                if answer.status == 200:
                    return await answer.json()
        return None

    async def request_id(self, node: int) -> str:
        """Return a new request id issued by a node."""
        url = f'{self.nodes[node].caller_url}/v1/request-ids'
        async with self.session.post(url) as answer:
            return (await answer.json())['request_id']

    async def set_platform(self, **faults: object) -> None:
        """Set faults of the platform."""
        await self.control_platform({'faults': faults})

    async def control_platform(self, document: dict[str, Any]) -> None:
        """Send a control document to the platform."""
        url = f'http://127.0.0.1:{self.fleet.platform_port}/control'
        async with self.session.post(url, json=document):
            pass

    async def set_servers(self, service: str = '', **behaviour: object) -> None:
        """Change the behaviour of the servers whose name starts with ``service``."""
        ports = self.fleet.server_ports().items()
        for port in (port for name, port in ports if name.startswith(service)):
            url = f'http://127.0.0.1:{port}/control'
            async with self.session.post(url, json=behaviour):
                pass

    async def server_states(self) -> dict[str, dict[str, Any]]:
        """Return the counters of each backend server, keyed by its name."""
        states = {}
        for name, port in self.fleet.server_ports().items():
            states[name] = await self.get_json(f'http://127.0.0.1:{port}/control')
        return states

    async def executions(self, what: str) -> int:
        """Return how often the backend servers ran the given request."""
        states = (await self.server_states()).values()
        return sum(state['executions'].get(what, 0) for state in states)

    async def wait_for_run(self, what: str) -> bool:
        """Wait until a request runs; return False if it does not, as under a fault."""
        for _ in range(20):
            if await self.executions(what):
                return True
            await asyncio.sleep(POLL_SECONDS)
        return False

    def operator(self, node: int) -> OperatorClient:
        """Return an operators' client connected to a node."""
        return OperatorClient(
            NodeAddress('127.0.0.1', self.nodes[node].operator_port), KEY
        )

    async def drain(
        self,
        node: int,
        server: str,
        draining: bool,
        name: str,
        base: int | None = None,
    ) -> str:
        """Start or end the drain of a pay server; return the outcome of the change."""
        if base is None:
            base = max(0, await self.version(node))
        request = pb.SetServerDrainRequest(
            header=pb.ChangeHeader(operation_id=name, base_version=base),
            service=self.workload.pay,
            server=server,
            draining=draining,
        )
        try:
            async with self.operator(node) as operator:
                async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
                    reply = await operator.set_server_drain(request)
        except (AdminError, TimeoutError):
            return 'no-answer'
        return reply.WhichOneof('outcome')

    async def version(self, node: int) -> int:
        """Return the configuration version of a node, or -1 if it does not respond."""
        url = f'{self.nodes[node].operations_url}/metrics'
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self.session.get(url) as answer:
                version = int(float(VERSION.search(await answer.text())[1]))
                self._record_version(node, version)
                return version
        return -1

    def _record_version(self, node: int, version: int) -> None:
        process = self.nodes[node].process.pid
        before = self._version_by_process.get(process, 0)
        if version < before:
            self.violations.append(
                f'node {node} went from version {before} to {version}'
            )
        self._version_by_process[process] = version

    def signal(self, node: int, number: signal.Signals) -> None:
        """Send a signal to a node."""
        self.nodes[node].process.send_signal(number)

    async def restart(self, node: int) -> None:
        """Restart the process of a node once the old one has ended."""
        await asyncio.to_thread(self.nodes[node].process.wait)
        self.fleet.start_node(self.nodes[node])

    async def is_settled(self) -> bool:
        """Return whether all nodes are ready and have the same version."""
        versions = set()
        for number, node in enumerate(self.nodes):
            url = f'{node.operations_url}/readyz'
            try:
                async with self.session.get(url) as answer:
                    if answer.status != 200:
                        return False
            except (aiohttp.ClientError, TimeoutError, OSError):
                return False
            versions.add(await self.version(number))
        return len(versions) == 1

    async def settle(self) -> None:
        """Wait until the fleet has settled; record a violation if it does not."""
        for _ in range(SETTLE_POLLS):
            if await self.is_settled():
                return
            await asyncio.sleep(POLL_SECONDS)
        self.violations.append(f'the fleet did not settle within {SETTLE_POLLS} polls')

    async def wait_until_serving(self, service: str) -> None:
        """Wait until each node answers a request; record each node that does not."""
        for node in range(NODES):
            for _ in range(SETTLE_POLLS):
                if (await self.send(node, service, self.new_tag())).is_answered:
                    break
                await asyncio.sleep(POLL_SECONDS)
            else:
                self.violations.append(f'node {node} did not serve {service} again')


@contextlib.asynccontextmanager
async def start_trial(workload: Workload):
    """Start a scaled-down fleet of a workload and yield its trial."""
    policy = scaled_policy(workload)
    regions = {d['region']: d['name'] for d in reversed(policy['failure_domains'])}
    timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_SECONDS)
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory=Path(directory), policy=policy)
        try:
            domains = [entry['failure_domain'] for entry in policy['roster']]
            assert sorted(domains) == sorted(regions.values())
            await asyncio.to_thread(fleet.start, domains)
            await asyncio.to_thread(fleet.put_policy)
            connector = aiohttp.TCPConnector(force_close=True)
            async with aiohttp.ClientSession(
                timeout=timeout, connector=connector
            ) as session:
                yield Trial(workload, fleet, session)
        finally:
            for node in fleet.nodes:
                if node.process.poll() is None:
                    node.process.send_signal(signal.SIGCONT)
            await asyncio.to_thread(fleet.stop)


def scaled_policy(workload: Workload) -> dict[str, Any]:
    """Return the example policy with one node and server of a service per region."""
    policy = json.loads((EXAMPLES / workload.name / 'policy.json').read_text())
    first = {}
    for domain in policy['failure_domains']:
        first.setdefault(domain['region'], domain['name'])
    policy['roster'] = [
        {'ordinal': number, 'failure_domain': name}
        for number, name in enumerate(first.values())
    ]
    for service in policy['services']:
        own = service['servers']
        servers = [s for s in own if s['failure_domain'] in first.values()]
        service['servers'] = servers[:SERVERS_PER_SERVICE]
        service['timeout_seconds'] = TIMEOUT_SECONDS
        service['shift_period_seconds'] = 1.0
        service['answer_ttl_seconds'] = 0.2
        service['cold_start_seconds'] = 0.2
    return policy
