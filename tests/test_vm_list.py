"""Tests of how the platform's VM list changes the member table."""

import pytest

from daisylift.decisions.membership import MemberState
from daisylift.decisions.vm_list import (
    GONE_AFTER_SECONDS,
    NEVER_LISTED_GONE_AFTER_SECONDS,
    VmListTracker,
    watches_platform,
)
from tests.test_membership import member, table

RUNNING = {'vm-0': 'running', 'vm-1': 'running'}


def test_unresponsive_member_no_longer_listed_is_gone():
    known, tracker = table(), VmListTracker()
    known.apply(member('vm-1'), now=0.0)
    known.mark_suspect('vm-1', 'b', now=1.0)
    assert tracker.apply(known, RUNNING, now=100.0) == []
    assert tracker.apply(known, {}, now=100.0)[0].state is MemberState.GONE


@pytest.mark.parametrize(
    ('silent', 'listed', 'seconds'),
    [
        (False, {}, 1000.0),
        (True, RUNNING, 1000.0),
        (True, {}, GONE_AFTER_SECONDS - 1.0),
    ],
)
def test_not_gone(silent, listed, seconds):
    known, tracker = table(), VmListTracker()
    known.apply(member('vm-1'), now=0.0)
    tracker.apply(known, RUNNING, now=0.0)
    if silent:
        known.mark_suspect('vm-1', 'b', now=0.0)
    assert tracker.apply(known, listed, now=seconds) == []


def test_member_never_seen_listed_is_declared_gone_later():
    known, tracker = table(), VmListTracker()
    known.apply(member('vm-1'), now=0.0)
    known.mark_suspect('vm-1', 'b', now=0.0)
    assert tracker.apply(known, {}, now=NEVER_LISTED_GONE_AFTER_SECONDS - 1.0) == []
    assert tracker.apply(known, {}, now=NEVER_LISTED_GONE_AFTER_SECONDS) != []


def test_member_listed_as_leaving_is_leaving():
    known, tracker = table(), VmListTracker()
    known.apply(member('vm-1'), now=0.0)
    (news,) = tracker.apply(known, {'vm-1': 'leaving'}, now=1.0)
    assert news.state is MemberState.LEAVING


def test_two_vms_per_failure_domain_read_the_list():
    known = table()
    assert watches_platform(known)
    known.apply(member('vm-00'), now=0.0)
    known.apply(member('vm-01'), now=0.0)
    assert watches_platform(known)
    known.apply(member('a'), now=0.0)
    known.apply(member('b'), now=0.0)
    assert not watches_platform(known)
