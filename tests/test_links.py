"""Tests of the byte budgets of links between regions."""

from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions.links import (
    BURST_SECONDS,
    MAX_BACKLOG_SECONDS,
    MIN_BURST_BYTES,
    LinkKey,
    LinkShare,
    LinkShares,
)
from daisylift.models import Policy

RATE = 10_000_000


def link_policy(*domains: str) -> Policy:
    regions = ('arusha', 'dar', 'mwanza')
    return Policy.model_validate(
        {
            'failure_domains': [
                {'name': f'{region}-1', 'region': region} for region in regions
            ],
            'roster': [
                {'ordinal': number, 'failure_domain': domain}
                for number, domain in enumerate(domains)
            ],
            'services': [],
            'links': [
                {'source': a, 'destination': b, 'bytes_per_second': RATE}
                for a in regions
                for b in regions
                if a != b
            ],
        }
    )


@given(
    st.floats(1e4, 1e9),
    st.lists(st.tuples(st.floats(0.0, 0.2), st.integers(1, 200_000)), max_size=60),
)
@settings(derandomize=True, deadline=None)
def test_bytes_that_pass_never_exceed_rate_and_burst(rate, steps):
    share = LinkShare(rate)
    now = 100.0
    passed = []
    for pause, size in steps:
        now += pause
        passed.append((now + share.reserve(size, now), size))
    burst = max(BURST_SECONDS * rate, MIN_BURST_BYTES)
    passed.sort()
    for first in range(len(passed)):
        total = 0
        for moment, size in passed[first:]:
            total += size
            seconds = moment - passed[first][0]
            assert total <= burst + passed[first][1] + rate * seconds * 1.000001 + 1


@given(st.lists(st.sampled_from(['arusha-1', 'dar-1', 'mwanza-1']), max_size=12))
@settings(derandomize=True, deadline=None)
def test_shares_of_all_nodes_never_exceed_a_link(domains):
    policy = link_policy(*domains)
    sums: dict[LinkKey, float] = {}
    for domain in domains:
        shares = LinkShares()
        shares.set_policy(policy, domain.removesuffix('-1'))
        for key, share in shares.by_link.items():
            sums[key] = sums.get(key, 0.0) + share.bytes_per_second
    assert all(total <= RATE * 1.000001 for total in sums.values())


def test_exhausted_link_closes_its_region_until_the_backlog_is_gone():
    shares = LinkShares()
    shares.set_policy(link_policy('arusha-1', 'dar-1'), 'arusha')
    own = RATE / 2
    shares.reserve('dar', 'arusha', int(own * (MAX_BACKLOG_SECONDS + 0.3)), 10.0)
    assert shares.closed_regions(10.0) == frozenset({'dar'})
    assert shares.closed_regions(11.0) == frozenset()
    assert shares.reserve('mwanza', 'dar', 10**9, 10.0) == 0.0


def test_new_policy_keeps_the_backlog():
    shares = LinkShares()
    shares.set_policy(link_policy('arusha-1'), 'arusha')
    shares.reserve('dar', 'arusha', RATE, 10.0)
    shares.set_policy(link_policy('arusha-1', 'dar-1'), 'arusha')
    assert shares.closed_regions(10.0) == frozenset({'dar'})
