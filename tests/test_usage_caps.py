"""Tests that usage caps hold over all VMs, and that a tenant can use its cap."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from daisylift.decisions.usage_caps import OwnerRing, UsageBucket, UsageCap
from tests.usage_model import BOUNDS, REGIONS, UsageFleet, most_in_window

SIZES = (7, 25, 110)
STEP_SECONDS = 0.01
WARM_SECONDS = 4.0


def assert_within_bound(fleet: UsageFleet) -> None:
    for tenant, times in fleet.admitted.items():
        most = most_in_window(times, BOUNDS.window_seconds)
        assert most <= BOUNDS.most(*fleet.caps[tenant])


def drive(fleet: UsageFleet, per_second: float, seconds: float, names) -> int:
    """Send requests of tenant t at random times to the VMs; return how many."""
    sent = 0
    end = fleet.now + seconds
    while fleet.now < end:
        fleet.run(fleet.now + STEP_SECONDS)
        due = int(per_second * STEP_SECONDS + fleet.rng.random())
        for _ in range(due):
            fleet.request(fleet.rng.choice(names), 't')
            sent += 1
    return sent


def names_of(fleet: UsageFleet, region: str | None = None) -> list[str]:
    return [n for n, each in fleet.registered.items() if region in (None, each)]


def a_fleet(size: int, rate: float, burst: float = 0.0) -> UsageFleet:
    fleet = UsageFleet(size, random.Random(size), {'t': (rate, burst)})
    fleet.run(WARM_SECONDS)
    return fleet


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('rate', [3.0, 40.0, 489.0])
@pytest.mark.parametrize('load', [0.9, 7.5])
@pytest.mark.parametrize('place', ['one', 'region', 'all', 'moving'])
def test_a_tenant_can_use_its_cap_and_no_more(
    size: int, rate: float, load: float, place: str
) -> None:
    """Demand at one VM, one region, all VMs, or at another VM each 2 s."""
    fleet = a_fleet(size, rate)
    names = names_of(fleet)
    groups = {
        'one': [names[:1]],
        'region': [names_of(fleet, REGIONS[0])],
        'all': [names],
        'moving': [[name] for name in names[:5]],
    }[place]
    sent = sum(drive(fleet, load * rate, 10.0 / len(groups), group) for group in groups)
    served = len(fleet.admitted['t'])
    assert_within_bound(fleet)
    print(f'{size} {rate} {load} {place}: {served / min(sent, 10 * rate):.3f}')
    assert served >= 0.9 * min(sent, rate * 10.0)


@pytest.mark.parametrize('size', SIZES)
def test_the_rest_stays_usable_when_vms_are_lost(size: int) -> None:
    """A sixth of the VMs is lost for good; their parts can't be used."""
    fleet = a_fleet(size, 100.0)
    lost = names_of(fleet)[::6]
    for name in lost:
        del fleet.vms[name]
    for vm in fleet.vms.values():
        vm.grants.set_lost(len(lost), len(fleet.vms))
    drive(fleet, 300.0, 10.0, list(fleet.vms))
    assert_within_bound(fleet)
    stock = UsageCap.of(100.0, 0.0, BOUNDS).stock
    owners = OwnerRing(fleet.registered).owners('t', stock)
    alive = sum(name in fleet.vms for name in owners) / len(owners)
    assert len(fleet.admitted['t']) >= 0.9 * alive * 100.0 * 10.0


def test_over_the_cap_is_refused_at_once_with_a_time_that_holds() -> None:
    fleet = a_fleet(7, 40.0)
    drive(fleet, 300.0, 3.0, names_of(fleet))
    vm = fleet.vms['entry-0']
    waits = [vm.grants.retry_after('t', fleet.now) for _ in range(20)]
    assert waits == sorted(waits)
    assert waits[-1] - waits[0] >= 19 / 40.0
    fleet.run(fleet.now + waits[0] + 0.01)
    assert vm.grants.take_waiting('t', fleet.now) is not None


@pytest.mark.parametrize('size', [1, 7, 25, 110, 930])
@pytest.mark.parametrize('stock', [1.0, 18.0, 200.0])
def test_owners_are_spread_and_one_vm_more_moves_few(size: int, stock: float) -> None:
    regions = {f'entry-{number}': REGIONS[number % 3] for number in range(size)}
    before = OwnerRing(regions).owners('t', stock)
    assert 1 <= len(before) <= min(size, 34)
    assert len(set(before)) == len(before)
    if len(before) >= 3:
        assert len({regions[name] for name in before}) == 3
    after = OwnerRing({**regions, 'entry-new': REGIONS[0]}).owners('t', stock)
    assert len(set(after) - set(before)) <= 3


def test_a_returned_token_is_lost_if_it_would_have_overflowed() -> None:
    bucket = UsageBucket(10.0, 5.0, 0.0)
    assert bucket.take(1.0)
    bucket.give_back(1.0, 1.05)
    assert bucket.level == pytest.approx(5.0)
    assert bucket.take(2.0)
    bucket.refill(3.0)
    assert bucket.take(3.0)
    bucket.give_back(2.0, 3.0)
    assert bucket.level == pytest.approx(4.0)


@given(
    st.floats(0.01, 1e5), st.floats(0.0, 1e5), st.floats(0.0, 1.0), st.floats(0.0, 100)
)
def test_the_stock_and_the_spare_rate_fit_into_the_bound(
    rate: float, burst: float, excess: float, slack: float
) -> None:
    bounds = type(BOUNDS)(5.0, excess, slack)
    cap = UsageCap.of(rate, burst, bounds)
    run = cap.stock + rate * 5.0 * (1.0 + cap.spare_rate_share)
    assert run <= bounds.most(rate, burst) * (1 + 1e-9)


def test_a_vm_that_starts_again_has_no_tokens() -> None:
    """Its predecessor may have spent all of them just before."""
    fleet = a_fleet(7, 300.0)
    fleet.start('entry-0')
    assert fleet.vms['entry-0'].grants.take('t', 300.0, 0.0, fleet.now) is None


def test_grants_are_void_after_a_freeze_and_owners_do_not_refill_before() -> None:
    fleet = a_fleet(7, 40.0)
    asker = fleet.vms['entry-0'].grants
    while asker.take('t', 40.0, 0.0, 4.0):
        pass
    question = asker.questions('t', 9, 4.0)[0]
    owner = fleet.vms[question.owner].grants
    reply = owner.answer('t', 40.0, 0.0, question.ask_id, question.wanted, 4.01)
    assert reply.granted == question.wanted
    bucket = owner._states['t'].bucket
    bucket.refill(4.2)
    assert bucket.level + reply.granted <= bucket.depth
    assert asker.receive(reply, 4.05) == 't'
    assert asker.receive(reply, 4.05) is None
    assert asker._states['t'].pocketed(4.19) == reply.granted
    assert asker._states['t'].pocketed(4.2) == 0


class UsageMachine(RuleBasedStateMachine):
    """Sequences of demand, joins, cuts, freezes, restarts and changes of caps."""

    @initialize(
        size=st.sampled_from([3, 7, 25]),
        rate=st.sampled_from([2.0, 30.0, 300.0]),
        burst=st.sampled_from([0.0, 40.0]),
        seed=st.integers(0, 1000),
    )
    def begin(self, size: int, rate: float, burst: float, seed: int) -> None:
        self.fleet = UsageFleet(size, random.Random(seed), {'t': (rate, burst)})
        self.first_size = size
        self.members_changed = False
        self.fleet.run(5.0)

    @rule(share=st.sampled_from([0.0, 0.1, 0.5]))
    def lose_messages(self, share: float) -> None:
        self.fleet.lost_share = self.fleet.doubled_share = share

    @rule(
        load=st.sampled_from([0.5, 3.0]),
        seconds=st.sampled_from([0.3, 2.0, 6.0]),
        count=st.integers(1, 25),
    )
    def demand(self, load: float, seconds: float, count: int) -> None:
        names = sorted(self.fleet.vms)[:count]
        per_second = min(load * self.fleet.caps['t'][0], 600.0)
        drive(self.fleet, per_second, seconds, names)

    @rule(number=st.integers(0, 30))
    def burst(self, number: int) -> None:
        names = sorted(self.fleet.vms)
        for _ in range(150):
            self.fleet.request(names[number % len(names)], 't')

    @rule(seconds=st.sampled_from([0.05, 0.5, 4.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.run(self.fleet.now + seconds)

    @rule(number=st.integers(0, 30), seconds=st.sampled_from([0.1, 1.0, 7.0]))
    def freeze(self, number: int, seconds: float) -> None:
        vm = self.fleet.vms[sorted(self.fleet.vms)[number % len(self.fleet.vms)]]
        vm.frozen_until = self.fleet.now + seconds

    @rule(number=st.integers(0, 30))
    def restart(self, number: int) -> None:
        self.fleet.start(sorted(self.fleet.vms)[number % len(self.fleet.vms)])

    @rule(count=st.integers(1, 3))
    def cut(self, count: int) -> None:
        self.fleet.cut = set(sorted(self.fleet.vms)[: min(count, self.first_size // 3)])
        self.observe()

    @rule()
    def heal(self) -> None:
        self.fleet.cut = set()
        self.observe()
        self.fleet.announce()

    @precondition(lambda self: len(self.fleet.vms) < 1.25 * self.first_size)
    @rule()
    def join(self) -> None:
        self.members_changed = True
        name = f'new-{len(self.fleet.vms)}'
        before = dict(self.fleet.registered)
        self.fleet.registered[name] = REGIONS[len(self.fleet.vms) % 3]
        self.fleet.start(name)
        grants = self.fleet.vms[name].grants
        grants._rings.clear()
        grants._region_by_name = {}
        grants.set_members(before, self.fleet.now)
        self.fleet.announce()
        self.observe()

    @rule(factor=st.sampled_from([0.3, 0.8, 1.5]))
    def change_cap(self, factor: float) -> None:
        rate, burst = self.fleet.caps['t']
        self.fleet.caps['t'] = (min(300.0, max(1.0, rate * factor)), burst)
        if factor < 1.0:
            self.fleet.run(self.fleet.now + 0.25)
            self.fleet.admitted.clear()

    def observe(self) -> None:
        """Let each VM see at once which others are lost to it."""
        total, cut = len(self.fleet.vms), len(self.fleet.cut)
        for name, vm in self.fleet.vms.items():
            alive = cut if name in self.fleet.cut else total - cut
            vm.grants.set_lost(total - alive, alive)

    @invariant()
    def stays_within_the_bound(self) -> None:
        if hasattr(self, 'fleet'):
            assert_within_bound(self.fleet)

    @invariant()
    def there_are_never_more_tokens_than_the_stock(self) -> None:
        if not hasattr(self, 'fleet') or self.members_changed:
            return
        states = [vm.grants._states.get('t') for vm in self.fleet.vms.values()]
        tokens = 0.0
        for state in filter(None, states):
            state.bucket.refill(self.fleet.now)
            tokens += state.bucket.level + state.pocketed(self.fleet.now)
        stocks = [state.cap.stock for state in states if state is not None]
        assert tokens <= max(stocks, default=0.0) + 1e-6


UsageMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=20, deadline=None
)
test_sequences_of_events_stay_within_the_bound = UsageMachine.TestCase
