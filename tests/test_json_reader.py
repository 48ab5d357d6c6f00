"""Tests of reading JSON: one value that cannot be read does not hide the others."""

import json
import time
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from daisylift_node.version.json_reader import (
    MAX_DEPTH,
    UNREADABLE,
    is_usable,
    read_json,
)

INTEGERS = st.integers(min_value=-(10**18) + 1, max_value=10**19 - 1)
SCALARS = (
    st.none()
    | st.booleans()
    | INTEGERS
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text()
)
VALUES = st.recursive(
    SCALARS,
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=20,
)
GOOD = {'metadata': {'name': 'i-1'}, 'specification': {'address': 'a, [b] "c" \\ }{'}}
MAX_SECONDS = 2.0  # for an object of the largest size that the store accepts


@given(VALUES)
def test_valid_json_is_read_as_it_is(value: Any) -> None:
    assert read_json(json.dumps({'items': value}).encode()) == {'items': value}


@given(st.binary())
def test_any_bytes_are_read_or_refused(content: bytes) -> None:
    try:
        read_json(content)
    except ValueError:
        return


@given(st.binary(), st.integers(min_value=0, max_value=3))
def test_bytes_of_a_string_do_not_hide_other_entries(
    content: bytes, position: int
) -> None:
    text = content.replace(b'"', b'').replace(b'\\', b'')
    entries = [json.dumps(GOOD).encode()] * 3
    entries.insert(position, b'"%b"' % text)
    read = read_json(b'{"items":[%b],"at":5}' % b','.join(entries))
    assert read['at'] == 5
    assert [each for each in read['items'] if each == GOOD] == [GOOD] * 3


@pytest.mark.parametrize(
    'odd',
    [
        b'nothing',
        b'{"a":}',
        b'{"a" 1}',
        b'{1:2}',
        b'[1,,2]x',
        b'"\xff"x',
        b'01',
        b'[' * 50_000 + b']' * 50_000,
        b'{"a":' * 50_000 + b'1' + b'}' * 50_000,
    ],
    ids=range(9),
)
def test_an_entry_that_is_not_json_does_not_hide_others(odd: bytes) -> None:
    good = json.dumps(GOOD).encode()
    for entries in ([odd, good], [good, odd], [good, odd, good]):
        read = read_json(b' {"at": 5, "items": [%b]} ' % b' , '.join(entries))
        assert read['at'] == 5
        assert read['items'].count(GOOD) == entries.count(good)
        assert len(read['items']) == len(entries)


def test_the_name_of_an_object_with_an_odd_body_is_read() -> None:
    odd = b'{"metadata":{"name":"i-2"},"specification":%b}' % (
        b'[' * 9999 + b']' * 9999
    )
    content = b'{"events":[{"deleted":false,"object":%b}],"at":5}' % odd
    (event,) = read_json(content)['events']
    assert event['object']['metadata'] == {'name': 'i-2'}
    assert not is_usable(event['object']['specification'])


@pytest.mark.parametrize('number', ['NaN', 'Infinity', '1e999', '9' * 20, '9' * 5000])
def test_a_number_without_a_usable_value_is_unreadable(number: str) -> None:
    read = read_json(b'{"a":%b,"b":1}' % number.encode())
    assert read == {'a': UNREADABLE, 'b': 1}
    assert not is_usable(read)


@pytest.mark.parametrize('content', [b'', b'{', b'{"a":[1}', b'nothing', b'"\xff'])
def test_a_text_that_ends_early_is_refused(content: bytes) -> None:
    with pytest.raises(ValueError):
        read_json(content)


def test_a_large_odd_entry_is_read_in_time() -> None:
    odd = b'[' * 500_000 + b']' * 500_000
    started = time.process_time()
    read = read_json(b'{"items":[{"metadata":{},"specification":%b}],"at":1}' % odd)
    assert time.process_time() - started < MAX_SECONDS
    assert not is_usable(read['items'][0]['specification'])


def test_depth_is_limited() -> None:
    deepest: Any = 1
    for _ in range(MAX_DEPTH):
        deepest = [deepest]
    assert is_usable(deepest)
    assert not is_usable({'a': deepest})
