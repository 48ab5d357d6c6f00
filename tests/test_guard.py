"""Tests of at-most-once execution with complete nodes in one loop (issue 3, part 4)."""

import asyncio
import itertools

import pytest
import pytest_asyncio

from daisylift.decisions.idempotency import record_name
from daisylift.decisions.request_ids import (
    ID_LIFE_SECONDS,
    RequestId,
    write_request_id,
)
from daisylift_node.process import idempotency
from daisylift_node.request import guard
from tests.fakes.fleet import KEY
from tests.fakes.local import LocalFleet, wait_until
from tests.utils import policy_document

pytestmark = pytest.mark.asyncio(loop_scope='module')

PAY = '/v1/services/till/pay'
DOMAINS = ['arusha-1', 'arusha-2', 'dar-1']


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def shared_fleet():
    async with LocalFleet(policy_document(), DOMAINS) as fleet:
        yield fleet


@pytest_asyncio.fixture(loop_scope='module')
async def fleet(shared_fleet):
    yield shared_fleet
    shared_fleet.clear_faults()


@pytest_asyncio.fixture(loop_scope='module')
async def own_fleet():
    async with LocalFleet(policy_document(), DOMAINS) as fleet:
        yield fleet


@pytest.fixture
def caller(request):
    return Caller(request.node.name)


class Caller:
    """Sends payments with a key and a tag that no other test uses."""

    def __init__(self, tag):
        self.tag = tag
        self.headers = {'Idempotency-Key': tag, 'X-Tag': tag}

    async def take_key(self, fleet, sort):
        if sort == 'issued':
            issued = await fleet.request_id(0)
            self.headers = {'Daisylift-Request-Id': issued, 'X-Tag': self.tag}

    def take_issued(self, **fields):
        issued = write_request_id(KEY.encode(), RequestId(**fields))
        self.headers = {'Daisylift-Request-Id': issued, 'X-Tag': self.tag}

    async def pay(self, fleet, node, **options):
        options.setdefault('body', self.tag.encode())
        return await fleet.send(node, PAY, headers=self.headers, **options)

    def runs(self, fleet):
        return fleet.executions()[f'POST /pay {self.tag}']

    def record(self, fleet):
        name = record_name('till', self.tag)
        return fleet.platform.objects.get((idempotency.RECORD_KIND, name))


@pytest.mark.parametrize('sort', ['caller', 'issued'])
@pytest.mark.parametrize('second', [0, 1])
async def test_repeat_gets_the_first_answer(fleet, caller, sort, second):
    await caller.take_key(fleet, sort)
    first = await caller.pay(fleet, 0)
    again = await caller.pay(fleet, second)
    assert (first.status, first.outcome) == (200, 'answered')
    assert (again.status, again.outcome, again.body) == (200, 'answered', first.body)
    assert again.headers['Daisylift-Replayed'] == 'true'
    assert caller.runs(fleet) == 1


@pytest.mark.parametrize('sort', ['caller', 'issued'])
async def test_both_vms_at_once_run_it_once(fleet, caller, sort):
    fleet.set_behaviour(work_seconds=0.1)
    await caller.take_key(fleet, sort)
    sends = [caller.pay(fleet, number % 3) for number in range(9)]
    answers = await asyncio.gather(*sends)
    assert {answer.outcome for answer in answers} == {'answered'}
    assert len({answer.body for answer in answers}) == 1
    assert caller.runs(fleet) == 1


@pytest.mark.parametrize('sort', ['caller', 'issued'])
@pytest.mark.parametrize('second', [0, 1])
async def test_repeat_is_told_in_progress_when_it_waited_enough(
    fleet, caller, sort, second, monkeypatch
):
    monkeypatch.setattr(guard, 'MAX_WAIT_SECONDS', 0.05)
    fleet.set_behaviour(work_seconds=0.6)
    await caller.take_key(fleet, sort)
    first = asyncio.create_task(caller.pay(fleet, 0))
    await wait_until(lambda: caller.runs(fleet) == 1)
    again = await caller.pay(fleet, second)
    assert (again.status, again.problem) == (409, 'in-progress')
    assert again.outcome == 'unknown'
    assert (await first).status == 200
    assert caller.runs(fleet) == 1


@pytest.mark.parametrize('sort', ['caller', 'issued'])
@pytest.mark.parametrize('second', [0, 1])
async def test_same_key_with_another_request_is_refused(fleet, caller, sort, second):
    await caller.take_key(fleet, sort)
    await caller.pay(fleet, 0)
    other = await caller.pay(fleet, second, body=b'{"amount": 1}')
    assert (other.status, other.problem) == (422, 'key-reused')
    assert other.outcome == 'did-not-run'
    assert caller.runs(fleet) == 1


@pytest.mark.parametrize('sort', ['caller', 'issued'])
async def test_caller_that_went_away_gets_the_answer_later(fleet, caller, sort):
    fleet.set_behaviour(work_seconds=0.2)
    await caller.take_key(fleet, sort)
    first = asyncio.create_task(caller.pay(fleet, 0))
    await wait_until(lambda: caller.runs(fleet) == 1)
    first.cancel()
    again = await caller.pay(fleet, 1)
    assert again.outcome == 'answered'
    assert caller.runs(fleet) == 1


@pytest.mark.parametrize('sort', ['caller', 'issued'])
@pytest.mark.parametrize('second', [0, 1])
async def test_request_that_did_not_run_may_run_under_its_key(
    fleet, caller, sort, second
):
    fleet.set_behaviour(refuse=True)
    await caller.take_key(fleet, sort)
    refused = await caller.pay(fleet, 0)
    assert refused.outcome == 'did-not-run'
    fleet.set_behaviour(refuse=False)
    again = await caller.pay(fleet, second)
    assert (again.status, again.outcome) == (200, 'answered')
    assert caller.runs(fleet) == 1


async def test_server_that_breaks_midway_leaves_the_outcome_unknown(own_fleet):
    fleet = own_fleet
    callers = {sort: Caller(f'breaks {sort}') for sort in ('caller', 'issued', 'none')}
    await callers['issued'].take_key(fleet, 'issued')
    callers['none'].headers = {'X-Tag': callers['none'].tag}
    fleet.set_behaviour(break_before_answer=True)
    for caller in callers.values():
        assert (await caller.pay(fleet, 0)).outcome == 'unknown'
    fleet.set_behaviour(break_before_answer=False)
    for sort, node in itertools.product(('caller', 'issued'), (0, 1)):
        again = await callers[sort].pay(fleet, node)
        assert (again.outcome, again.problem) == ('unknown', 'outcome-unknown')
    assert [caller.runs(fleet) for caller in callers.values()] == [1, 1, 1]


async def test_store_down_refuses_a_callers_key_and_the_key_stays_good(fleet, caller):
    fleet.platform.faults.down = True
    refused = await caller.pay(fleet, 0)
    assert (refused.status, refused.problem) == (503, 'records-unavailable')
    assert refused.outcome == 'did-not-run'
    assert refused.document['earlier_sends'] == 'unknown'
    assert caller.runs(fleet) == 0
    fleet.platform.faults.down = False
    again = await caller.pay(fleet, 1)
    assert again.outcome == 'answered'
    assert caller.runs(fleet) == 1


async def test_request_id_needs_no_store(fleet, caller):
    await caller.take_key(fleet, 'issued')
    before = len(fleet.stored(idempotency.RECORD_KIND))
    fleet.platform.faults.down = True
    for node in (0, 1, 2):
        assert (await caller.pay(fleet, node)).outcome == 'answered'
    assert caller.runs(fleet) == 1
    assert len(fleet.stored(idempotency.RECORD_KIND)) == before


@pytest.mark.parametrize('lost', [1, 2, 3])
async def test_lost_answers_of_the_store_are_told_by_the_attempt(fleet, caller, lost):
    fleet.platform.faults.lose_answers = lost
    first = await caller.pay(fleet, 0)
    again = await caller.pay(fleet, 1)
    assert {first.outcome, again.outcome} == {'answered'}
    assert caller.runs(fleet) == 1


async def test_what_is_known_when_the_node_that_ran_it_is_gone(own_fleet, caller):
    fleet = own_fleet
    first = await caller.pay(fleet, 0)
    issued = Caller('issued')
    await issued.take_key(fleet, 'issued')
    unused = Caller('unused')
    await unused.take_key(fleet, 'issued')
    await issued.pay(fleet, 0)
    address = fleet.nodes[0].settings.caller
    await fleet.stop_node(0)
    again = await caller.pay(fleet, 1)
    assert (again.outcome, again.body) == ('answered', first.body)
    for kept, runs in ((issued, 1), (unused, 0)):
        told = await kept.pay(fleet, 1)
        assert told.outcome != 'answered'
        assert told.document['earlier_sends'] == 'unknown'
        if told.outcome == 'did-not-run':
            assert (told.status, told.problem) == (421, 'holder-unreachable')
            assert told.document['other_vms'] == [f'{address.host}:{address.port}']
        assert kept.runs(fleet) == runs
    assert caller.runs(fleet) == 1


async def test_request_id_of_a_gone_incarnation_never_runs(fleet, caller):
    caller.take_issued(ordinal=0, incarnation='gone', sequence=1, issued_ms=0)
    for node in (0, 1):
        answer = await caller.pay(fleet, node)
        assert (answer.outcome, answer.problem) == ('unknown', 'outcome-unknown')
    assert caller.runs(fleet) == 0


async def test_expired_request_id_never_runs(fleet, caller):
    own = fleet.nodes[0].members.own
    issued_ms = int(-ID_LIFE_SECONDS * 1000)
    caller.take_issued(
        ordinal=own.ordinal,
        incarnation=own.incarnation,
        sequence=1,
        issued_ms=issued_ms,
    )
    for node in (0, 1):
        answer = await caller.pay(fleet, node)
        assert (answer.status, answer.problem) == (410, 'request-id-expired')
        assert answer.outcome == 'unknown'
    assert caller.runs(fleet) == 0


@pytest.mark.parametrize(
    'headers',
    [
        {'Daisylift-Request-Id': '1.0.abc.1.5.00'},
        {'Daisylift-Request-Id': 'garbage'},
        {'Idempotency-Key': ''},
        {'Idempotency-Key': 'k' * 256},
        {'Idempotency-Key': 'k', 'Daisylift-Request-Id': 'k'},
    ],
)
async def test_bad_key_is_refused(fleet, caller, headers):
    caller.headers = {**headers, 'X-Tag': caller.tag}
    answer = await caller.pay(fleet, 0)
    assert (answer.status, answer.problem) == (400, 'bad-key')
    assert answer.outcome == 'did-not-run'
    assert caller.runs(fleet) == 0


async def test_large_body_with_a_key_is_refused(fleet, caller, monkeypatch):
    monkeypatch.setattr(guard, 'MAX_KEYED_BODY_BYTES', 100_000)
    answer = await caller.pay(fleet, 0, body=b'x' * 100_001)
    assert (answer.status, answer.problem) == (413, 'keyed-body-too-large')
    assert caller.runs(fleet) == 0


async def test_large_answer_comes_whole_but_is_not_kept(fleet, caller):
    large = b'x' * 100_000
    first = await caller.pay(fleet, 0, body=large)
    again = await caller.pay(fleet, 1, body=large)
    assert first.document['body'] == large.decode()
    assert (again.status, again.problem) == (410, 'answer-not-kept')
    assert again.outcome == 'answered'
    assert caller.runs(fleet) == 1


async def test_keys_are_ignored_for_idempotent_methods(fleet, caller):
    for _ in range(2):
        await caller.pay(fleet, 0, method='GET')
    assert fleet.executions()[f'GET /pay {caller.tag}'] == 2


async def test_request_that_was_forwarded_goes_no_further(fleet, caller):
    await caller.take_key(fleet, 'issued')
    caller.headers['Daisylift-Forwarded-By'] = 'vm-9'
    answer = await caller.pay(fleet, 1)
    assert answer.problem == 'holder-unreachable'
    assert caller.runs(fleet) == 0


async def test_key_is_scoped_by_service_and_path_is_part_of_the_request(fleet, caller):
    await caller.pay(fleet, 0)
    other = await fleet.send(
        1,
        '/v1/services/till/refund',
        headers=caller.headers,
        body=caller.tag.encode(),
    )
    assert other.problem == 'key-reused'
    assert record_name('till', caller.tag) != record_name('other', caller.tag)


async def test_record_does_not_hold_the_key(fleet, caller):
    await caller.pay(fleet, 0)
    record = caller.record(fleet)
    assert caller.tag not in record['metadata']['name']
    assert set(record['specification']) == {
        'fingerprint',
        'ordinal',
        'incarnation',
        'attempt_number',
        'state',
        'written_at',
        'answer',
    }
