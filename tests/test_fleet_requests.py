"""Tests with real node processes: notices reach all of them (issue 3)."""

import json
import time
import urllib.request
from collections.abc import Callable

import pytest

from tests.fakes.demo import EXAMPLES, CallerResponse, call
from tests.fakes.fleet import Fleet, NodeProcess

WAIT_POLLS = 400
POLL_SECONDS = 0.05
SERVER_COUNT = 6
BREAK_NOTICES_RECEIVED = 'daisylift_notices_total{direction="in",kind="break"}'
DRAIN_NOTICES_RECEIVED = 'daisylift_notices_total{direction="in",kind="drain"}'


def till_only() -> dict:
    policy = json.loads((EXAMPLES / 'kanga' / 'policy.json').read_text())
    services = [s for s in policy['services'] if s['name'] == 'till']
    services[0]['servers'] = services[0]['servers'][:SERVER_COUNT]
    domains = ('arusha-1', 'dar-1')
    entries = {e['failure_domain']: e for e in policy['roster']}
    roster = [entries[domain] for domain in domains]
    return policy | {'services': services, 'roster': roster}


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    fleet = Fleet(directory=tmp_path_factory.mktemp('fleet'), policy=till_only())
    try:
        fleet.start(['arusha-1', 'dar-1'])
        fleet.put_policy()
        for node in fleet.nodes:
            wait_until(lambda node=node: lookup_lists_all_nodes(fleet, node))
        yield fleet
    finally:
        fleet.stop()


def control(port: int, **behaviour: object) -> dict:
    url = f'http://127.0.0.1:{port}/control'
    if behaviour:
        call(url, 'POST', json.dumps(behaviour).encode())
    return json.loads(call(url).body)


def executions(fleet: Fleet, what: str) -> int:
    states = [control(port) for port in fleet.server_ports().values()]
    return sum(state['executions'].get(what, 0) for state in states)


def metric(fleet: Fleet, number: int, line: str) -> float:
    url = f'{fleet.nodes[number].operations_url}/metrics'
    with urllib.request.urlopen(url, timeout=5.0) as answer:
        for found in answer.read().decode().splitlines():
            if found.startswith(line):
                return float(found.rpartition(' ')[2])
    return 0.0


def lookup_lists_all_nodes(fleet: Fleet, node: NodeProcess) -> bool:
    answer = call(f'{node.caller_url}/v1/lookup?service=till&client=127.0.0.1')
    return len(json.loads(answer.body).get('entry_vms', ())) == len(fleet.nodes)


def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(WAIT_POLLS):
        if condition():
            return
        time.sleep(POLL_SECONDS)
    pytest.fail('the condition did not come true')


def send(fleet: Fleet, number: int, path: str) -> CallerResponse:
    url = f'{fleet.nodes[number].caller_url}/v1/services/till/{path}'
    return call(url, 'POST', b'1')


def test_poison_request_is_blocked_before_its_third_run_on_any_node(fleet):
    for port in fleet.server_ports().values():
        control(port, break_before_answer=True)
    outcomes = []
    for number in (0, 1):
        outcomes.append(send(fleet, number, 'crash').outcome)
        wait_until(
            lambda other=1 - number: metric(fleet, other, BREAK_NOTICES_RECEIVED) > 0
        )
    outcomes += [send(fleet, number, 'crash').outcome for number in (0, 1, 0, 1)]
    for port in fleet.server_ports().values():
        control(port, break_before_answer=False)
    assert executions(fleet, 'POST /crash') == 2
    assert outcomes == ['unknown', 'unknown'] + ['did-not-run'] * 4


def test_drain_observed_by_one_node_reaches_the_other(fleet):
    name, port = next(iter(fleet.server_ports().items()))
    control(port, draining=True)
    wait_until(lambda: any(metric(fleet, n, DRAIN_NOTICES_RECEIVED) for n in (0, 1)))
    before = sum(control(port)['executions'].values())
    for number in range(40):
        assert send(fleet, number % 2, 'pay').status == 200
    assert sum(control(port)['executions'].values()) == before, name
