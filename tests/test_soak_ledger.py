"""The soak's checks find each broken promise, and nothing else."""

import pytest

from soak.ledger import (
    CONFIG_SECONDS,
    DRAIN_SECONDS,
    EVACUATION_SECONDS,
    TOUCH_SECONDS,
    Confirmed,
    Disturbance,
    Ending,
    Ledger,
    Version,
)
from soak.plan import CALM_SECONDS, PLANNED, UNPLANNED, make_plan
from tests.fakes.platform_server import ServerRun, response_body, response_stamp

OLD = Version(1, 0.0, {'/a/': 'catalogue', '/o/': 'till', '/m/': 'catalogue'})
NEW = Version(2, 10.0, {'/a/': 'catalogue', '/o/': 'till', '/m/': 'spare'})


def an_ending(path: str = '/a/1', at: float = 5.0, **changes: object) -> Ending:
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
    return Ending(**fields)  # type: ignore[arg-type]


def a_run(service: str = 'catalogue', at: float = 5.0) -> ServerRun:
    return ServerRun('r1', 'i-1', service, 'dar-a', at)


def a_ledger(ending: Ending, *runs: ServerRun) -> Ledger:
    """Return a ledger with one request, served well at the end."""
    ledger = Ledger(versions=[OLD, NEW])
    ledger.endings = [ending]
    for run in runs:
        ledger.ran(run)
    return ledger


def promises(ledger: Ledger) -> set[str]:
    found = {finding.promise for finding in ledger.findings()}
    return found - {'recovery'}


def test_a_good_request_breaks_nothing() -> None:
    ledger = a_ledger(an_ending(), a_run())
    ledger.calm_from = 4.0
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
def test_bytes_of_another_answer_are_found(changes: dict[str, object]) -> None:
    assert promises(a_ledger(an_ending(**changes), a_run())) == {'own answer'}


def test_an_order_that_ran_twice_is_found() -> None:
    order = an_ending('/o/1', status=None, left=True)
    runs = a_run('till'), a_run('till')
    assert promises(a_ledger(order, *runs)) == {'at most once'}


def test_a_false_refusal_is_found() -> None:
    order = an_ending('/o/1', status=503)
    assert promises(a_ledger(order, a_run('till'))) == {'honest refusal'}


def test_a_run_at_a_service_that_was_never_allowed_is_found() -> None:
    assert 'route' in promises(a_ledger(an_ending(), a_run('till')))


def test_a_leaving_server_that_is_still_used_is_found() -> None:
    ledger = a_ledger(an_ending(at=20.0), a_run(at=20.0))
    ledger.leaving = [Confirmed('i-1', 20.0 - DRAIN_SECONDS - 0.1)]
    assert promises(ledger) == {'drain'}
    ledger.disturbances = [Disturbance('entry-1', 10.0, 20.1 - TOUCH_SECONDS)]
    assert promises(ledger) == set()


def test_an_evacuated_domain_that_is_still_used_is_found() -> None:
    ledger = a_ledger(an_ending(at=20.0), a_run(at=20.0))
    ledger.evacuations = [Confirmed('dar-a', 20.0 - EVACUATION_SECONDS - 0.1, 30.0)]
    assert promises(ledger) == {'evacuation'}
    ledger.evacuations = [Confirmed('dar-a', 20.0 - EVACUATION_SECONDS + 0.1, 30.0)]
    assert promises(ledger) == set()


def test_an_old_desired_state_is_found() -> None:
    late = 10.0 + CONFIG_SECONDS + 0.1
    ledger = a_ledger(an_ending('/m/1', at=late), a_run(at=late))
    assert promises(ledger) == {'desired state in force'}
    soon = 10.0 + CONFIG_SECONDS - 0.1
    ledger = a_ledger(an_ending('/m/1', at=soon), a_run(at=soon))
    assert promises(ledger) == set()


def test_going_back_to_an_older_desired_state_is_found() -> None:
    first = an_ending('/m/1', at=10.5)
    ledger = a_ledger(first, a_run('spare', at=10.5))
    second = an_ending('/m/1', at=11.5, request_id='r2', status=502)
    ledger.endings.append(second)
    ledger.ran(ServerRun('r2', 'i-1', 'catalogue', 'dar-a', 11.5))
    assert promises(ledger) == {'no going back'}
    ledger.disturbances = [Disturbance('entry-1', 11.0, 11.6, planned=True)]
    assert promises(ledger) == set()


def test_a_request_cut_at_a_planned_stop_is_found() -> None:
    cut = an_ending(status=None)
    ledger = a_ledger(cut, a_run())
    ledger.disturbances = [Disturbance('entry-1', 5.0, 6.0, planned=True)]
    assert promises(ledger) == {'planned stop'}
    ledger.disturbances = [Disturbance('i-1', 4.0, 6.0)]
    assert promises(ledger) == set()


def test_a_process_that_ends_by_itself_is_found() -> None:
    ledger = a_ledger(an_ending(), a_run())
    ledger.own_ends = ['entry-1 ended by itself with status 1']
    ledger.errors = ['entry-1: a traceback']
    assert promises(ledger) == {'no own end', 'no error'}


def test_a_fleet_that_does_not_come_back_is_found() -> None:
    ledger = a_ledger(an_ending(status=502, at=20.0))
    ledger.calm_from = 19.0
    assert {each.promise for each in ledger.findings()} == {'recovery'}


def test_a_plan_is_a_function_of_its_seed_and_ends_in_a_calm() -> None:
    assert make_plan(7, 30.0) == make_plan(7, 30.0)
    assert make_plan(7, 30.0) != make_plan(8, 30.0)
    kinds = set()
    for seed in range(40):
        plan = make_plan(seed, 30.0)
        kinds |= {fault.kind for fault in plan}
        assert all(
            fault.at + fault.seconds < 30.0 - CALM_SECONDS + 1.0 for fault in plan
        )
    assert kinds == {*PLANNED, *UNPLANNED}
