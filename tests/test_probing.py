"""Tests of which members a node probes, and when it suspects them."""

import random

import pytest

from daisylift.decisions.gossip import GossipUpdateQueue, transmission_limit
from daisylift.decisions.membership import MemberDetails, MemberRecord, MemberTable
from daisylift.decisions.probing import (
    HELPERS_PER_PROBE,
    TICK_SECONDS,
    Prober,
    ProcessDelayed,
    RequestHelperProbes,
    SendProbe,
    Suspect,
    probe_group,
)

ADDRESS = '127.0.0.1', 7000


def table(count: int, domains: int = 1) -> MemberTable:
    members = [
        MemberRecord(
            f'vm-{number}',
            'b',
            1,
            MemberDetails(1, f'domain-{number % domains}', ADDRESS, ADDRESS),
        )
        for number in range(count)
    ]
    member_table = MemberTable(members[0])
    for member in members[1:]:
        member_table.apply(member, now=0.0)
    return member_table


def run(prober: Prober, members: MemberTable, start: float, ticks: int) -> list:
    return [
        step
        for tick in range(ticks)
        for step in prober.tick(start + tick * TICK_SECONDS, members)
    ]


def test_silent_member_is_suspected_after_helpers_were_asked():
    steps = run(Prober(random.Random(1)), table(6), 0.0, 5)
    assert [type(step) for step in steps[:3]] == [
        SendProbe,
        RequestHelperProbes,
        Suspect,
    ]
    assert len(steps[1].helpers) == HELPERS_PER_PROBE
    assert steps[0].target not in steps[1].helpers
    assert steps[2].vm == steps[0].target.vm


@pytest.mark.parametrize('how', ['message', 'confirmation'])
def test_member_that_answers_is_not_suspected(how):
    prober, members = Prober(random.Random(1)), table(6)
    (probe,) = prober.tick(0.0, members)
    if how == 'message':
        prober.record_message(probe.target.vm, 'b')
    else:
        prober.record_confirmation(probe.target.vm)
    assert not any(
        isinstance(s, Suspect) for s in run(prober, members, TICK_SECONDS, 3)
    )


def test_message_of_an_earlier_incarnation_is_no_answer():
    prober, members = Prober(random.Random(1)), table(2)
    (probe,) = prober.tick(0.0, members)
    prober.record_message(probe.target.vm, 'a')
    steps = run(prober, members, TICK_SECONDS, 4)
    assert any(isinstance(step, Suspect) for step in steps)


def test_process_that_was_frozen_suspects_nobody_on_waking():
    prober, members = Prober(random.Random(1)), table(6)
    (probe,) = prober.tick(0.0, members)
    steps = prober.tick(60.0, members)
    assert [type(step) for step in steps] == [ProcessDelayed]
    after = run(prober, members, 60.0 + TICK_SECONDS, 2)
    assert not any(isinstance(step, Suspect) for step in after)
    assert any(isinstance(step, SendProbe) for step in after)


def test_all_are_probed_in_turn():
    prober, members = Prober(random.Random(1)), table(6)
    probed = set()
    for tick in range(4 * 6):
        for step in prober.tick(tick * TICK_SECONDS, members):
            if isinstance(step, SendProbe):
                probed.add(step.target.vm)
                prober.record_message(step.target.vm, 'b')
    assert probed == {f'vm-{number}' for number in range(1, 6)}


def test_group_is_the_failure_domain_unless_it_is_small():
    assert len(probe_group(table(7, domains=6))) == 6
    assert len(probe_group(table(70, domains=7))) == 9


def test_members_outside_the_group_are_probed_now_and_then():
    prober, members = Prober(random.Random(1)), table(70, domains=7)
    outside = 0
    for tick in range(4 * 100):
        for step in prober.tick(tick * TICK_SECONDS, members):
            if isinstance(step, SendProbe):
                domain = step.target.details.failure_domain
                outside += domain != 'domain-0'
                prober.record_message(step.target.vm, 'b')
    assert outside == 20


def test_update_is_sent_a_bounded_number_of_times_least_sent_first():
    queue = GossipUpdateQueue()
    queue.push('vm-1', with_details=True)
    assert queue.has_unsent()
    sent = []
    while len(queue):
        sent.extend(update.vm for update in queue.take(1, member_count=7))
        if sent == ['vm-1']:
            queue.push('vm-2', with_details=False)
            assert queue.take(1, member_count=7)[0].vm == 'vm-2'
    assert sent.count('vm-1') == transmission_limit(7)
    assert not queue.has_unsent()
