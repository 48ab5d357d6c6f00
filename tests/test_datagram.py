"""Tests of the format of peer datagrams and of the replay filter."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daisylift.schema import peer_pb2 as pb
from daisylift_node.connection.datagram import (
    MAX_DATAGRAM_BYTES,
    REPLAY_WINDOW,
    DatagramCodec,
    Drop,
    DropReason,
    ReplayFilter,
)
from daisylift_node.errors import PeerMessageError

KEY = 'a-key-for-the-tests'
CODEC = DatagramCodec(KEY)


def envelope(sequence: int = 1, incarnation: int = 7, vm: str = 'vm-0') -> pb.Envelope:
    return pb.Envelope(
        vm=vm, incarnation=incarnation, sequence=sequence, probe=pb.Probe()
    )


def test_envelope_comes_back():
    assert CODEC.decode(CODEC.encode(envelope())) == envelope()


@pytest.mark.parametrize(
    ('data', 'reason'),
    [
        (b'', DropReason.GARBAGE),
        (b'GET / HTTP/1.1\r\nHost: x\r\n\r\n', DropReason.GARBAGE),
        (b'\x01' * (MAX_DATAGRAM_BYTES + 1), DropReason.OVERSIZED),
        (b'\x01' * 60, DropReason.WRONG_KEY),
        (DatagramCodec('another-shared-key').encode(envelope()), DropReason.WRONG_KEY),
        (CODEC.encode(envelope(vm='')), DropReason.GARBAGE),
        (CODEC.encode(envelope(vm='v' * 65)), DropReason.GARBAGE),
    ],
)
def test_bad_datagram_is_dropped(data, reason):
    assert CODEC.decode(data) == Drop(reason)


@given(position=st.integers(min_value=0), bit=st.integers(0, 7))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_any_changed_bit_is_noticed(position, bit):
    data = bytearray(CODEC.encode(envelope()))
    data[position % len(data)] ^= 1 << bit
    assert isinstance(CODEC.decode(bytes(data)), Drop)


@given(data=st.binary(max_size=200))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_random_bytes_are_dropped(data):
    assert isinstance(CODEC.decode(data), Drop)


def test_too_large_envelope_is_refused():
    with pytest.raises(PeerMessageError, match='does not fit'):
        CODEC.encode(envelope(vm='v' * MAX_DATAGRAM_BYTES))


def test_each_sequence_number_passes_once_in_any_order():
    replays = ReplayFilter()
    numbers = [5, 3, 4, 1, 2, 900, 6]
    assert [replays.check(envelope(n)) for n in numbers] == [None] * len(numbers)
    for number in numbers:
        assert replays.check(envelope(number)) == Drop(DropReason.REPLAYED)


def test_sequence_number_before_the_window_is_dropped():
    replays = ReplayFilter()
    replays.check(envelope(REPLAY_WINDOW + 1))
    assert replays.check(envelope(2)) is None
    assert replays.check(envelope(1)) == Drop(DropReason.REPLAYED)


def test_older_incarnation_is_dropped_and_a_newer_one_starts_afresh():
    replays = ReplayFilter()
    replays.check(envelope(9, incarnation=7))
    assert replays.check(envelope(1, incarnation=8)) is None
    assert replays.check(envelope(10, incarnation=7)) == Drop(
        DropReason.OLD_INCARNATION
    )


@given(numbers=st.lists(st.integers(1, 3 * REPLAY_WINDOW), max_size=60))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_no_number_passes_twice(numbers):
    replays = ReplayFilter()
    passed = [n for n in numbers if replays.check(envelope(n)) is None]
    assert len(passed) == len(set(passed))
