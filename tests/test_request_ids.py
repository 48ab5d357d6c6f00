"""Tests of request ids."""

import pytest

from daisylift.decisions.request_ids import (
    RequestId,
    is_expired,
    read_request_id,
    write_request_id,
)

KEY = b'a key of the fleet'
ISSUED = RequestId(ordinal=3, incarnation='0f0f', sequence=7, issued_ms=1500)


def test_written_id_is_read_back():
    assert read_request_id(KEY, write_request_id(KEY, ISSUED)) == ISSUED


def test_id_of_another_key_is_not_read():
    assert read_request_id(b'another key', write_request_id(KEY, ISSUED)) is None


@pytest.mark.parametrize('position', range(0, 48, 7))
def test_changed_id_is_not_read(position):
    text = write_request_id(KEY, ISSUED)
    changed = text[:position] + chr(ord(text[position]) ^ 1) + text[position + 1 :]
    assert read_request_id(KEY, changed) is None


@pytest.mark.parametrize(
    'text', ['', '.', '1.2.3', 'é.é', '1.3.0f0f.7.1500.', 'x' * 999]
)
def test_malformed_id_is_not_read(text):
    assert read_request_id(KEY, text) is None


def test_id_expires_after_its_life():
    assert not is_expired(ISSUED, now_ms=601_500)
    assert is_expired(ISSUED, now_ms=601_501)
