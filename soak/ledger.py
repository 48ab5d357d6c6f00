"""Records what callers and backend servers observed, and checks the guarantees.

Each check yields findings, that is violated guarantees. Time limits are checked only
for entry VMs that were not disturbed, as faults may delay them.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from tests.fakes.platform_server import (
    ServerArrival,
    ServerRun,
    TurnedAway,
    response_body,
    response_stamp,
)

STABILITY_WINDOW_SECONDS = 3.0  # limits hold for VMs undisturbed this long
DRAIN_LIMIT_SECONDS = 2.5  # from confirmation by the store to the last new request
EVACUATION_LIMIT_SECONDS = 5.0  # the same, for an evacuated failure domain
CONFIG_LIMIT_SECONDS = 2.5  # the same, until a new desired state is in force
ROLLBACK_TOLERANCE_SECONDS = 0.25  # an older version may seem in use this long
LOSS_SLACK_SECONDS = 0.2  # a request may have crossed the end of its connection
LIMIT_WINDOW_SECONDS = 4.0  # window in which requests to a limited server count
LIMIT_MULTIPLIER = 1.5  # of the limit, that such a window may hold
LIMIT_SLACK_REQUESTS = 5
LIMIT_TOLD_SECONDS = 0.5  # a VM is bound this long after it passed on the limit
PAUSE_TOLD_SECONDS = 0.5  # after which a VM knows that a server wants nothing
PAUSE_MAX_REQUESTS = 2  # from one VM in the rest of a pause
SERVED_SHARE = 0.9  # minimum share of the requests served in the final calm
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
NO_ROUTE_STATUS = 404
NO_TENANT_STATUS = 401

STATUS_CAPPED = 429
CAPPED_TENANT = 'tenant-1'
CAP_PER_SECOND = 30.0
CAP_BURST = 10.0
CAP_WINDOW_SECONDS = 5.0
MOST_OF_CAPPED = (CAP_PER_SECOND * CAP_WINDOW_SECONDS + CAP_BURST) * 1.1 + 20.0


@dataclass(frozen=True, slots=True)
class Finding:
    """A violated guarantee."""

    guarantee: str
    text: str


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """The outcome of a caller's request.

    ``status`` is None if no complete response was received. ``is_aborted`` is set if
    the caller aborted the request early. ``limited_server`` is the server that
    answered, if it named a request rate limit, and ``leaving_server`` if it said that
    it leaves. ``completed_at`` is when the last byte was sent, if the caller knows.
    ``key`` is the key that the caller sent.
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
    limited_server: str = ''
    leaving_server: str = ''
    completed_at: float | None = None
    key: str = ''

    @property
    def was_held(self) -> bool:
        """Return whether it was sent whole and held longer than it can cross an end."""
        if self.completed_at is None:
            return False
        return self.ended_at - self.completed_at > LOSS_SLACK_SECONDS


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
class NamedLimit:
    """A server names a limit in requests per second from now on, or withdraws it."""

    server_id: str
    at: float
    per_second: float | None


@dataclass(frozen=True, slots=True)
class LimitSpan:
    """A time in which a server named limits; ``changes`` are their times and values."""

    server_id: str
    changes: tuple[tuple[float, float], ...]
    end: float

    def highest(self, start: float, end: float) -> float:
        """Return the highest limit that was in force between two times."""
        times = [at for at, _ in self.changes[1:]] + [self.end]
        return max(
            (
                per_second
                for (at, per_second), until in zip(self.changes, times, strict=True)
                if at <= end and until >= start
            ),
            default=0.0,
        )


@dataclass(frozen=True, slots=True)
class DesiredStateVersion:
    """One version of the desired state.

    Without a tenant in ``tenant_by_key``, no request needs a key.
    """

    number: int
    at: float
    service_by_prefix: dict[str, str]
    tenant_by_key: dict[str, str] = field(default_factory=dict)

    def service(self, path: str) -> str | None:
        """Return the service of the path, or None if it has no route."""
        return self.service_by_prefix.get(path[: path.rfind('/') + 1])

    def tenants(self, key: str) -> tuple[str, ...] | None:
        """Return what names the tenant to servers, or None if the key is refused."""
        if not self.tenant_by_key:
            return ()
        return (self.tenant_by_key[key],) if key in self.tenant_by_key else None


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
    limits: list[NamedLimit] = field(default_factory=list)
    arrivals_by_server: dict[str, list[ServerArrival]] = field(default_factory=dict)
    turned_away_by_server: dict[str, list[TurnedAway]] = field(default_factory=dict)
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
            found += self._check_keys(outcome)
            found += self._check_planned_stops(outcome)
        found += [Finding('no unexpected exit', text) for text in self.unexpected_exits]
        found += [Finding('no error', text) for text in self.errors]
        found += self._check_rollbacks()
        found += self._check_limits()
        found += self._check_usage_cap()
        found += self._check_leaving_answers()
        found += self._check_pauses()
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

    def _check_keys(self, outcome: RequestOutcome) -> Iterator[Finding]:
        """Find runs for a wrong tenant, and keys in use before or after their time."""
        runs = self.runs_by_id[outcome.request_id]
        if any(run.has_key for run in runs):
            yield Finding(
                'key kept back', f'{outcome.request_id}: a server got the key'
            )
        held = {version.tenants(outcome.key) for version in self.versions}
        for run in runs:
            if run.tenants not in held:
                yield Finding('tenant', f'{outcome.request_id} ran for {run.tenants}')
        if not self.was_stable(outcome.vm, outcome.sent_at):
            return
        in_force = {
            each.tenants(outcome.key)
            for each in self._versions_in_force(outcome.sent_at, outcome.ended_at)
        }
        if runs and in_force == {None}:
            yield Finding('key taken away', f'{outcome.request_id} at {outcome.vm}')
        if outcome.status == NO_TENANT_STATUS and None not in in_force:
            yield Finding('key added', f'{outcome.request_id} at {outcome.vm}')

    def _versions_in_force(self, start: float, end: float) -> list[DesiredStateVersion]:
        """Return the versions that may be in force between two times."""
        due = [v for v in self.versions if v.at <= start - CONFIG_LIMIT_SECONDS]
        oldest = due[-1].number if due else 0
        return [v for v in self.versions if v.number >= oldest and v.at <= end]

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
        """Find requests that ran or were held, but got no response.

        Those that an unplanned fault may have ended are left out.
        """
        if outcome.status is not None or outcome.is_aborted:
            return
        if not self.runs_by_id[outcome.request_id] and not outcome.was_held:
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

    def _check_limits(self) -> Iterator[Finding]:
        """Find servers that got more than their limit from VMs that knew of it."""
        told_at = self._times_told()
        vm_by_request = {each.request_id: each.vm for each in self.outcomes}
        for span in self._limit_spans():
            start = span.changes[0][0]
            counted: list[float] = []
            for arrival in self.arrivals_by_server.get(span.server_id, ()):
                vm = vm_by_request.get(arrival.request_id)
                if vm is None or not start <= arrival.at < span.end:
                    continue
                if not self._was_told(
                    vm, arrival.at, start, told_at[vm, span.server_id]
                ):
                    continue
                counted.append(arrival.at)
                if (text := self._limit_violation(span, counted)) is not None:
                    yield Finding('limit of a server', text)
                    break

    def _check_usage_cap(self) -> Iterator[Finding]:
        """Find a window in which more requests of the capped tenant were run.

        Counted are requests that were sent and reached a server inside the window. It
        binds at all times, whichever VMs are disturbed.
        """
        runs = sorted(
            (run.at, outcome.sent_at)
            for outcome in self.outcomes
            for run in self.runs_by_id[outcome.request_id]
            if run.tenants == (CAPPED_TENANT,)
        )
        for index, (at, _) in enumerate(runs):
            since = at - CAP_WINDOW_SECONDS
            count = sum(sent_at >= since for _, sent_at in runs[: index + 1])
            if count > MOST_OF_CAPPED:
                yield Finding('usage cap', f'{count} requests in 5 s until {at:.2f}')
                return

    def _limit_violation(self, span: LimitSpan, counted: list[float]) -> str | None:
        at = counted[-1]
        if at < span.changes[0][0] + STABILITY_WINDOW_SECONDS:
            return None
        since = at - LIMIT_WINDOW_SECONDS
        if not self.was_undisturbed(
            since - STABILITY_WINDOW_SECONDS, at, span.server_id
        ):
            return None
        count = sum(each > since for each in counted)
        limit = span.highest(since - LIMIT_TOLD_SECONDS, at)
        bound = LIMIT_MULTIPLIER * limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK_REQUESTS
        if count <= bound:
            return None
        return f'{span.server_id}: {count} requests in 4 s, allowed {bound:.0f}'

    def _was_told(
        self, vm: str, at: float, since: float, told_times: list[float]
    ) -> bool:
        """Return whether the VM knew of the limit named at ``since``, undisturbed."""
        latest = max(
            (each for each in told_times if each <= at - LIMIT_TOLD_SECONDS),
            default=since,
        )
        return latest > since and self.was_undisturbed(latest, at, vm)

    def _times_told(self) -> defaultdict[tuple[str, str], list[float]]:
        times: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
        for outcome in self.outcomes:
            if outcome.limited_server:
                key = outcome.vm, outcome.limited_server
                times[key].append(outcome.ended_at)
        return times

    def _limit_spans(self) -> Iterator[LimitSpan]:
        changes_by_server: defaultdict[str, list[tuple[float, float]]]
        changes_by_server = defaultdict(list)
        for limit in self.limits:
            changes = changes_by_server[limit.server_id]
            if limit.per_second is not None:
                changes.append((limit.at, limit.per_second))
            elif changes:
                yield LimitSpan(limit.server_id, tuple(changes), limit.at)
                changes.clear()
        for server_id, changes in changes_by_server.items():
            if changes:
                yield LimitSpan(server_id, tuple(changes), float('inf'))

    def _check_leaving_answers(self) -> Iterator[Finding]:
        """Find requests that ran at a server after it told their VM that it leaves."""
        told_at: dict[tuple[str, str], float] = {}
        for outcome in sorted(self.outcomes, key=lambda each: each.ended_at):
            if outcome.leaving_server:
                key = outcome.vm, outcome.leaving_server
                told_at.setdefault(key, outcome.ended_at)
        for outcome in self.outcomes:
            for run in self.runs_by_id[outcome.request_id]:
                told = told_at.get((outcome.vm, run.server_id))
                if told is None or outcome.sent_at <= told + DRAIN_LIMIT_SECONDS:
                    continue
                if self.was_undisturbed(told, run.at, outcome.vm, run.server_id):
                    yield Finding(
                        'leaving by answer',
                        f'{outcome.request_id} ran on {run.server_id}',
                    )

    def _check_pauses(self) -> Iterator[Finding]:
        """Find servers that got requests from a VM that they had asked for none."""
        vm_by_request = {each.request_id: each.vm for each in self.outcomes}
        for server_id, turned_away in self.turned_away_by_server.items():
            arrivals = [
                (vm_by_request.get(each.request_id), each.at)
                for each in self.arrivals_by_server.get(server_id, ())
            ]
            for each in turned_away:
                vm, end = (
                    vm_by_request.get(each.request_id),
                    each.at + each.pause_seconds,
                )
                if vm is None or not self.was_undisturbed(each.at, end, vm, server_id):
                    continue
                told = each.at + PAUSE_TOLD_SECONDS
                count = sum(by == vm and told < at < end for by, at in arrivals)
                if count > PAUSE_MAX_REQUESTS:
                    yield Finding(
                        'pause of a server',
                        f'{server_id}: {count} from {vm} in a pause',
                    )

    def _check_recovery(self) -> Iterator[Finding]:
        late = [
            each
            for each in self.outcomes
            if each.sent_at >= self.calm_since
            and each.status != STATUS_CAPPED
            and not (self.versions and self.versions[-1].tenants(each.key) is None)
        ]
        served = sum(each.status == 200 for each in late)
        if not late or served < SERVED_SHARE * len(late):
            yield Finding(
                'recovery', f'{served} of {len(late)} served in the final calm'
            )
