"""Records a session as text: steps, decisions and outcomes, in virtual time."""

from dataclasses import dataclass, field

from daisylift_node.process.idempotency import RECORD_KIND as RECORDS_KIND
from tests.fakes.local import CallerResponse, LocalFleet, wait_until
from tests.fakes.platform import StoreEvent

MINUTES_PER_HOUR = 60
WATCHED_KINDS = ('changes', RECORDS_KIND)


@dataclass(slots=True)
class Transcript:
    """The lines of one session, with stable names for addresses, ids and digests."""

    lines: list[str] = field(default_factory=list)
    _names: dict[str, str] = field(default_factory=dict)

    def add_heading(self, text: str) -> None:
        """Start a section of the session."""
        self.lines.extend(['', text])

    def add_line(self, time: str, text: str) -> None:
        """Write one line."""
        self.lines.append(f'{time}  {text}')

    def stable_name(self, value: str, sort: str) -> str:
        """Return a stable name for a value that differs from run to run."""
        if value not in self._names:
            count = sum(1 for name in self._names.values() if name.startswith(sort))
            self._names[value] = f'{sort} {count + 1}'
        return self._names[value]

    def text(self) -> str:
        """Return the complete session as text."""
        return '\n'.join(self.lines).strip() + '\n'


@dataclass(slots=True)
class Session:
    """Runs callers' and operators' steps on a fleet and records each one."""

    fleet: LocalFleet
    transcript: Transcript
    _seen_events: int = 0
    _minute: int = 6 * MINUTES_PER_HOUR

    def later(self, minutes: int = 1) -> str:
        """Advance the virtual time and return it as ``HH:MM``."""
        self._minute += minutes
        hours, minutes = divmod(self._minute, MINUTES_PER_HOUR)
        return f'{hours:02}:{minutes:02}'

    async def look_up(self, node: int, service: str, client: str) -> None:
        """Look up the entry VMs of a service at a node."""
        path = f'/v1/lookup?service={service}&client={client}'
        found = (await self.fleet.send(node, path, method='GET')).document
        vms = [self._vm(entry['address']) for entry in found['entry_vms']]
        self.transcript.add_line(
            self.later(),
            f'{client} asks vm-{node} about {service}: site {found["site"]},'
            f' use {", ".join(vms)}, keep for {found["ttl_seconds"]} s',
        )

    async def send(
        self,
        node: int,
        service: str,
        path: str,
        *,
        method: str = 'GET',
        body: str = '',
        key: dict[str, str] | None = None,
    ) -> CallerResponse:
        """Send a request and record its outcome."""
        before = self.fleet.executions()
        answer = await self.fleet.send(
            node,
            f'/v1/services/{service}{path}',
            method=method,
            body=body.encode(),
            headers=key,
        )
        await self._records_are_written()
        runs = sum((self.fleet.executions() - before).values())
        source = answer.problem or self._domain(answer)
        replayed = ', the first answer again' if self._is_replay(answer) else ''
        self.transcript.add_line(
            self.later(),
            f'{method} {service}{path}{self._key(key)} at vm-{node}: {answer.status}'
            f' {answer.outcome} ({source}{replayed}), ran {runs} time(s)',
        )
        self._write_events()
        return answer

    async def drain(self, server: str, service: str, draining: bool) -> None:
        """Start or end the drain of a server and wait until all nodes apply it."""
        changed = await self.fleet.set_server_drain(service, server, draining)
        word = 'drains' if draining else 'ends the drain of'
        self.transcript.add_line(
            self.later(), f'operator {word} {server} of {service}: {changed}'
        )
        self._write_events()
        versions = {node.follower.current.version for node in self.fleet.nodes}
        self.transcript.add_line(
            self.later(0), f'in force on all VMs: {len(versions) == 1}'
        )

    def _vm(self, address: str) -> str:
        for node in self.fleet.nodes:
            caller = node.settings.caller
            if address == f'{caller.host}:{caller.port}':
                return node.settings.vm.id
        return 'unknown VM'

    def _domain(self, answer: CallerResponse) -> str:
        if answer.headers.get('Content-Type', '').startswith('application/json'):
            server = answer.document['server']
            return f'from {self.domain_by_server()[server]}'
        return f'{len(answer.body)} bytes'

    def domain_by_server(self) -> dict[str, str]:
        """Return the failure domain of each backend server."""
        return {
            server['name']: server['failure_domain']
            for service in self.fleet.policy['services']
            for server in service['servers']
        }

    def _key(self, key: dict[str, str] | None) -> str:
        if not key:
            return ''
        (value,) = key.values()
        if 'Idempotency-Key' in key:
            return f', key {value}'
        return f', {self.transcript.stable_name(value, "request id")}'

    def _is_replay(self, answer: CallerResponse) -> bool:
        return 'Daisylift-Replayed' in answer.headers

    async def _records_are_written(self) -> None:
        await wait_until(
            lambda: all(
                found['specification']['state'] != 'running'
                for found in self.fleet.stored(RECORDS_KIND)
            )
        )

    def _write_events(self) -> None:
        events = self.fleet.platform.events
        for event in events[self._seen_events :]:
            if event.kind in WATCHED_KINDS:
                self.transcript.add_line('     ', f'  platform: {self._event(event)}')
        self._seen_events = len(events)

    def _event(self, event: StoreEvent) -> str:
        stored = event.stored
        if event.kind == 'changes':
            value = stored['specification']
            return f'change {value["version"]}, {value["body"]["kind"]}'
        record = self.transcript.stable_name(stored['metadata']['name'], 'record')
        value = stored['specification']
        kept = ' with its answer' if value['answer'] else ''
        word = 'is deleted' if event.deleted else value['state'] + kept
        return f'{record} of vm-{value["ordinal"]}: {word}'
