"""The rows of the fault matrix: each operation at one of its steps.

``start`` brings the operation to the step, ``act_under_fault`` acts as callers and
operators during the fault, and ``verify`` acts after it. All three record violations.
"""

import asyncio
import signal
from dataclasses import dataclass, field
from typing import Protocol

from daisylift.headers import FORWARDED_BY
from tests.matrix.faults import VICTIM, pay_server
from tests.matrix.trial import NODES, POLL_SECONDS, RequestResult, Trial

WORK_SECONDS = 0.4
RECORD_DELAY_SECONDS = 0.3
DOWNLOAD_BYTES = 300_000
STOPPED_NODE = 2
CHANGE_ATTEMPTS = 40
START_ATTEMPTS = 10
ALREADY_FORWARDED = {FORWARDED_BY: 'matrix'}


class Row(Protocol):
    """One operation at one step."""

    name: str

    async def start(self, trial: Trial) -> None:
        """Bring the operation to its step."""

    async def act_under_fault(self, trial: Trial) -> None:
        """Act during the fault."""

    async def verify(self, trial: Trial) -> None:
        """Act after the fault and record violations."""


@dataclass(slots=True)
class Lookup:
    """A caller's lookup of entry VMs."""

    name: str = 'look-up'

    async def start(self, trial: Trial) -> None:
        """Look up before the fault."""
        await self._ask(trial, must_answer=True)

    async def act_under_fault(self, trial: Trial) -> None:
        """Look up; only the victim may fail to answer."""
        await self._ask(trial, must_answer=False)

    async def verify(self, trial: Trial) -> None:
        """Look up again."""
        await self._ask(trial, must_answer=True)

    async def _ask(self, trial: Trial, must_answer: bool) -> None:
        for number, node in enumerate(trial.nodes):
            url = f'{node.caller_url}/v1/lookup?service={trial.workload.browse}'
            found = await trial.get_json(url)
            if found is None and (must_answer or number != VICTIM):
                trial.violations.append(f'node {number} did not answer a lookup')
            if found is not None and not found['entry_vms']:
                trial.violations.append(f'node {number} returned no entry VM')


@dataclass(slots=True)
class Browse:
    """An idempotent request that is running at a backend server."""

    name: str = 'idempotent request at work'
    _tasks: list[asyncio.Task[RequestResult]] = field(default_factory=list)

    async def start(self, trial: Trial) -> None:
        """Send one to each node and wait until the victim's one is running."""
        service = trial.workload.browse
        await trial.set_servers(service, work_seconds=WORK_SECONDS)
        tag = trial.new_tag()
        self._tasks = [
            asyncio.create_task(trial.send(node, service, f'{tag}-{node}'))
            for node in range(NODES)
        ]
        await trial.wait_for_run(f'GET /work {tag}-{VICTIM}')

    async def act_under_fault(self, trial: Trial) -> None:
        """Send more to the nodes other than the victim."""
        await trial.set_servers(trial.workload.browse, work_seconds=0.0)
        for node in range(1, NODES):
            await trial.send(node, trial.workload.browse, trial.new_tag())

    async def verify(self, trial: Trial) -> None:
        """Wait for the responses and check that all nodes serve."""
        await asyncio.gather(*self._tasks)
        await trial.wait_until_serving(trial.workload.browse)


@dataclass(slots=True)
class Download:
    """An idempotent request whose response is being transferred."""

    name: str = 'download under way'
    _tasks: list[asyncio.Task[bool]] = field(default_factory=list)

    async def start(self, trial: Trial) -> None:
        """Start a download from each node."""
        self._tasks = [
            asyncio.create_task(trial.download(node, DOWNLOAD_BYTES))
            for node in range(NODES)
        ]
        await asyncio.sleep(0)

    async def act_under_fault(self, trial: Trial) -> None:
        """Download once more."""
        await trial.download(1, DOWNLOAD_BYTES)

    async def verify(self, trial: Trial) -> None:
        """Repeat until each node has delivered a complete download."""
        await asyncio.gather(*self._tasks)
        for node in range(NODES):
            for _ in range(100):
                if await trial.download(node, DOWNLOAD_BYTES):
                    break
                await asyncio.sleep(POLL_SECONDS)
            else:
                trial.violations.append(f'node {node} delivered no complete download')


@dataclass(slots=True)
class Payment:
    """A non-idempotent request.

    ``key`` names its kind of key, ``step`` the step at which the fault begins.
    """

    key: str
    step: str
    _tag: str = ''
    _headers: dict[str, str] = field(default_factory=dict)
    _tasks: list[asyncio.Task[RequestResult]] = field(default_factory=list)

    @property
    def name(self) -> str:
        """Return the row's name."""
        return f'payment, {self.key}, {self.step}'

    async def start(self, trial: Trial) -> None:
        """Send it to the victim and wait until it reaches the step."""
        self._tag = trial.new_tag()
        if self.key == 'own key':
            self._headers = {'Idempotency-Key': self._tag}
        if self.key == 'request id':
            issued = await trial.request_id(VICTIM)
            self._headers = {'Daisylift-Request-Id': issued}
        if self.step == 'record under way':
            await trial.set_platform(delay_seconds=RECORD_DELAY_SECONDS)
        if self.step == 'at work':
            await trial.set_servers(trial.workload.pay, work_seconds=WORK_SECONDS)
        first = asyncio.create_task(self._send(trial, VICTIM))
        self._tasks = [first]
        if self.step == 'record under way':
            await asyncio.sleep(RECORD_DELAY_SECONDS / 3)
        if self.step == 'at work':
            await trial.wait_for_run(f'POST /work {self._tag}')
        if self.step == 'answered':
            await first

    async def act_under_fault(self, trial: Trial) -> None:
        """Repeat a keyed request concurrently at all nodes."""
        if not self._headers:
            return
        self._tasks += [
            asyncio.create_task(self._send(trial, node)) for node in (0, 1, 2, 1)
        ]
        await asyncio.sleep(WORK_SECONDS)

    async def verify(self, trial: Trial) -> None:
        """Repeat a keyed request at all nodes and check how often it ran."""
        await trial.set_servers(trial.workload.pay, work_seconds=0.0)
        await asyncio.gather(*self._tasks)
        if self._headers:
            for node in range(NODES):
                await self._send(trial, node)
        runs = await trial.executions(f'POST /work {self._tag}')
        if runs > 1:
            trial.violations.append(f'payment {self._tag} ran {runs} times')
        outcomes = {sent.outcome for sent in trial.sent if sent.tag == self._tag}
        if 'answered' in outcomes and runs != 1:
            trial.violations.append(f'{self._tag} was answered and ran {runs} times')
        if outcomes == {'did-not-run'} and runs:
            trial.violations.append(
                f'payment {self._tag} was reported as not run, but ran'
            )
        await trial.wait_until_serving(trial.workload.pay)

    async def _send(self, trial: Trial, node: int) -> RequestResult:
        return await trial.send(
            node, trial.workload.pay, self._tag, 'POST', self._headers
        )


@dataclass(slots=True)
class ConfigurationChange:
    """An operator's change that is being written to the store."""

    name: str = 'configuration change'
    _operation: str = ''
    _base: int = 0
    _task: asyncio.Task[str] | None = None

    async def start(self, trial: Trial) -> None:
        """Send the change to the victim."""
        self._operation = trial.new_tag()
        self._base = await trial.version(1)
        self._task = asyncio.create_task(self._drain(trial, VICTIM))
        await asyncio.sleep(0)

    async def act_under_fault(self, trial: Trial) -> None:
        """Repeat it at another node with the same operation id."""
        await self._drain(trial, 1)

    async def verify(self, trial: Trial) -> None:
        """Repeat it until it is accepted or in conflict, and check the log."""
        await self._task
        end = 'none'
        for _ in range(CHANGE_ATTEMPTS):
            end = await self._drain(trial, 1)
            if end in ('accepted', 'conflict'):
                break
            await asyncio.sleep(POLL_SECONDS)
        if end not in ('accepted', 'conflict'):
            trial.violations.append(f'the change never ended: {end}')
        url = f'http://127.0.0.1:{trial.fleet.platform_port}/-/objects/changes'
        listed = (await trial.get_json(url))['items']
        names = [found['specification']['operation_id'] for found in listed]
        times = names.count(self._operation)
        if times != (end == 'accepted'):
            trial.violations.append(
                f'a change that ended as {end} is logged {times} times'
            )
        await trial.settle()
        await trial.drain(1, pay_server(trial), False, trial.new_tag())
        await trial.settle()

    async def _drain(self, trial: Trial, node: int) -> str:
        server = pay_server(trial)
        return await trial.drain(node, server, True, self._operation, self._base)


@dataclass(slots=True)
class Drain:
    """A drained backend server gets no new requests."""

    name: str = 'drain'
    _server: str = ''

    async def start(self, trial: Trial) -> None:
        """Drain a server."""
        self._server = pay_server(trial)
        await trial.drain(1, self._server, True, trial.new_tag())

    async def act_under_fault(self, trial: Trial) -> None:
        """Send to the nodes other than the victim."""
        for node in range(1, NODES):
            await trial.send(node, trial.workload.pay, trial.new_tag(), 'POST')

    async def verify(self, trial: Trial) -> None:
        """Check that the server gets no request once the drain is in effect."""
        await trial.settle()
        await trial.drain(1, self._server, True, trial.new_tag())
        await trial.settle()
        before = await self._total(trial)
        for node in (0, 1, 2, 0, 1, 2):
            await trial.send(node, trial.workload.pay, trial.new_tag(), 'POST')
        if await self._total(trial) != before:
            trial.violations.append('a drained server got new requests')
        await trial.drain(1, self._server, False, trial.new_tag())
        await trial.settle()
        await trial.wait_until_serving(trial.workload.pay)

    async def _total(self, trial: Trial) -> int:
        state = (await trial.server_states())[self._server]
        return sum(state['executions'].values())


@dataclass(slots=True)
class OrdinalClaim:
    """A restarted node claims an ordinal."""

    name: str = 'ordinal claim'

    async def start(self, trial: Trial) -> None:
        """Kill and restart a node."""
        trial.signal(STOPPED_NODE, signal.SIGKILL)
        await trial.restart(STOPPED_NODE)

    async def act_under_fault(self, trial: Trial) -> None:
        """Keep sending to another node."""
        for _ in range(3):
            await trial.send(1, trial.workload.browse, trial.new_tag())

    async def verify(self, trial: Trial) -> None:
        """Check that no VM holds two ordinals and that all nodes serve."""
        await trial.settle()
        url = f'http://127.0.0.1:{trial.fleet.platform_port}/-/objects/claims'
        listed = (await trial.get_json(url))['items']
        holders = [found['specification']['vm'] for found in listed]
        if len(set(holders)) != len(holders):
            trial.violations.append(f'a VM holds two ordinals: {holders}')
        await trial.wait_until_serving(trial.workload.browse)


@dataclass(slots=True)
class PlannedStop:
    """A node is stopped with a request in flight, which must still be answered.

    The request is marked as already forwarded, so that the stopped node sends it to a
    server itself. Forwarded to a VM that a fault kills, it would be lost with that VM.
    """

    name: str = 'planned stop'
    _task: asyncio.Task[RequestResult] | None = None

    async def start(self, trial: Trial) -> None:
        """Stop a node while it has a request running."""
        service = trial.workload.pay
        await trial.set_servers(service, work_seconds=WORK_SECONDS)
        for _ in range(START_ATTEMPTS):
            tag = trial.new_tag()
            sending = trial.send(STOPPED_NODE, service, tag, 'POST', ALREADY_FORWARDED)
            self._task = asyncio.create_task(sending)
            if await trial.wait_for_run(f'POST /work {tag}'):
                break
            await self._task
        else:
            trial.violations.append('no request was running before the stop')
        await trial.set_servers(service, work_seconds=0.0)
        trial.signal(STOPPED_NODE, signal.SIGTERM)

    async def act_under_fault(self, trial: Trial) -> None:
        """Check that the request in flight is answered, and restart the node."""
        seen = await self._task
        if not seen.is_answered:
            detail = f'{seen.status} {seen.outcome} {seen.body[:200]!r}'
            trial.violations.append(
                f'a planned stop aborted a request in flight: {detail}'
            )
        await trial.restart(STOPPED_NODE)

    async def verify(self, trial: Trial) -> None:
        """Check that all nodes serve again."""
        await trial.wait_until_serving(trial.workload.pay)


def make_rows() -> tuple[Row, ...]:
    """Return new rows, because each row holds the state of one cell."""
    return (
        Lookup(),
        Browse(),
        Download(),
        Payment('no key', 'at work'),
        Payment('request id', 'at work'),
        Payment('request id', 'answered'),
        Payment('own key', 'record under way'),
        Payment('own key', 'at work'),
        Payment('own key', 'answered'),
        ConfigurationChange(),
        Drain(),
        OrdinalClaim(),
        PlannedStop(),
    )
