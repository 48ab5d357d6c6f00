"""Test that the demonstration of entry VMs runs all of its steps."""

import pytest

from tests.fakes.entry_demo import demonstrate


async def test_the_demonstration_runs_all_steps(
    capsys: pytest.CaptureFixture[str],
) -> None:
    await demonstrate()
    text = capsys.readouterr().out
    for step in ('look-up at', 'browse: 200', 'order: 200', 'download: 200', 'stopped'):
        assert step in text
