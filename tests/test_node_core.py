"""Tests of the node's program, run in-process with a test environment."""

import io
from pathlib import Path

import pytest

from daisylift_node.context import Environment
from daisylift_node.core import main
from daisylift_node.status import ExitStatus

EXAMPLE = Path(__file__).resolve().parents[1] / 'examples' / 'kanga' / 'node.ini'


def run(*arguments: str) -> tuple[ExitStatus, str, str]:
    environment = Environment(stdout=io.StringIO(), stderr=io.StringIO())
    status = main(['daisyliftd', *arguments], environment)
    return status, environment.stdout.getvalue(), environment.stderr.getvalue()


def test_check_accepts_valid_settings():
    status, stdout, _ = run('--settings', str(EXAMPLE), '--check')
    assert status is ExitStatus.SUCCESS
    assert 'the settings are fine' in stdout


def test_help_shows_usage():
    status, stdout, _ = run('--help')
    assert status is ExitStatus.SUCCESS
    assert 'daisyliftd --settings FILE' in stdout


ENTRY_SETTINGS = """
[vm]
id = entry-1
host = 127.0.0.1
failure_domain = arusha-a
region = arusha
[listen]
caller = 127.0.0.1:8548
readiness = 127.0.0.1:8542
directory = 127.0.0.1:8546
[peer]
port = 7540
[store]
address = 127.0.0.1:8541
[domains]
arusha-a = arusha
[limits]
memory_mb = 300
file_descriptors = 4100
"""


def test_settings_with_a_store_section_start_an_entry_vm(tmp_path: Path):
    settings = tmp_path / 'entry.ini'
    settings.write_text(ENTRY_SETTINGS)
    status, stdout, _ = run('--settings', str(settings), '--check')
    assert status is ExitStatus.SUCCESS
    assert 'the settings are fine' in stdout


def test_bad_setting_of_an_entry_vm_is_one_error_line(tmp_path: Path):
    settings = tmp_path / 'entry.ini'
    settings.write_text(ENTRY_SETTINGS.replace('7540', 'seven'))
    status, _, stderr = run('--settings', str(settings), '--check')
    assert status is ExitStatus.SETTINGS
    assert stderr.startswith('daisyliftd: error: ')
    assert 'peer.port' in stderr
    assert stderr.count('\n') == 1


@pytest.mark.parametrize(
    ('arguments', 'status'),
    [
        ([], ExitStatus.USAGE),
        (['--colour'], ExitStatus.USAGE),
        (['--settings', str(EXAMPLE), 'more'], ExitStatus.USAGE),
        (['--settings', 'nowhere.ini'], ExitStatus.SETTINGS),
    ],
)
def test_bad_call_is_one_error_line(arguments, status):
    found, _, stderr = run(*arguments)
    assert found is status
    assert stderr.startswith('daisyliftd: error: ')
    assert stderr.count('\n') == 1
