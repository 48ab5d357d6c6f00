"""Short soak runs on real processes: one fixed seed, and seeds that once failed."""

import pytest

from soak.__main__ import soak

# Cause of each past failure: seed, length in seconds, VMs, callers.
FAILED_ONCE = {
    'reload while the program loads ended the process': (201, 20.0, 5, 24),
}
FIXED = {'fixed': (1, 12.0, 3, 8)}


@pytest.mark.parametrize(
    ('seed', 'seconds', 'vms', 'callers'),
    [*FIXED.values(), *FAILED_ONCE.values()],
    ids=[*FIXED, *FAILED_ONCE],
)
async def test_a_short_soak_has_no_findings(
    seed: int, seconds: float, vms: int, callers: int
) -> None:
    ledger = await soak(seed, seconds, vms, callers)
    assert len(ledger.outcomes) > 100
    assert ledger.disturbances
    assert ledger.findings() == []
