"""Records what callers and backend servers observed, and checks the guarantees.

Each check yields findings, that is violated guarantees. Time limits are checked only
for entry VMs that were not disturbed, as faults may delay them.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from tests.fakes.platform_server import ServerRun, response_body, response_stamp

STABILITY_WINDOW_SECONDS = 3.0  # limits hold for VMs undisturbed this long
DRAIN_LIMIT_SECONDS = 2.5  # from confirmation by the store to the last new request
EVACUATION_LIMIT_SECONDS = 5.0  # the same, for an evacuated failure domain
CONFIG_LIMIT_SECONDS = 2.5  # the same, until a new desired state is in force
ROLLBACK_TOLERANCE_SECONDS = 0.25  # an older version may seem in use this long
SERVED_SHARE = 0.9  # minimum share of the requests served in the final calm
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
NO_ROUTE_STATUS = 404


@dataclass(frozen=True, slots=True)
class Finding:
    """A violated guarantee."""

    guarantee: str
    text: str


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """The outcome of a caller's request.

    ``status`` is None if no complete response was received. ``is_aborted`` is set if
    the caller aborted the request early.
    """

    request_id: str
    vm: str
    path: str
    repeatable: bool
    sent_at: float
    ended_at: float
    status: int | None = None
    stamp: str = ''
    body: bytes = b''
    is_aborted: bool = False


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A disturbance of a component, from start to end, in seconds."""

    component: str
    start: float
    end: float
    planned: bool = False


@dataclass(frozen=True, slots=True)
class ConfirmedChange:
    """A change confirmed by the store: a server drains, a domain is evacuated."""

    name: str
    at: float
    until: float = float('inf')


@dataclass(frozen=True, slots=True)
class DesiredStateVersion:
    """One version of the desired state: the service of each path prefix."""

    number: int
    at: float
    service_by_prefix: dict[str, str]

    def service(self, path: str) -> str | None:
        """Return the service of the path, or None if it has no route."""
        return self.service_by_prefix.get(path[: path.rfind('/') + 1])


@dataclass(slots=True)
class Ledger:
    """Everything observed in one run."""

    runs_by_id: defaultdict[str, list[ServerRun]] = field(
        default_factory=lambda: defaultdict(list)
    )
    outcomes: list[RequestOutcome] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    draining: list[ConfirmedChange] = field(default_factory=list)
    evacuations: list[ConfirmedChange] = field(default_factory=list)
    versions: list[DesiredStateVersion] = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    calm_since: float = float('inf')

    def record_run(self, run: ServerRun) -> None:
        """Record that a backend server began to run a request."""
        self.runs_by_id[run.request_id].append(run)

    def was_undisturbed(self, start: float, end: float, *components: str) -> bool:
        """Return whether the components were undisturbed from start to end.

        Without components, return whether no unplanned disturbance happened at all.
        """
        return not any(
            each.start <= end and each.end >= start
            for each in self.disturbances
            if (each.component in components if components else not each.planned)
        )

    def was_stable(self, vm: str, at: float) -> bool:
        """Return whether VM and store were undisturbed for the stability window."""
        return self.was_undisturbed(at - STABILITY_WINDOW_SECONDS, at, vm, 'store')

    def findings(self) -> list[Finding]:
        """Return every violated guarantee."""
        found: list[Finding] = []
        for outcome in self.outcomes:
            found += self._check_response(outcome)
            found += self._check_executions(outcome)
            found += self._check_time_limits(outcome)
            found += self._check_planned_stops(outcome)
        found += [Finding('no unexpected exit', text) for text in self.unexpected_exits]
        found += [Finding('no error', text) for text in self.errors]
        found += self._check_rollbacks()
        found += self._check_recovery()
        return found

    def _check_response(self, outcome: RequestOutcome) -> Iterator[Finding]:
        if outcome.status is None or not 200 <= outcome.status < 300:
            return
        for run in self.runs_by_id[outcome.request_id]:
            stamp = response_stamp(run.server_id, outcome.request_id)
            body = response_body(
                run.server_id, outcome.request_id, outcome.path, len(outcome.body)
            )
            if outcome.stamp == stamp and outcome.body == body and body:
                return
        yield Finding(
            'matching response', f'{outcome.request_id} did not get its own response'
        )

    def _check_executions(self, outcome: RequestOutcome) -> Iterator[Finding]:
        runs = self.runs_by_id[outcome.request_id]
        allowed = {version.service(outcome.path) for version in self.versions}
        for run in runs:
            if run.service not in allowed:
                yield Finding('route', f'{outcome.request_id} ran on {run.service}')
        if outcome.repeatable:
            return
        if len(runs) > 1:
            yield Finding('at most once', f'{outcome.request_id} ran {len(runs)} times')
        if runs and outcome.status in NOT_RUN_STATUSES:
            yield Finding(
                'refused requests do not run',
                f'{outcome.request_id}: status {outcome.status}, but it ran',
            )

    def _check_time_limits(self, outcome: RequestOutcome) -> Iterator[Finding]:
        for run in self.runs_by_id[outcome.request_id]:
            if not self.was_stable(outcome.vm, run.at):
                continue
            for each in self.draining:
                if (
                    run.server_id == each.name
                    and run.at > each.at + DRAIN_LIMIT_SECONDS
                ):
                    yield Finding('drain', f'{outcome.request_id} ran on {each.name}')
            for each in self.evacuations:
                late = each.at + EVACUATION_LIMIT_SECONDS < run.at < each.until
                if run.failure_domain == each.name and late:
                    yield Finding(
                        'evacuation', f'{outcome.request_id} ran in {each.name}'
                    )
        matches = self._matches_version_in_force(outcome)
        if matches is not None and not matches:
            yield Finding(
                'desired state in force',
                f'{outcome.request_id} {outcome.path} at {outcome.vm}: old version',
            )

    def _matches_version_in_force(self, outcome: RequestOutcome) -> bool | None:
        """Return whether a version that may be in force explains the outcome.

        Return None if the VM was disturbed or the outcome does not tell.
        """
        if not self.was_stable(outcome.vm, outcome.sent_at):
            return None
        due = [
            v for v in self.versions if v.at <= outcome.sent_at - CONFIG_LIMIT_SECONDS
        ]
        current = due[-1].number if due else 0
        return self._matches_any_version(outcome, current)

    def _matches_any_version(self, outcome: RequestOutcome, oldest: int) -> bool | None:
        services = self._observed_services(outcome)
        if services is None:
            return None
        return any(
            version.service(outcome.path) in services
            for version in self.versions
            if version.number >= oldest
        )

    def _observed_services(self, outcome: RequestOutcome) -> set[str | None] | None:
        runs = self.runs_by_id[outcome.request_id]
        if runs:
            return {run.service for run in runs}
        return {None} if outcome.status == NO_ROUTE_STATUS else None

    def _check_planned_stops(self, outcome: RequestOutcome) -> Iterator[Finding]:
        """Find requests that ran but got no response, without any unplanned fault."""
        if outcome.status is not None or outcome.is_aborted:
            return
        if not self.runs_by_id[outcome.request_id]:
            return
        if self.was_undisturbed(
            outcome.sent_at - STABILITY_WINDOW_SECONDS, outcome.ended_at
        ):
            yield Finding(
                'planned stop', f'{outcome.request_id} was cut off at {outcome.vm}'
            )

    def _check_rollbacks(self) -> Iterator[Finding]:
        outcomes_by_vm: defaultdict[str, list[RequestOutcome]] = defaultdict(list)
        for outcome in sorted(self.outcomes, key=lambda each: each.ended_at):
            outcomes_by_vm[outcome.vm].append(outcome)
        for vm, outcomes in outcomes_by_vm.items():
            proven, proven_at = 0, 0.0
            for outcome in outcomes:
                if not self.was_undisturbed(outcome.sent_at, outcome.ended_at, vm):
                    proven = 0  # a restarted VM has no version yet
                    continue
                if outcome.sent_at > proven_at + ROLLBACK_TOLERANCE_SECONDS and (
                    self._matches_any_version(outcome, proven) is False
                ):
                    yield Finding('no rollback', f'{outcome.request_id} at {vm}')
                number = self._oldest_matching_version(outcome)
                if number > proven:
                    proven, proven_at = number, outcome.ended_at

    def _oldest_matching_version(self, outcome: RequestOutcome) -> int:
        services = self._observed_services(outcome)
        if services is None:
            return 0
        numbers = [
            v.number for v in self.versions if v.service(outcome.path) in services
        ]
        return min(numbers, default=0)

    def _check_recovery(self) -> Iterator[Finding]:
        late = [each for each in self.outcomes if each.sent_at >= self.calm_since]
        served = sum(each.status == 200 for each in late)
        if not late or served < SERVED_SHARE * len(late):
            yield Finding(
                'recovery', f'{served} of {len(late)} served in the final calm'
            )
