"""Tests of claiming, releasing and vacating ordinals, and of the node's part in it."""

import asyncio

import pytest
from aiohttp.test_utils import TestServer
from pydantic import SecretStr

from daisylift.decisions.ordinals import (
    Absences,
    AlreadyHeld,
    FenceTimes,
    RecordEpoch,
    StoredClaim,
    Take,
    Vacate,
    choose_claim,
    choose_maintenance,
    has_unheld_ordinal,
    is_roster_maintainer,
)
from daisylift.models import Claim, PutPolicy, SetOrdinalEpoch, Vacancy
from daisylift_node.config import (
    KeyedListenSettings,
    ListenSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.ordinals import Ordinals
from daisylift_node.process.permits import PermitPool
from daisylift_node.process.platform import PlatformClient
from daisylift_node.version.change_writer import ChangeWriter
from daisylift_node.version.configuration import ConfigurationFollower
from tests.fakes.platform import FakePlatform
from tests.shares_harness_policy import DOMAINS, make_configurations, make_policy

FENCE = FenceTimes(fence_seconds=10.0, vacancy_delay_seconds=30.0)
CONFIGURATION = make_configurations(make_policy(7))[-1]
SECONDS_PER_STEP = 1000.0


def make_claim(ordinal, vm, **more):
    fields = {
        'ordinal': ordinal,
        'vm': vm,
        'incarnation': '00000000000000aa',
        'failure_domain': DOMAINS[ordinal % len(DOMAINS)],
        'caller_host': '127.0.0.1',
        'caller_port': 1,
        'peer_host': '127.0.0.1',
        'peer_port': 1,
    }
    return Claim(**fields | more)


def choose(stored, absences, now=0.0, vm='vm-new', configuration=CONFIGURATION):
    return choose_claim(
        configuration,
        {one.ordinal: one for one in stored},
        absences,
        FENCE,
        vm=vm,
        incarnation='00000000000000bb',
        failure_domain=DOMAINS[1],
        now=now,
    )


def test_a_free_ordinal_of_the_own_failure_domain_is_taken():
    assert choose([], Absences('vm-new')) == Take(ordinal=1, version=0, epoch=0)


def test_a_held_ordinal_is_left_alone_while_its_vm_is_listed():
    stored = [StoredClaim(1, 5, make_claim(1, 'vm-old'))]
    absences = Absences('vm-new')
    absences.observe(['vm-new', 'vm-old'], stored, 0.0)
    assert choose(stored, absences, 1000.0) is None


@pytest.mark.parametrize(('now', 'is_taken'), [(9.9, False), (10.0, True)])
def test_the_ordinal_of_a_gone_vm_is_taken_after_the_fence(now, is_taken):
    stored = [StoredClaim(1, 5, make_claim(1, 'vm-old'))]
    absences = Absences('vm-new')
    absences.observe(['vm-new'], stored, 0.0)
    absences.observe(['vm-new'], stored, now)
    assert (choose(stored, absences, now) is not None) == is_taken


def test_a_vm_that_is_listed_again_starts_its_absence_anew():
    stored = [StoredClaim(1, 5, make_claim(1, 'vm-old'))]
    absences = Absences('vm-new')
    absences.observe(['vm-new'], stored, 0.0)
    absences.observe(['vm-new', 'vm-old'], stored, 5.0)
    absences.observe(['vm-new'], stored, 6.0)
    assert choose(stored, absences, 12.0) is None


def test_a_list_without_the_own_vm_is_ignored():
    stored = [StoredClaim(1, 5, make_claim(1, 'vm-old'))]
    absences = Absences('vm-new')
    assert not absences.observe([], stored, 0.0)
    assert choose(stored, absences, 1000.0) is None


@pytest.mark.parametrize('is_released', [True, False])
def test_a_restart_on_the_same_vm_takes_its_ordinal_again(is_released):
    claim = make_claim(1, 'vm-new', released=is_released)
    step = choose([StoredClaim(1, 5, claim)], Absences('vm-new'))
    assert step == Take(1, 5, 0, predecessor=claim, is_fenced=is_released)


def test_a_claim_whose_write_had_a_lost_reply_is_recognised():
    claim = make_claim(1, 'vm-new', incarnation='00000000000000bb')
    assert choose([StoredClaim(1, 5, claim)], Absences('vm-new')) == AlreadyHeld(claim)


def test_a_vacant_ordinal_is_taken_at_the_next_epoch():
    stored = [StoredClaim(1, 5, Vacancy(ordinal=1, epoch=3))]
    assert choose(stored, Absences('vm-new')) == Take(1, 5, 4)


def test_an_ordinal_that_nobody_claimed_becomes_vacant():
    absences = Absences('vm-0')
    missing = StoredClaim(3)
    absences.observe(['vm-0'], [missing], 0.0)
    held = {o: StoredClaim(o, 1, make_claim(o, 'vm-0')) for o in range(7) if o != 3}
    assert choose_maintenance(CONFIGURATION, held, absences, FENCE, 29.0) == []
    steps = choose_maintenance(CONFIGURATION, held, absences, FENCE, 30.0)
    assert steps == [Vacate(ordinal=3, version=0, epoch=1)]


def test_an_ordinal_becomes_vacant_after_fence_and_delay():
    stored = {o: StoredClaim(o, 1, make_claim(o, f'vm-{o}')) for o in range(7)}
    absences = Absences('vm-0')
    listed = [f'vm-{o}' for o in range(7) if o != 4]
    absences.observe(listed, stored.values(), 0.0)
    assert choose_maintenance(CONFIGURATION, stored, absences, FENCE, 39.0) == []
    steps = choose_maintenance(CONFIGURATION, stored, absences, FENCE, 40.0)
    assert steps == [Vacate(ordinal=4, version=1, epoch=1)]


def test_a_stored_epoch_that_is_not_in_the_log_is_recorded():
    stored = {o: StoredClaim(o, 1, make_claim(o, f'vm-{o}')) for o in range(7)}
    stored[2] = StoredClaim(2, 9, Vacancy(ordinal=2, epoch=1))
    absences = Absences('vm-0')
    steps = choose_maintenance(CONFIGURATION, stored, absences, FENCE, 0.0)
    assert steps == [RecordEpoch(ordinal=2, epoch=1)]
    vacated = make_configurations(make_policy(7), SetOrdinalEpoch(ordinal=2, epoch=1))[
        -1
    ]
    assert choose_maintenance(vacated, stored, absences, FENCE, 0.0) == []


def test_few_nodes_are_roster_maintainers():
    large = make_configurations(make_policy(90))[-1]
    maintainers = [o for o in range(90) if is_roster_maintainer(large, o)]
    assert len(maintainers) == 2 * len(DOMAINS)
    gone = SetOrdinalEpoch(ordinal=maintainers[0], epoch=1)
    after = make_configurations(make_policy(90), gone)[-1]
    maintainers = [o for o in range(90) if is_roster_maintainer(after, o)]
    assert len(maintainers) == 2 * len(DOMAINS)


class Trial:
    """A platform and processes on VMs, each with its own ordinal handling."""

    def __init__(self, platform: FakePlatform, url: str) -> None:
        self.platform = platform
        self.url = url
        self.time = 0.0
        self.clients: list[PlatformClient] = []

    async def process(self, vm: str, incarnation: str, domain: str = DOMAINS[1]):
        listen = {'host': '127.0.0.1', 'port': 9}
        key = SecretStr('0123456789abcdef')
        settings = Settings(
            vm=VmSettings(id=vm, failure_domain=domain),
            caller=ListenSettings(**listen),
            operations=ListenSettings(**listen),
            operator=KeyedListenSettings(**listen, key=key),
            peer=PeerSettings(**listen, key=key),
            platform=PlatformSettings(url=self.url, timeout_seconds=2.0),
        )
        metrics = Metrics()
        client = PlatformClient(settings.platform, metrics)
        await client.start()
        self.clients.append(client)
        follower = ConfigurationFollower(client, metrics)
        permits = PermitPool(incarnation, now=lambda: self.time)
        follower.subscribe(permits.set_configuration)
        await follower.catch_up()
        writer = ChangeWriter(follower, metrics)
        return Ordinals(settings, incarnation, client, follower, writer, permits)


@pytest.fixture
async def trial():
    platform = FakePlatform(vms=[{'id': 'vm-1', 'failure_domain': 'x', 'state': 'r'}])
    async with TestServer(platform.application()) as server:
        trial = Trial(platform, str(server.make_url('')))
        change = {
            'version': 1,
            'operation_id': 'op-1',
            'body': PutPolicy(policy=make_policy(7)).model_dump(mode='json'),
        }
        platform.write('changes', '000000000001', change)
        yield trial
        for client in trial.clients:
            await client.stop()


def stored_claim(trial, ordinal=1):
    return trial.platform.objects['claims', str(ordinal)]['specification']


async def test_a_vm_takes_an_ordinal_and_its_share(trial):
    ordinals = await trial.process('vm-1', '01' * 8)
    await ordinals.refresh()
    assert ordinals.own is not None
    assert stored_claim(trial)['incarnation'] == '01' * 8
    assert ordinals._permits.ledger.ordinal == 1


async def test_a_vm_that_is_not_listed_yet_takes_nothing(trial):
    ordinals = await trial.process('vm-2', '01' * 8)
    await ordinals.refresh()
    assert ordinals.own is None


async def test_with_the_store_down_there_is_no_ordinal_until_it_is_back(trial):
    ordinals = await trial.process('vm-1', '01' * 8)
    trial.platform.faults.down = True
    await ordinals.refresh()
    assert ordinals.own is None
    trial.platform.faults.down = False
    await ordinals.refresh()
    assert ordinals.own is not None


async def test_a_lost_reply_of_the_write_is_recognised(trial):
    ordinals = await trial.process('vm-1', '01' * 8)
    trial.platform.faults.lose_answers = 1
    await ordinals.refresh()
    assert ordinals.own is not None
    assert ordinals.own.incarnation == stored_claim(trial)['incarnation']


async def test_of_two_racing_vms_one_wins(trial):
    trial.platform.vms = [{**trial.platform.vms[0], 'id': f'vm-{n}'} for n in (1, 2)]
    first = await trial.process('vm-1', '01' * 8)
    second = await trial.process('vm-2', '02' * 8)
    await asyncio.gather(first.refresh(), second.refresh())
    holders = [ordinals.own for ordinals in (first, second) if ordinals.own]
    assert len(holders) == 1
    assert holders[0].vm == stored_claim(trial)['vm']


async def test_after_a_crash_the_successor_waits_for_the_longest_request(trial):
    first = await trial.process('vm-1', '01' * 8)
    await first.refresh()
    second = await trial.process('vm-1', '02' * 8)
    await second.refresh()
    assert second.own is not None
    ledger = second._permits.ledger
    assert ledger.usage('till', trial.time) == (0, 0)
    assert ledger.confirmed_version(trial.time) is None
    trial.time += 60.0
    assert ledger.usage('till', trial.time)[1] > 0


async def test_after_a_clean_release_only_what_was_in_use_waits(trial):
    first = await trial.process('vm-1', '01' * 8)
    await first.refresh()
    ledger = first._permits.ledger
    _, held = ledger.usage('till', 0.0)
    server, _ = next(iter(ledger.idle_masks('till', 0.0)))
    assert ledger.take(server, 0.0) is not None
    assert await first.release()
    assert ledger.usage('till', 0.0)[1] == 1
    second = await trial.process('vm-1', '02' * 8)
    await second.refresh()
    assert second._permits.ledger.usage('till', 0.0) == (0, held - 1)
    second._permits.lender.expire(10.0)
    assert second._permits.ledger.usage('till', 10.0) == (0, held)


async def test_a_gone_vms_ordinal_becomes_vacant_and_comes_back(trial):
    vms = [{**trial.platform.vms[0], 'id': f'vm-{n}'} for n in (1, 2)]
    trial.platform.vms = vms
    first = await trial.process('vm-1', '01' * 8)
    await first.refresh()
    second = await trial.process('vm-2', '02' * 8, DOMAINS[2])
    await second.refresh()
    trial.platform.vms = vms[1:]
    await second.run_maintenance()
    trial.time += SECONDS_PER_STEP
    await second.run_maintenance()
    assert stored_claim(trial, 1) == {'kind': 'vacancy', 'ordinal': 1, 'epoch': 1}
    assert 1 in second._follower.current.vacant
    trial.platform.vms = [{**vms[0], 'id': 'vm-3'}, vms[1]]
    third = await trial.process('vm-3', '03' * 8)
    await third.refresh()
    assert third.own.epoch == 2
    assert third._follower.current.epochs[1] == 2
    assert third._permits.ledger.awaited() != set()


@pytest.mark.parametrize(
    ('alive', 'is_vacant', 'expected'),
    [
        (range(7), False, False),
        (range(6), False, True),
        (range(6), True, False),
        ((), False, True),
    ],
)
def test_unheld_ordinal_is_neither_vacant_nor_held_by_an_alive_vm(
    alive, is_vacant, expected
):
    changes = [make_policy(7)]
    if is_vacant:
        changes.append(SetOrdinalEpoch(ordinal=6, epoch=1))
    assert has_unheld_ordinal(make_configurations(*changes)[-1], set(alive)) is expected


async def test_maintainers_send_no_queries_while_all_vms_are_alive(trial):
    first = await trial.process('vm-1', '01' * 8)
    await first.refresh()
    first._alive_ordinals = lambda: range(7)
    before = dict(trial.platform.calls)
    await first.run_maintenance()
    assert dict(trial.platform.calls) == before
    first._alive_ordinals = lambda: range(6)
    await first.run_maintenance()
    assert dict(trial.platform.calls) != before
