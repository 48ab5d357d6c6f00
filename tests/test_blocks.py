"""Tests of the client block table, compared with a simple model."""

import ipaddress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.decisions import blocks
from daisylift.decisions.blocks import (
    EMPTY_TABLE,
    BlockError,
    BlockRange,
    decode_page,
    encode_page,
    merged_pages,
    parse_range,
    unknown_block_key,
)

SPAN = 64


@st.composite
def range_lists(draw) -> list[BlockRange]:
    ends = sorted(draw(st.sets(st.integers(0, SPAN), min_size=2, max_size=12)))
    homes = st.integers(0, 3)
    return [
        BlockRange(4, start, end, draw(homes))
        for start, end in zip(ends, ends[1:], strict=False)
        if draw(st.booleans())
    ]


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.tuples(range_lists(), st.booleans()), max_size=5))
def test_table_agrees_with_a_plain_model(loads):
    page_blocks, blocks.PAGE_BLOCKS = blocks.PAGE_BLOCKS, 4
    try:
        table = EMPTY_TABLE
        home_by_address: dict[int, int] = {}
        for ranges, replace_all in loads:
            changes = merged_pages(table, ranges, replace_all=replace_all)
            table = table.with_pages(changes)
            if replace_all:
                home_by_address.clear()
            for one in ranges:
                home_by_address.update(
                    dict.fromkeys(range(one.start, one.end), one.home)
                )
            for address in range(SPAN + 2):
                found = table.find(ipaddress.IPv4Address(address))
                assert (found.home if found else None) == home_by_address.get(address)
    finally:
        blocks.PAGE_BLOCKS = page_blocks


def test_one_changed_block_changes_one_page():
    ranges = [BlockRange(4, n << 8, (n + 1) << 8, n % 200) for n in range(20_000)]
    table = EMPTY_TABLE.with_pages(merged_pages(EMPTY_TABLE, ranges))
    assert len(table.pages_by_name()) == 5
    changed = merged_pages(table, [BlockRange(4, 9000 << 8, 9001 << 8, 7)])
    assert [page is not None for page in changed.values()] == [True]
    after = table.with_pages(changed)
    assert after.find(ipaddress.ip_address((9000 << 8) + 5)).home == 7
    pages, pages_after = table.pages_by_name(), after.pages_by_name()
    assert sum(pages[name] is not pages_after[name] for name in pages) == 1


def test_ipv6_block_is_found_by_its_upper_bits():
    ranges = [parse_range('2001:db8::/32', 3), parse_range('10.0.0.0-10.0.0.9', 4)]
    table = EMPTY_TABLE.with_pages(merged_pages(EMPTY_TABLE, ranges))
    assert table.find(ipaddress.ip_address('2001:db8:7::1')).home == 3
    assert table.find(ipaddress.ip_address('2001:db9::1')) is None
    assert table.find(ipaddress.ip_address('10.0.0.9')).home == 4
    assert table.find(ipaddress.ip_address('10.0.0.10')) is None


def test_page_is_unchanged_by_encoding_and_decoding():
    ranges = [parse_range('2001:db8::/32', 3), parse_range('10.0.0.0/8', 4)]
    for page in merged_pages(EMPTY_TABLE, ranges).values():
        assert decode_page(encode_page(page)) == page


@pytest.mark.parametrize(
    'content',
    [b'', b'\x05abcdef', b'\x04abcde', b'\x04', b'\x04' + b'\x01' * 8 + b'\x00' * 4],
)
def test_malformed_page_is_refused(content):
    with pytest.raises(BlockError):
        decode_page(content)


@pytest.mark.parametrize('text', ['', 'x', '10.0.0.1/8', '10.0.0.9-10.0.0.1', '1-::'])
def test_malformed_block_is_refused(text):
    with pytest.raises(BlockError):
        parse_range(text, 0)


def test_overlapping_blocks_are_refused():
    ranges = [parse_range('10.0.0.0/8', 1), parse_range('10.1.0.0/16', 2)]
    with pytest.raises(BlockError, match='overlap'):
        merged_pages(EMPTY_TABLE, ranges)


def test_callers_in_no_block_are_steered_by_prefix():
    one, near, far = (ipaddress.ip_address(f'10.0.{n}') for n in ('0.1', '0.9', '1.1'))
    assert unknown_block_key(one) == unknown_block_key(near)
    assert unknown_block_key(one) != unknown_block_key(far)
