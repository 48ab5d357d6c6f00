"""Encodes the datagrams in which entry VMs ask each other for tokens of usage caps.

A datagram starts with a version that older VMs refuse, whether it holds questions or
replies, and their number. A question has the hash of the tenant's name, its id and the
number of tokens wanted. A reply has the id of its question, the number of tokens
granted and the milliseconds after which the VM may be asked again.
"""

import struct
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from daisylift.decisions.usage_grants import Question, Reply
from daisylift_node.connection.gossip_codec import GossipError

USAGE_VERSION = 64  # apart from the versions of gossip
QUESTIONS, REPLIES = 1, 2
HEADER = struct.Struct('!BBB')
QUESTION = struct.Struct('!QIH')
REPLY = struct.Struct('!IHH')
MAX_PER_DATAGRAM = 32  # keeps a datagram below 500 bytes
MS_PER_SECOND = 1000.0
MAX_SHORT = 2**16 - 1


@dataclass(frozen=True, slots=True)
class WireQuestion:
    """A question as it arrives: the tenant is known by its hash only."""

    tenant_hash: int
    ask_id: int
    wanted: int


def is_usage(data: bytes) -> bool:
    """Return whether a datagram is about usage caps."""
    return data[:1] == bytes([USAGE_VERSION])


def tenant_hash(name: str) -> int:
    """Return the hash that replaces a tenant's name in a datagram."""
    return xxhash.xxh3_64_intdigest(name.encode())


def encode_questions(questions: Sequence[Question]) -> bytes:
    """Return the datagram with at most MAX_PER_DATAGRAM questions."""
    return HEADER.pack(USAGE_VERSION, QUESTIONS, len(questions)) + b''.join(
        QUESTION.pack(
            tenant_hash(each.tenant), each.ask_id, min(each.wanted, MAX_SHORT)
        )
        for each in questions
    )


def encode_replies(replies: Sequence[Reply]) -> bytes:
    """Return the datagram with at most MAX_PER_DATAGRAM replies."""
    return HEADER.pack(USAGE_VERSION, REPLIES, len(replies)) + b''.join(
        REPLY.pack(
            each.ask_id,
            each.granted,
            min(MAX_SHORT, int(each.pause_seconds * MS_PER_SECOND)),
        )
        for each in replies
    )


def decode(data: bytes) -> tuple[list[WireQuestion], list[Reply]]:
    """Return the questions and replies; raise GossipError if it can't be decoded."""
    try:
        _, content, count = HEADER.unpack_from(data)
    except struct.error as error:
        raise GossipError(f'malformed datagram of {len(data)} bytes') from error
    record = {QUESTIONS: QUESTION, REPLIES: REPLY}.get(content)
    if record is None or len(data) != HEADER.size + count * record.size:
        raise GossipError(f'malformed datagram of {len(data)} bytes: {count} records')
    records = record.iter_unpack(data[HEADER.size :])
    if content == QUESTIONS:
        return [WireQuestion(*each) for each in records], []
    return [], [
        Reply(ask_id, granted, milliseconds / MS_PER_SECOND)
        for ask_id, granted, milliseconds in records
    ]
