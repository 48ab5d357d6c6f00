"""Tests of idempotency records, against the fake platform."""

import pytest
from aiohttp import web

from daisylift.decisions.idempotency import (
    AskHolder,
    Attempt,
    ExecutionState,
    KeyReused,
    OutcomeUnknown,
    Replay,
    StoredResponse,
)
from daisylift_node.config import PlatformSettings
from daisylift_node.process.idempotency import (
    RECORD_KIND,
    ClaimUncertain,
    Held,
    IdempotencyRecords,
    NotWritten,
)
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import PlatformClient
from tests.fakes.fleet import free_ports
from tests.fakes.local import wait_until
from tests.fakes.platform import FakePlatform

OWN = Attempt(ordinal=0, incarnation='own', number=1)
OTHER = Attempt(ordinal=1, incarnation='other', number=1)
ANSWER = StoredResponse(status=201, headers=(('X-A', 'b'),), body=b'\x00paid')


@pytest.fixture
async def fake():
    return FakePlatform()


@pytest.fixture
async def records(fake):
    (port,) = free_ports(1)
    runner = web.AppRunner(fake.application(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    settings = PlatformSettings(url=f'http://127.0.0.1:{port}', timeout_seconds=0.2)
    platform = PlatformClient(settings, Metrics())
    records = IdempotencyRecords(platform, Metrics())
    await platform.start()
    await records.start()
    yield records
    await records.stop()
    await platform.stop()
    await runner.cleanup()


async def test_first_claim_holds_and_the_second_is_referred_to_its_holder(records):
    assert isinstance(await records.claim('n', 'f', OWN, None), Held)
    asked = await records.claim('n', 'f', OTHER, None)
    assert asked == AskHolder(ordinal=0, incarnation='own')
    assert await records.claim('n', 'g', OTHER, None) == KeyReused()


@pytest.mark.parametrize('answer', [ANSWER, None])
async def test_recorded_outcome_is_found_by_others(records, fake, answer):
    held = await records.claim('n', 'f', OWN, None)
    records.queue_outcome('n', held.version, 'f', OWN, ExecutionState.ANSWERED, answer)
    await wait_until(
        lambda: (
            fake.objects[RECORD_KIND, 'n']['specification']['state']
            == ExecutionState.ANSWERED.value
        )
    )
    found = await records.claim('n', 'f', OTHER, None)
    assert found == (AskHolder(0, 'own') if answer is None else Replay(ANSWER))


@pytest.mark.parametrize('lost', [0, 1])
async def test_release_frees_the_key(records, fake, lost):
    held = await records.claim('n', 'f', OWN, None)
    fake.faults.lose_answers = lost
    records.queue_release('n', held.version)
    await wait_until(lambda: (RECORD_KIND, 'n') not in fake.objects)
    assert isinstance(await records.claim('n', 'g', OTHER, None), Held)


async def test_late_release_does_not_free_a_record_that_came_after(records, fake):
    held = await records.claim('n', 'f', OWN, None)
    fake.objects.clear()
    await records.claim('n', 'f', OTHER, None)
    records.queue_release('n', held.version)
    await records.stop()
    assert fake.objects[RECORD_KIND, 'n']['specification']['incarnation'] == 'other'


async def test_own_record_that_never_ran_is_taken_at_a_new_version(records):
    first = await records.claim('n', 'f', OWN, None)
    again = Attempt(ordinal=0, incarnation='own', number=2)
    held = await records.claim('n', 'g', again, ExecutionState.NOT_RUN)
    assert held.version > first.version


async def test_own_record_without_state_in_memory_is_not_taken(records):
    await records.claim('n', 'f', OWN, None)
    again = Attempt(ordinal=0, incarnation='own', number=2)
    assert await records.claim('n', 'f', again, None) == OutcomeUnknown()


async def test_unavailable_store_wrote_nothing(records, fake):
    fake.faults.down = True
    assert await records.claim('n', 'f', OWN, None) == NotWritten()


async def test_slow_store_leaves_outcome_unknown_and_late_write_is_recognised(
    records, fake
):
    fake.faults.delay_seconds = 0.5
    assert await records.claim('n', 'f', OWN, None) == ClaimUncertain()
    fake.faults.delay_seconds = 0.0
    await wait_until(lambda: (RECORD_KIND, 'n') in fake.objects)
    assert await records.claim('n', 'f', OTHER, None) == AskHolder(0, 'own')
    again = Attempt(ordinal=0, incarnation='own', number=2)
    assert isinstance(
        await records.claim('n', 'f', again, ExecutionState.NOT_RUN), Held
    )


async def test_unreadable_record_is_never_run(records, fake):
    fake.write(RECORD_KIND, 'n', {'state': 'nonsense'})
    assert await records.claim('n', 'f', OWN, None) == ClaimUncertain()


# The task that writes ended with the first unexpected error, without a log line.
async def test_a_failed_deferred_write_does_not_stop_the_others(records, fake, logs):
    async def fail():
        raise ValueError('broken')

    held = await records.claim('n', 'f', OWN, None)
    records._pending.append(('broken', fail))
    records.queue_outcome('n', held.version, 'f', OWN, ExecutionState.ANSWERED, ANSWER)
    state = ExecutionState.ANSWERED.value
    await wait_until(
        lambda: fake.objects[RECORD_KIND, 'n']['specification']['state'] == state
    )
    assert logs.first('task failed')['task'] == 'idempotency-writes'
