"""Tests of the expiry and the sweep of idempotency records."""

import pytest
from aiohttp import web

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.record_expiry import (
    MIN_RETENTION_SECONDS,
    RETENTION_SECONDS,
    RevisionAges,
    is_expired,
    max_deletes,
    sweep_period_seconds,
    sweep_share,
)
from daisylift.models import Policy
from daisylift_node.config import PlatformSettings
from daisylift_node.process.idempotency import RECORD_KIND
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import PlatformClient
from daisylift_node.process.record_sweep import RecordSweeper
from tests.fakes.fleet import free_ports
from tests.fakes.platform import FakePlatform
from tests.utils import policy_document


@pytest.mark.parametrize('nodes', [1, 3, 7, 930])
def test_shares_cover_all_names_once(nodes):
    shares = [sweep_share(position, nodes) for position in range(nodes)]
    assert shares[0].start == '0' * 8
    assert shares[-1].end > 'f' * 64
    ends = [share.end for share in shares[:-1]]
    assert ends == [share.start for share in shares[1:]]


@pytest.mark.parametrize('nodes', [1, 7, 930])
def test_calls_of_the_fleet_stay_bounded(nodes):
    period = sweep_period_seconds(nodes)
    assert nodes / period <= 10
    assert nodes * max_deletes(nodes) / period <= 51


def test_revision_is_old_only_after_the_least_retention():
    ages = RevisionAges()
    ages.record(5, now=0.0)
    ages.record(9, now=1000.0)
    assert ages.old_revision(MIN_RETENTION_SECONDS - 1) == 0
    assert ages.old_revision(MIN_RETENTION_SECONDS) == 5
    assert ages.old_revision(MIN_RETENTION_SECONDS + 1000) == 9


def test_wall_clock_alone_expires_nothing():
    late = RETENTION_SECONDS * 9
    assert not is_expired(version=6, written_at=0.0, old_revision=5, wall_now=late)
    assert is_expired(version=5, written_at=0.0, old_revision=5, wall_now=late)
    assert not is_expired(version=5, written_at=late, old_revision=5, wall_now=late)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


async def test_sweep_deletes_the_expired_records_of_its_share_only():
    fake = FakePlatform()
    (port,) = free_ports(1)
    runner = web.AppRunner(fake.application(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    platform = PlatformClient(
        PlatformSettings(url=f'http://127.0.0.1:{port}'), Metrics()
    )
    await platform.start()
    clock = Clock()
    sweeper = RecordSweeper(platform, Metrics(), clock, lambda: RETENTION_SECONDS + 1)
    policy = Policy.model_validate(policy_document())
    sweeper.set_configuration(Configuration(version=1, policy=policy))
    sweeper.set_ordinal(0)
    for name in ('01', '22', 'ee'):
        fake.write(RECORD_KIND, name * 32, {'written_at': 0})
    fake.write(RECORD_KIND, '33' * 32, {'written_at': RETENTION_SECONDS})
    await sweeper.sweep()
    assert len(fake.objects) == 4
    clock.now = MIN_RETENTION_SECONDS
    await sweeper.sweep()
    assert sorted(name[:2] for _, name in fake.objects) == ['33', 'ee']
    await platform.stop()
    await runner.cleanup()


def test_revisions_of_the_era_before_do_not_show_the_age_of_a_record() -> None:
    ages = RevisionAges()
    ages.record(900, 0.0, era=1)
    ages.record(400, 60.0, era=2)
    assert ages.old_revision(MIN_RETENTION_SECONDS + 1.0) == 0
    assert ages.old_revision(MIN_RETENTION_SECONDS + 61.0) == 400
