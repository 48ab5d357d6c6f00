"""Starts fakes and nodes as separate processes on loopback addresses."""

import json
import random
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from daisylift.models import Policy

KEY = 'loopback-key-for-trials'
LISTEN_PORTS = (10_000, 32_000)
START_SECONDS = 20.0
STOP_SECONDS = 20.0
POLL_SECONDS = 0.05

NODE_SETTINGS = """\
[vm]
id = {vm}
failure_domain = {failure_domain}

[caller]
host = 127.0.0.1
port = {caller_port}

[operations]
host = 127.0.0.1
port = {operations_port}

[operator]
host = 127.0.0.1
port = {operator_port}
key = {key}

[peer]
host = 127.0.0.1
port = {peer_port}
key = {key}

[platform]
url = http://127.0.0.1:{platform_port}

[stop]
announce_seconds = {announce_seconds}
finish_seconds = 10

[log]
level = INFO
format = json
"""

_handed_out: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports that are currently free for both TCP and UDP.

    The ports lie below the ephemeral range of outgoing connections, so that they are
    still free when a killed process is restarted. No port is returned twice, because
    the process that gets it may not listen yet at the time of the next call.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*LISTEN_PORTS)
        if port not in _handed_out and _is_free(port):
            _handed_out.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as one:
            try:
                one.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True


@dataclass(slots=True)
class NodeProcess:
    """A node with its ports, settings file and process."""

    vm: str
    failure_domain: str
    caller_port: int
    operations_port: int
    operator_port: int
    peer_port: int
    settings_file: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def caller_url(self) -> str:
        """Return the URL of the callers' port."""
        return f'http://127.0.0.1:{self.caller_port}'

    @property
    def operations_url(self) -> str:
        """Return the URL of the health and metrics port."""
        return f'http://127.0.0.1:{self.operations_port}'


@dataclass(slots=True)
class Fleet:
    """The platform, the backend servers and the nodes of one test run."""

    directory: Path
    policy: dict[str, Any]
    platform_port: int = 0
    announce_seconds: float = 0.2
    nodes: list[NodeProcess] = field(default_factory=list)
    _processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def start(self, node_domains: list[str]) -> None:
        """Start all processes, with one node for each of the failure domains."""
        self._assign_ports()
        self.start_platform(node_domains)
        self._spawn('upstream', 'tests.fakes.upstream', json.dumps(self._servers()))
        for number, domain in enumerate(node_domains):
            self.nodes.append(self._node(number, domain))
            self.start_node(self.nodes[-1])
        for port in self.server_ports().values():
            wait_for(f'http://127.0.0.1:{port}/control')
        for node in self.nodes:
            wait_for(f'{node.operations_url}/livez')
            wait_for_port(node.operator_port)

    def start_platform(self, node_domains: list[str]) -> None:
        """Start the platform, with one listed VM per node."""
        (self.platform_port,) = free_ports(1)
        vms = [
            {'id': f'vm-{number}', 'failure_domain': domain, 'state': 'running'}
            for number, domain in enumerate(node_domains)
        ]
        self._spawn(
            'platform',
            'tests.fakes.platform',
            f'--port={self.platform_port}',
            f'--vms={json.dumps(vms)}',
        )
        wait_for(f'http://127.0.0.1:{self.platform_port}/control')

    def start_node(self, node: NodeProcess) -> None:
        """Start or restart the process of a node."""
        log = (self.directory / f'{node.vm}.log').open('ab')
        node.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'daisylift_node',
                f'--settings={node.settings_file}',
            ],
            stderr=log,
        )
        self._processes.append(node.process)

    def put_policy(self) -> None:
        """Put the policy with the admin command; wait until all nodes are ready."""
        file = self.directory / 'policy.json'
        file.write_text(json.dumps(self.policy))
        self.admin('policy', 'put', str(file))
        for node in self.nodes:
            wait_for(f'{node.operations_url}/readyz')

    def admin(self, *words: str) -> str:
        """Run the operators' command against the first node."""
        node = f'--node=127.0.0.1:{self.nodes[0].operator_port}'
        result = subprocess.run(
            [sys.executable, '-m', 'daisylift_admin', node, *words],
            env={'DAISYLIFT_OPERATOR_KEY': KEY},
            capture_output=True,
            text=True,
            check=False,
        )
        if result.returncode != 0:
            raise RuntimeError(result.stderr.strip())
        return result.stdout

    def server_ports(self) -> dict[str, int]:
        """Return the port of each backend server, keyed by its name."""
        return {str(s['name']): int(s['port']) for s in self._servers()}

    def stop(self) -> None:
        """Terminate all processes that were started here."""
        running = [p for p in self._processes if p.poll() is None]
        for process in reversed(running):
            process.terminate()
        for process in running:
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _assign_ports(self) -> None:
        servers = [s for service in self.policy['services'] for s in service['servers']]
        for server, port in zip(servers, free_ports(len(servers)), strict=True):
            server['host'] = '127.0.0.1'
            server['port'] = port
        Policy.model_validate(self.policy)

    def _servers(self) -> list[dict[str, object]]:
        return [
            {'port': s['port'], 'name': s['name'], 'slots': s['slots']}
            for service in self.policy['services']
            for s in service['servers']
        ]

    def _node(self, number: int, domain: str) -> NodeProcess:
        caller, operations, operator, peer = free_ports(4)
        settings_file = self.directory / f'vm-{number}.ini'
        settings_file.write_text(
            NODE_SETTINGS.format(
                vm=f'vm-{number}',
                failure_domain=domain,
                caller_port=caller,
                operations_port=operations,
                operator_port=operator,
                peer_port=peer,
                platform_port=self.platform_port,
                announce_seconds=self.announce_seconds,
                key=KEY,
            )
        )
        return NodeProcess(
            vm=f'vm-{number}',
            failure_domain=domain,
            caller_port=caller,
            operations_port=operations,
            operator_port=operator,
            peer_port=peer,
            settings_file=settings_file,
        )

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log = (self.directory / f'{name}.log').open('ab')
        self._processes.append(
            subprocess.Popen([sys.executable, '-m', module, *arguments], stderr=log)
        )


def wait_for(url: str) -> None:
    """Wait until a GET of the URL succeeds.

    Raises the last error if it does not succeed within START_SECONDS.
    """
    deadline = time.monotonic() + START_SECONDS
    while True:
        try:
            with urllib.request.urlopen(url, timeout=1.0):
                return
        except (urllib.error.URLError, ConnectionError, TimeoutError):
            if time.monotonic() > deadline:
                raise
            time.sleep(POLL_SECONDS)


def wait_for_port(port: int) -> None:
    """Wait until the port accepts connections.

    Raises the last error if it does not within START_SECONDS.
    """
    deadline = time.monotonic() + START_SECONDS
    while True:
        try:
            socket.create_connection(('127.0.0.1', port), timeout=1.0).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(POLL_SECONDS)
