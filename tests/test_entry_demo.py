"""Test that the demonstration of entry VMs runs all of its steps."""

import pytest

from tests.fakes.entry_demo import demonstrate


async def test_the_main_job_is_done(capsys: pytest.CaptureFixture[str]) -> None:
    await demonstrate()
    text = capsys.readouterr().out
    for step in ('look-up at', 'browse: 200', 'order: 200', 'download: 200', 'stopped'):
        assert step in text
