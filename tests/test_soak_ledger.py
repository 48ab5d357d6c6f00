"""The checks of the soak find each violated guarantee, and nothing else."""

from dataclasses import replace

import pytest

from soak.ledger import (
    CAPPED_TENANT,
    CONFIG_LIMIT_SECONDS,
    DRAIN_LIMIT_SECONDS,
    EVACUATION_LIMIT_SECONDS,
    STABILITY_WINDOW_SECONDS,
    ConfirmedChange,
    DesiredStateVersion,
    Disturbance,
    Ledger,
    NamedLimit,
    RequestOutcome,
)
from soak.plan import (
    ADD_VM_KIND,
    FINAL_CALM_SECONDS,
    LIMIT_KINDS,
    PLANNED_KINDS,
    STATEMENT_KINDS,
    UNPLANNED_KINDS,
    make_limit_plan,
    make_plan,
    make_statement_plan,
)
from tests.fakes.platform_server import (
    ServerArrival,
    ServerRun,
    TurnedAway,
    response_body,
    response_stamp,
)

OLD_VERSION = DesiredStateVersion(
    1, 0.0, {'/a/': 'catalogue', '/o/': 'till', '/m/': 'catalogue'}
)
NEW_VERSION = DesiredStateVersion(
    2, 10.0, {'/a/': 'catalogue', '/o/': 'till', '/m/': 'spare'}
)


def an_outcome(
    path: str = '/a/1', at: float = 5.0, **changes: object
) -> RequestOutcome:
    fields: dict[str, object] = {
        'request_id': 'r1',
        'vm': 'entry-1',
        'path': path,
        'repeatable': not path.startswith('/o/'),
        'sent_at': at,
        'ended_at': at + 0.1,
        'status': 200,
        'stamp': response_stamp('i-1', 'r1'),
        'body': response_body('i-1', 'r1', path, 500),
        **changes,
    }
    return RequestOutcome(**fields)  # type: ignore[arg-type]


def a_run(service: str = 'catalogue', at: float = 5.0) -> ServerRun:
    return ServerRun('r1', 'i-1', service, 'dar-a', at)


def a_ledger(outcome: RequestOutcome, *runs: ServerRun) -> Ledger:
    """Return a ledger with one request and its runs on backend servers."""
    ledger = Ledger(versions=[OLD_VERSION, NEW_VERSION])
    ledger.outcomes = [outcome]
    for run in runs:
        ledger.record_run(run)
    return ledger


def violated_guarantees(ledger: Ledger) -> set[str]:
    found = {finding.guarantee for finding in ledger.findings()}
    return found - {'recovery'}


def test_a_successful_request_has_no_findings() -> None:
    ledger = a_ledger(an_outcome(), a_run())
    ledger.calm_since = 4.0
    assert ledger.findings() == []


@pytest.mark.parametrize(
    'changes',
    [
        {'body': response_body('i-1', 'r1', '/a/1', 500)[:-1] + b'x'},
        {'body': response_body('i-1', 'r2', '/a/1', 500)},
        {'body': b''},
        {'stamp': ''},
        {'stamp': response_stamp('i-2', 'r1')},
    ],
)
def test_a_response_of_another_request_is_found(changes: dict[str, object]) -> None:
    assert violated_guarantees(a_ledger(an_outcome(**changes), a_run())) == {
        'matching response'
    }


def test_an_order_that_ran_twice_is_found() -> None:
    order = an_outcome('/o/1', status=None, is_aborted=True)
    runs = a_run('till'), a_run('till')
    assert violated_guarantees(a_ledger(order, *runs)) == {'at most once'}


def test_a_refused_request_that_ran_is_found() -> None:
    order = an_outcome('/o/1', status=503)
    assert violated_guarantees(a_ledger(order, a_run('till'))) == {
        'refused requests do not run'
    }


def test_a_run_at_a_service_that_was_never_allowed_is_found() -> None:
    assert 'route' in violated_guarantees(a_ledger(an_outcome(), a_run('till')))


def test_a_draining_server_that_is_still_used_is_found() -> None:
    ledger = a_ledger(an_outcome(at=20.0), a_run(at=20.0))
    ledger.draining = [ConfirmedChange('i-1', 20.0 - DRAIN_LIMIT_SECONDS - 0.1)]
    assert violated_guarantees(ledger) == {'drain'}
    ledger.disturbances = [
        Disturbance('entry-1', 10.0, 20.1 - STABILITY_WINDOW_SECONDS)
    ]
    assert violated_guarantees(ledger) == set()


def test_an_evacuated_domain_that_is_still_used_is_found() -> None:
    ledger = a_ledger(an_outcome(at=20.0), a_run(at=20.0))
    ledger.evacuations = [
        ConfirmedChange('dar-a', 20.0 - EVACUATION_LIMIT_SECONDS - 0.1, 30.0)
    ]
    assert violated_guarantees(ledger) == {'evacuation'}
    ledger.evacuations = [
        ConfirmedChange('dar-a', 20.0 - EVACUATION_LIMIT_SECONDS + 0.1, 30.0)
    ]
    assert violated_guarantees(ledger) == set()


def test_an_old_desired_state_is_found() -> None:
    late = 10.0 + CONFIG_LIMIT_SECONDS + 0.1
    ledger = a_ledger(an_outcome('/m/1', at=late), a_run(at=late))
    assert violated_guarantees(ledger) == {'desired state in force'}
    soon = 10.0 + CONFIG_LIMIT_SECONDS - 0.1
    ledger = a_ledger(an_outcome('/m/1', at=soon), a_run(at=soon))
    assert violated_guarantees(ledger) == set()


def test_a_rollback_to_an_older_desired_state_is_found() -> None:
    first = an_outcome('/m/1', at=10.5)
    ledger = a_ledger(first, a_run('spare', at=10.5))
    second = an_outcome('/m/1', at=11.5, request_id='r2', status=502)
    ledger.outcomes.append(second)
    ledger.record_run(ServerRun('r2', 'i-1', 'catalogue', 'dar-a', 11.5))
    assert violated_guarantees(ledger) == {'no rollback'}
    ledger.disturbances = [Disturbance('entry-1', 11.0, 11.6, planned=True)]
    assert violated_guarantees(ledger) == set()


def test_a_request_cut_off_at_a_planned_stop_is_found() -> None:
    cut = an_outcome(status=None)
    ledger = a_ledger(cut, a_run())
    ledger.disturbances = [Disturbance('entry-1', 5.0, 6.0, planned=True)]
    assert violated_guarantees(ledger) == {'planned stop'}
    ledger.disturbances = [Disturbance('i-1', 4.0, 6.0)]
    assert violated_guarantees(ledger) == set()


def test_a_process_that_exits_unexpectedly_is_found() -> None:
    ledger = a_ledger(an_outcome(), a_run())
    ledger.unexpected_exits = ['entry-1 exited unexpectedly with status 1']
    ledger.errors = ['entry-1: a traceback']
    assert violated_guarantees(ledger) == {'no unexpected exit', 'no error'}


def test_a_fleet_that_does_not_recover_is_found() -> None:
    ledger = a_ledger(an_outcome(status=502, at=20.0))
    ledger.calm_since = 19.0
    assert {each.guarantee for each in ledger.findings()} == {'recovery'}


def test_a_plan_depends_only_on_its_seed_and_ends_without_faults() -> None:
    assert make_plan(7, 30.0) == make_plan(7, 30.0)
    assert make_plan(7, 30.0) != make_plan(8, 30.0)
    kinds = set()
    for seed in range(40):
        plan = make_plan(seed, 30.0)
        kinds |= {fault.kind for fault in plan}
        assert all(
            fault.at + fault.duration_seconds < 30.0 - FINAL_CALM_SECONDS + 1.0
            for fault in plan
        )
    assert kinds == {*PLANNED_KINDS, *UNPLANNED_KINDS}


def a_limited_ledger(
    per_second: float, *limits: NamedLimit, rate: float = 20.0, until: float = 10.0
) -> Ledger:
    """Return a ledger of a server that names its limit at 1 s and is sent requests."""
    ledger = Ledger(versions=[OLD_VERSION])
    ledger.limits = [NamedLimit('i-1', 1.0, per_second), *limits]
    arrivals = []
    for number in range(int((until - 1.0) * rate)):
        at = 1.0 + number / rate
        request_id = f'r{number}'
        arrivals.append(ServerArrival(request_id, at))
        outcome = an_outcome(
            request_id=request_id,
            at=at,
            ended_at=at + 0.05,
            stamp=response_stamp('i-1', request_id),
            body=response_body('i-1', request_id, '/a/1', 500),
            limited_server='i-1',
        )
        ledger.outcomes.append(outcome)
        ledger.record_run(ServerRun(request_id, 'i-1', 'catalogue', 'dar-a', at))
    ledger.arrivals_by_server['i-1'] = arrivals
    return ledger


def test_a_server_that_gets_more_than_its_limit_is_found() -> None:
    assert violated_guarantees(a_limited_ledger(8.0)) == {'limit of a server'}
    assert violated_guarantees(a_limited_ledger(20.0)) == set()


def test_a_lowered_limit_is_checked_and_a_withdrawn_one_is_not() -> None:
    lowered = NamedLimit('i-1', 2.0, 4.0)
    assert 'limit of a server' in violated_guarantees(a_limited_ledger(20.0, lowered))
    withdrawn = NamedLimit('i-1', 4.0, None)
    assert violated_guarantees(a_limited_ledger(8.0, withdrawn)) == set()
    raised = NamedLimit('i-1', 2.0, 20.0)
    assert violated_guarantees(a_limited_ledger(4.0, raised)) == set()


def test_requests_of_vms_that_restarted_or_were_not_told_do_not_count() -> None:
    restarted = a_limited_ledger(8.0)
    restarted.disturbances = [
        Disturbance('entry-1', 0.6 * number, 0.6 * number) for number in range(20)
    ]
    assert 'limit of a server' not in violated_guarantees(restarted)
    untold = a_limited_ledger(8.0)
    untold.outcomes = [replace(each, limited_server='') for each in untold.outcomes]
    assert violated_guarantees(untold) == set()


def test_a_limit_plan_depends_on_the_seed_and_ends_before_the_final_calm() -> None:
    kinds = set()
    for seed in range(20):
        plan = make_limit_plan(seed, 20.0)
        assert plan == make_limit_plan(seed, 20.0)
        end = 20.0 - FINAL_CALM_SECONDS
        assert all(fault.at + fault.duration_seconds <= end + 1e-9 for fault in plan)
        kinds |= {fault.kind for fault in plan}
    assert kinds == {*LIMIT_KINDS, ADD_VM_KIND}


def test_a_server_that_said_it_leaves_and_is_still_used_is_found() -> None:
    told = an_outcome(at=5.0, request_id='r0', leaving_server='i-1', status=503)
    late = an_outcome(at=5.2 + DRAIN_LIMIT_SECONDS)
    ledger = a_ledger(late, a_run(at=late.sent_at))
    ledger.outcomes.append(told)
    assert violated_guarantees(ledger) == {'leaving by answer'}
    for component in ('entry-1', 'i-1'):
        ledger.disturbances = [Disturbance(component, 6.0, 6.1)]
        assert violated_guarantees(ledger) == set()
    ledger.disturbances = [Disturbance('store', 6.0, 6.1)]
    assert violated_guarantees(ledger) == {'leaving by answer'}
    ledger.outcomes[0] = replace(late, vm='entry-2')
    assert violated_guarantees(ledger) == set()


def test_a_server_that_gets_requests_in_its_pause_is_found() -> None:
    ids = [f'p{number}' for number in range(4)]
    ledger = Ledger(versions=[OLD_VERSION])
    ledger.outcomes = [an_outcome(request_id=each, status=503) for each in ids]
    ledger.turned_away_by_server = {'i-1': [TurnedAway('p0', 5.0, 3.0)]}
    ledger.arrivals_by_server = {
        'i-1': [ServerArrival(each, 6.0 + 0.1 * n) for n, each in enumerate(ids)]
    }
    assert violated_guarantees(ledger) == {'pause of a server'}
    ledger.disturbances = [Disturbance('entry-1', 6.5, 6.6)]
    assert violated_guarantees(ledger) == set()
    ledger.disturbances = []
    ledger.arrivals_by_server['i-1'] = [ServerArrival(each, 5.4) for each in ids] + [
        ServerArrival(each, 8.1) for each in ids
    ]
    assert violated_guarantees(ledger) == set()


def test_a_statement_plan_depends_on_the_seed_and_ends_before_the_final_calm() -> None:
    plan = make_statement_plan(7, 20.0)
    assert plan == make_statement_plan(7, 20.0) != make_statement_plan(8, 20.0)
    kinds = {each.kind for seed in range(9) for each in make_statement_plan(seed, 20.0)}
    assert kinds == set(STATEMENT_KINDS)
    for each in plan:
        assert each.at + each.duration_seconds <= 20.0 - FINAL_CALM_SECONDS


def with_keys(outcome: RequestOutcome, *runs: ServerRun) -> Ledger:
    """Return a ledger in which version 2 takes the key k-1 away and adds k-2."""
    ledger = a_ledger(outcome, *runs)
    ledger.versions = [
        replace(OLD_VERSION, tenant_by_key={'k-1': 'a'}),
        replace(NEW_VERSION, tenant_by_key={'k-2': 'b'}),
    ]
    return ledger


@pytest.mark.parametrize(
    ('key', 'at', 'run', 'guarantees'),
    [
        ('k-1', 5.0, {'tenants': ('a',)}, set()),
        ('k-1', 5.0, {'tenants': ('a',), 'has_key': True}, {'key kept back'}),
        ('k-1', 5.0, {'tenants': ('b',)}, {'tenant'}),
        ('k-1', 5.0, {'tenants': ('a', 'a')}, {'tenant'}),
        ('k-1', 5.0, {}, {'tenant'}),
        ('k-1', 10.1 + CONFIG_LIMIT_SECONDS, {'tenants': ('a',)}, {'key taken away'}),
        ('k-1', 9.9 + CONFIG_LIMIT_SECONDS, {'tenants': ('a',)}, set()),
        ('k-2', 11.0, {'tenants': ('b',)}, set()),
        ('k-3', 5.0, {'tenants': ('a',)}, {'tenant', 'key taken away'}),
    ],
)
def test_a_run_for_a_key_that_is_not_held_is_found(
    key: str, at: float, run: dict[str, object], guarantees: set[str]
) -> None:
    outcome = an_outcome(at=at, key=key)
    ledger = with_keys(outcome, replace(a_run(at=at), **run))
    assert violated_guarantees(ledger) == guarantees


@pytest.mark.parametrize(
    ('key', 'at', 'guarantees'),
    [
        ('k-1', 5.0, {'key added'}),
        ('k-1', 10.5, set()),
        ('k-2', 11.0, set()),
        ('k-2', 10.1 + CONFIG_LIMIT_SECONDS, {'key added'}),
        ('k-3', 20.0, set()),
    ],
)
def test_a_refusal_of_a_key_that_is_held_is_found(
    key: str, at: float, guarantees: set[str]
) -> None:
    ledger = with_keys(an_outcome(at=at, key=key, status=401))
    assert violated_guarantees(ledger) == guarantees


@pytest.mark.parametrize(('count', 'guarantees'), [(190, set()), (200, {'usage cap'})])
def test_more_runs_of_a_capped_tenant_than_allowed_are_found(
    count: int, guarantees: set[str]
) -> None:
    """Those that were sent before the window don't count."""
    outcomes, runs = [], []
    for number in range(count + 50):
        sent_at = 1.0 if number < 50 else 6.5
        name = f'r-{number}'
        outcomes.append(replace(an_outcome(at=sent_at), request_id=name, key='k-1'))
        runs.append(replace(a_run(at=6.6), request_id=name, tenants=(CAPPED_TENANT,)))
    ledger = a_ledger(outcomes[0], *runs)
    ledger.outcomes[:] = outcomes
    assert {each.guarantee for each in ledger._check_usage_cap()} == guarantees
