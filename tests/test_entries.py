"""Tests of the order of entry VMs in a lookup."""

from daisylift.decisions.entries import MAX_ENTRY_VMS, EntryRings, EntryVm


def vms(count: int, leaving: frozenset[int] = frozenset()) -> list[EntryVm]:
    return [
        EntryVm(n, f'd{n % 6}', f'r{n % 6 // 2}', is_leaving=n in leaving)
        for n in range(count)
    ]


def test_nearest_come_first_and_no_more_than_the_limit():
    ordinals = EntryRings(vms(930)).ordered('d2', 'r1', 12345)
    assert len(ordinals) == len(set(ordinals)) == MAX_ENTRY_VMS
    assert all(n % 6 == 2 for n in ordinals[:4])
    assert all(n % 6 in (2, 3) for n in ordinals[:6])


def test_leaving_vms_are_omitted_unless_all_are_leaving():
    assert 1 not in EntryRings(vms(7, frozenset({1}))).ordered('d1', 'r0', 5)
    everybody = frozenset(range(7))
    assert len(EntryRings(vms(7, everybody)).ordered('d1', 'r0', 5)) == 7
    assert EntryRings([]).ordered('d1', 'r0', 5) == []


def test_vm_that_leaves_moves_only_its_own_callers():
    before, after = EntryRings(vms(60)), EntryRings(vms(60)[:-1])
    for rotation in range(0, 1 << 32, 1 << 24):
        first = before.ordered('d5', 'r2', rotation)[0]
        if first != 59:
            assert after.ordered('d5', 'r2', rotation)[0] == first


def test_site_without_entry_vms_gets_those_of_its_region():
    ordinals = EntryRings(vms(12)).ordered('far-site', 'r1', 77)
    assert ordinals[0] % 6 in (2, 3)
