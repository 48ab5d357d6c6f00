"""Tests of member records and of how they are merged."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions.membership import (
    EVICT_GONE_AFTER_SECONDS,
    Health,
    MemberDetails,
    MemberRecord,
    MemberState,
    MemberTable,
    holders_by_ordinal,
    merge,
)

ADDRESS = '127.0.0.1', 7000

FAST = settings(derandomize=True, deadline=None, max_examples=200)


def details(number: int = 1, ordinal: int | None = None) -> MemberDetails:
    return MemberDetails(number, 'arusha-1', ADDRESS, ADDRESS, ordinal)


def member(vm: str = 'vm-1', incarnation: str = 'b', **changes) -> MemberRecord:
    ordinal = changes.pop('ordinal', None)
    record = MemberRecord(vm, incarnation, 1, details(ordinal=ordinal))
    return replace(record, **changes)


def table() -> MemberTable:
    return MemberTable(member('vm-0'))


records = st.builds(
    lambda incarnation, number, said, health, leaving, stopped: MemberRecord(
        'vm-1', incarnation, number, details(said), health, leaving, stopped
    ),
    st.sampled_from('abc'),
    st.integers(0, 3),
    st.integers(0, 3),
    st.sampled_from(Health),
    st.booleans(),
    st.booleans(),
)


@given(one=records, two=records, three=records)
@FAST
def test_joining_is_the_same_in_any_order_and_when_repeated(one, two, three):
    left = merge(merge(one, two), three)
    assert left == merge(one, merge(three, two))
    assert merge(left, one) == left


@given(told=st.lists(records, max_size=8))
@FAST
def test_a_later_incarnation_and_a_stop_are_never_taken_back(told):
    known = table()
    before = None
    for record in told:
        known.apply(record, now=1.0)
        after = known.by_vm['vm-1']
        if before is not None and before.incarnation == after.incarnation:
            assert after.leaving >= before.leaving
            assert after.stopped >= before.stopped
        if before is not None:
            assert after.incarnation >= before.incarnation
        before = after


def test_suspicion_is_refuted_by_a_higher_number():
    known = table()
    told = replace(known.own, health=Health.SUSPECT)
    refuted = known.apply(told, now=1.0)
    assert refuted.number == told.number + 1
    assert refuted.state is MemberState.ALIVE
    assert merge(told, refuted) == refuted


def test_a_later_process_of_the_same_vm_is_recorded():
    known = table()
    assert known.apply(member('vm-0', 'c'), now=1.0) is None
    assert known.superseded
    assert known.own.incarnation == 'b'


def test_suspicion_of_another_incarnation_is_ignored():
    known = table()
    known.apply(member('vm-1', 'c'), now=1.0)
    assert known.mark_suspect('vm-1', 'b', now=2.0) is None
    assert known.mark_suspect('vm-1', 'c', now=2.0).state is MemberState.SUSPECT


def test_digests_agree_when_tables_do():
    one, two = MemberTable(member('vm-0')), MemberTable(member('vm-1'))
    one.apply(two.own, now=1.0)
    assert one.digest() != two.digest()
    assert one.differing_records(two.bucket_digests()) == [one.own]
    two.apply(one.own, now=1.0)
    assert one.digest() == two.digest()
    assert one.differing_records(two.bucket_digests()) == []


def test_gone_members_do_not_count_in_the_digest_and_are_evicted():
    known = table()
    empty = known.digest()
    known.apply(member('vm-1', stopped=True), now=1.0)
    assert known.digest() == empty
    known.evict_gone(now=EVICT_GONE_AFTER_SECONDS)
    assert 'vm-1' in known.by_vm
    known.evict_gone(now=EVICT_GONE_AFTER_SECONDS + 1.0)
    assert 'vm-1' not in known.by_vm


def test_an_ordinal_is_held_by_the_best_then_by_the_newest():
    old = member('vm-1', 'a', ordinal=3, health=Health.SUSPECT)
    new = member('vm-2', 'b', ordinal=3)
    newest = member('vm-3', 'c', ordinal=3, leaving=True)
    assert holders_by_ordinal([old, new, newest, member('vm-4')]) == {3: new}
    assert holders_by_ordinal([old, newest]) == {3: old}
