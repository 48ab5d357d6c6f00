"""What callers and backend servers saw, and the promises that are checked on it."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from tests.fakes.platform_server import ServerRun, response_body, response_stamp

TOUCH_SECONDS = 3.0  # stability window: bounds hold for VMs undisturbed for so long
DRAIN_SECONDS = 2.5  # from the store's confirmation until a leaving server is left
EVACUATION_SECONDS = 5.0  # the same for an evacuated failure domain
CONFIG_SECONDS = 2.5  # the same for a new desired state
ROLLBACK_SECONDS = 0.25  # a VM may seem to go back within this time only
SERVED_SHARE = 0.9  # of the requests in the calm at the end
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
NO_ROUTE = 404


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken promise."""

    promise: str
    text: str


@dataclass(frozen=True, slots=True)
class Ending:
    """How a caller's request ended; ``status`` is None if no whole answer came."""

    request_id: str
    vm: str
    path: str
    repeatable: bool
    sent_at: float
    ended_at: float
    status: int | None = None
    stamp: str = ''
    body: bytes = b''
    left: bool = False


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Something that was wrong with a part, from start to end."""

    part: str
    start: float
    end: float
    planned: bool = False


@dataclass(frozen=True, slots=True)
class Confirmed:
    """A change that the store confirmed: a server leaves, a domain is emptied."""

    name: str
    at: float
    until: float = float('inf')


@dataclass(frozen=True, slots=True)
class Version:
    """A desired state: which service each path prefix goes to."""

    number: int
    at: float
    service_by_prefix: dict[str, str]

    def service(self, path: str) -> str | None:
        """Return the service of the path, if it has a route."""
        return self.service_by_prefix.get(path[: path.rfind('/') + 1])


@dataclass(slots=True)
class Ledger:
    """Everything seen in one run."""

    runs_by_id: defaultdict[str, list[ServerRun]] = field(
        default_factory=lambda: defaultdict(list)
    )
    endings: list[Ending] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    leaving: list[Confirmed] = field(default_factory=list)
    evacuations: list[Confirmed] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    own_ends: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    calm_from: float = float('inf')

    def ran(self, run: ServerRun) -> None:
        """Take note of a run."""
        self.runs_by_id[run.request_id].append(run)

    def is_calm(self, start: float, end: float, *parts: str) -> bool:
        """Say whether the parts were undisturbed from start to end.

        Without parts: whether nothing unplanned happened anywhere.
        """
        return not any(
            each.start <= end and each.end >= start
            for each in self.disturbances
            if (each.part in parts if parts else not each.planned)
        )

    def in_touch(self, vm: str, at: float) -> bool:
        """Say whether the VM and the store were undisturbed for a while."""
        return self.is_calm(at - TOUCH_SECONDS, at, vm, 'store')

    def findings(self) -> list[Finding]:
        """Return every broken promise."""
        found: list[Finding] = []
        for ending in self.endings:
            found += self._answer(ending)
            found += self._execution(ending)
            found += self._timeliness(ending)
            found += self._planned_work(ending)
        found += [Finding('no own end', text) for text in self.own_ends]
        found += [Finding('no error', text) for text in self.errors]
        found += self._rollbacks()
        found += self._recovery()
        return found

    def _answer(self, ending: Ending) -> Iterator[Finding]:
        if ending.status is None or not 200 <= ending.status < 300:
            return
        for run in self.runs_by_id[ending.request_id]:
            stamp = response_stamp(run.server_id, ending.request_id)
            body = response_body(
                run.server_id, ending.request_id, ending.path, len(ending.body)
            )
            if ending.stamp == stamp and ending.body == body and body:
                return
        yield Finding('own answer', f'{ending.request_id} got bytes of another')

    def _execution(self, ending: Ending) -> Iterator[Finding]:
        runs = self.runs_by_id[ending.request_id]
        allowed = {version.service(ending.path) for version in self.versions}
        for run in runs:
            if run.service not in allowed:
                yield Finding('route', f'{ending.request_id} ran at {run.service}')
        if ending.repeatable:
            return
        if len(runs) > 1:
            yield Finding('at most once', f'{ending.request_id} ran {len(runs)} times')
        if runs and ending.status in NOT_RUN_STATUSES:
            yield Finding(
                'honest refusal', f'{ending.request_id}: {ending.status}, but it ran'
            )

    def _timeliness(self, ending: Ending) -> Iterator[Finding]:
        for run in self.runs_by_id[ending.request_id]:
            if not self.in_touch(ending.vm, run.at):
                continue
            for each in self.leaving:
                if run.server_id == each.name and run.at > each.at + DRAIN_SECONDS:
                    yield Finding('drain', f'{ending.request_id} at {each.name}')
            for each in self.evacuations:
                late = each.at + EVACUATION_SECONDS < run.at < each.until
                if run.failure_domain == each.name and late:
                    yield Finding('evacuation', f'{ending.request_id} in {each.name}')
        handled = self._handled_by(ending)
        if handled is not None and not handled:
            yield Finding(
                'desired state in force',
                f'{ending.request_id} {ending.path} at {ending.vm}: old version',
            )

    def _handled_by(self, ending: Ending) -> bool | None:
        """Say if a version that may be in force explains the ending; None: untold."""
        if not self.in_touch(ending.vm, ending.sent_at):
            return None
        newer = [v for v in self.versions if v.at <= ending.sent_at - CONFIG_SECONDS]
        current = newer[-1].number if newer else 0
        return self._explained(ending, current)

    def _explained(self, ending: Ending, oldest: int) -> bool | None:
        services = self._effect(ending)
        if services is None:
            return None
        return any(
            version.service(ending.path) in services
            for version in self.versions
            if version.number >= oldest
        )

    def _effect(self, ending: Ending) -> set[str | None] | None:
        runs = self.runs_by_id[ending.request_id]
        if runs:
            return {run.service for run in runs}
        return {None} if ending.status == NO_ROUTE else None

    def _planned_work(self, ending: Ending) -> Iterator[Finding]:
        """Find requests that ran and got no answer, though nothing was wrong."""
        if ending.status is not None or ending.left:
            return
        if not self.runs_by_id[ending.request_id]:
            return
        if self.is_calm(ending.sent_at - TOUCH_SECONDS, ending.ended_at):
            yield Finding('planned stop', f'{ending.request_id} was cut at {ending.vm}')

    def _rollbacks(self) -> Iterator[Finding]:
        by_vm: defaultdict[str, list[Ending]] = defaultdict(list)
        for ending in sorted(self.endings, key=lambda each: each.ended_at):
            by_vm[ending.vm].append(ending)
        for vm, endings in by_vm.items():
            proved, proved_at = 0, 0.0
            for ending in endings:
                if not self.is_calm(ending.sent_at, ending.ended_at, vm):
                    proved = 0  # a restarted VM begins anew
                    continue
                if ending.sent_at > proved_at + ROLLBACK_SECONDS and (
                    self._explained(ending, proved) is False
                ):
                    yield Finding('no going back', f'{ending.request_id} at {vm}')
                number = self._oldest_explaining(ending)
                if number > proved:
                    proved, proved_at = number, ending.ended_at

    def _oldest_explaining(self, ending: Ending) -> int:
        services = self._effect(ending)
        if services is None:
            return 0
        numbers = [
            v.number for v in self.versions if v.service(ending.path) in services
        ]
        return min(numbers, default=0)

    def _recovery(self) -> Iterator[Finding]:
        late = [each for each in self.endings if each.sent_at >= self.calm_from]
        served = sum(each.status == 200 for each in late)
        if not late or served < SERVED_SHARE * len(late):
            yield Finding('recovery', f'{served} of {len(late)} served in the calm')
