"""Tests of the settings file."""

from pathlib import Path

import pytest

from daisylift_node.config import load_settings
from daisylift_node.errors import SettingsError

EXAMPLES = Path(__file__).resolve().parents[1] / 'examples'


@pytest.mark.parametrize('workload', ['kanga', 'teduh'])
def test_examples_are_valid(workload):
    settings = load_settings(EXAMPLES / workload / 'node.ini')
    assert settings.vm.id == 'vm-0'


@pytest.mark.parametrize(
    ('old', 'new', 'message'),
    [
        ('port = 7000', 'port = 70000', r'\[caller\] port: .*less than or equal'),
        ('port = 7000', 'port = none', r'\[caller\] port: .*valid integer'),
        ('port = 7000\n', '', r'\[caller\] port: Field required'),
        ('port = 7000', 'prot = 7000', r'\[caller\] (port|prot): '),
        ('host = 127.0.0.1', 'host = localhost', r'\[caller\] host: .*IPv4 or IPv6'),
        ('key = change-this-shared-key', 'key = short', r'\[operator\] key: .*16'),
        ('key = change-this', 'key = ключ-change-this', r'\[operator\] key: .*ASCII'),
        ('url = http:', 'url = ftp:', r'\[platform\] url: .*http'),
        ('level = INFO', 'level = LOUD', r'\[log\] level: '),
        ('[caller]', '[callers]', r'\[callers?\]: '),
        ('[vm]', '', 'no section headers'),
    ],
)
def test_bad_setting_names_section_key_and_reason(tmp_path, old, new, message):
    text = (EXAMPLES / 'kanga' / 'node.ini').read_text()
    path = tmp_path / 'node.ini'
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(SettingsError, match=message):
        load_settings(path)


@pytest.mark.parametrize('content', [b'\xff\xfe\x00', b'\x00' * 100, b'[vm\n'])
def test_garbage_is_one_line_error(tmp_path, content):
    path = tmp_path / 'node.ini'
    path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert '\n' not in str(caught.value)


def test_missing_file_is_named(tmp_path):
    with pytest.raises(SettingsError, match='nowhere.ini'):
        load_settings(tmp_path / 'nowhere.ini')


def test_error_does_not_show_the_key(tmp_path):
    text = (EXAMPLES / 'kanga' / 'node.ini').read_text()
    path = tmp_path / 'node.ini'
    path.write_text(text.replace('key = change-this-shared-key', 'key = s3cret', 1))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert 's3cret' not in str(caught.value)


def test_seeds_are_a_list_of_addresses(tmp_path):
    text = Path('examples/kanga/node.ini').read_text()
    file = tmp_path / 'node.ini'
    file.write_text(
        text.replace('[peer]\n', '[peer]\nseeds = 10.0.0.6:7200, [::1]:7\n')
    )
    seeds = load_settings(file).peer.seeds
    assert [(seed.host, seed.port) for seed in seeds] == [
        ('10.0.0.6', 7200),
        ('::1', 7),
    ]


@pytest.mark.parametrize('seeds', ['10.0.0.6', 'node-1:7200', '10.0.0.6:0'])
def test_bad_seed_names_section_and_key(tmp_path, seeds):
    text = Path('examples/kanga/node.ini').read_text()
    file = tmp_path / 'node.ini'
    file.write_text(text.replace('[peer]\n', f'[peer]\nseeds = {seeds}\n'))
    with pytest.raises(SettingsError, match=r'\[peer\] seeds'):
        load_settings(file)
