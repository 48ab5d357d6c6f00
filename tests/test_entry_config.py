"""Tests of the settings of an entry VM: template, validation and error messages."""

import io
import re
from pathlib import Path

import pytest

from daisylift_node import entry_core
from daisylift_node.context import Environment
from daisylift_node.entry_config import load_entry_settings
from daisylift_node.errors import SettingsError
from daisylift_node.status import ExitStatus

TEMPLATE = Path(__file__).resolve().parents[1] / 'deploy' / 'entry.ini.template'
VALUES = {
    'node': 'front-arusha-a-1',
    'ip': '10.1.0.34',
    'zone': 'arusha-a',
    'region': 'arusha',
    'listen.front': '10.1.0.34:8548',
    'listen.ready': '10.1.0.34:8542',
    'listen.directory': '10.1.0.34:8546',
    'internal_ports.0': '7540',
    'platform.address': '10.200.1.7:8541',
    'limits.memory_mb': '300',
    'limits.file_descriptors': '4100',
    'limits.link_mbps': '1000.0',
    'limits.cores': '1',
    'limits.cpu_share': '0.86',
    'heartbeat_ms': '2000',
}
TABLES = {
    'zones': {'arusha-a': 'arusha', 'Dar-A': 'dar'},
    'bounds': {'drain_ms': '2500', 'grace_s': '6', 'budget_ratio': '0.2', 'new': '1'},
}


OPTIONAL_SECTION = re.compile(
    r'\{\{#heartbeat_ms\}\}\n(.*?)\{\{/heartbeat_ms\}\}\n', re.S
)


def rendered(has_heartbeat: bool = True) -> str:
    """Render the template as the platform does."""
    text = OPTIONAL_SECTION.sub(r'\1' if has_heartbeat else '', TEMPLATE.read_text())
    for name, table in TABLES.items():
        section = re.compile(
            r'\{\{#' + name + r'\}\}\n(.*?)\{\{/' + name + r'\}\}\n', re.S
        )
        lines = ''.join(f'{key} = {value}\n' for key, value in table.items())
        text = section.sub(lines, text)
    for name, value in VALUES.items():
        text = text.replace('{{' + name + '}}', value)
    assert '{{' not in text
    return text


@pytest.fixture
def path(tmp_path: Path) -> Path:
    path = tmp_path / 'entry.ini'
    path.write_text(rendered())
    return path


def test_rendered_template_is_read(path: Path) -> None:
    settings = load_entry_settings(path)
    assert settings.vm.id == 'front-arusha-a-1'
    assert str(settings.listen.caller) == '10.1.0.34:8548'
    assert settings.domains == {'arusha-a': 'arusha', 'Dar-A': 'dar'}
    assert settings.bounds.drain_ms == 2500.0
    assert settings.bounds.budget_extra_attempts == 50.0
    assert settings.store.heartbeat_ms == 2000.0


def test_platform_without_heartbeats_leaves_the_default(path: Path) -> None:
    path.write_text(rendered(has_heartbeat=False))
    assert load_entry_settings(path).store.heartbeat_ms == 1500.0


@pytest.mark.parametrize(
    ('before', 'after', 'location'),
    [
        ('caller = 10.1.0.34:8548', 'caller = nowhere', 'listen.caller'),
        ('caller = 10.1.0.34:8548', 'caller = 10.1.0.34:0', 'listen.caller'),
        ('port = 7540', 'port = many', 'peer.port'),
        ('drain_ms = 2500', 'drain_ms = -1', 'bounds.drain_ms'),
        ('caller = 10.1.0.34:8548', 'caller = ::1:8548', 'listen.caller'),
        ('id = front-arusha-a-1', 'id =', 'vm.id'),
        ('id = front-arusha-a-1', 'id = front arusha', 'vm.id'),
        ('host = 10.1.0.34', 'host = front.example', 'vm.host'),
        ('host = 10.1.0.34', 'host = ::1', 'vm.host'),
        ('[store]', '[shop]', 'store'),
        ('heartbeat_ms = 2000', 'heartbeat_ms = 0', 'store.heartbeat_ms'),
    ],
)
def test_invalid_value_is_reported_with_its_key(
    path: Path, before: str, after: str, location: str
) -> None:
    path.write_text(rendered().replace(before, after))
    with pytest.raises(SettingsError, match=re.escape(location)):
        load_entry_settings(path)


def test_file_that_is_not_ini_is_refused(path: Path) -> None:
    path.write_text('{"vm": 1}')
    with pytest.raises(SettingsError):
        load_entry_settings(path)


def test_program_reports_an_error_in_one_line(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    stderr = io.StringIO()
    environment = Environment(stdout=io.StringIO(), stderr=stderr)
    monkeypatch.delenv(entry_core.SETTINGS_VARIABLE, raising=False)
    assert entry_core.main(environment) is ExitStatus.USAGE
    monkeypatch.setenv(entry_core.SETTINGS_VARIABLE, str(path.parent / 'absent.ini'))
    assert entry_core.main(environment) is ExitStatus.SETTINGS
    lines = stderr.getvalue().splitlines()
    assert len(lines) == 2
    assert all(line.startswith('daisyliftd: error: ') for line in lines)
