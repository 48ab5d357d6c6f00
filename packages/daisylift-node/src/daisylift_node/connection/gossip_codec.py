"""Encodes the gossip datagrams in which entry VMs announce heartbeats and revisions.

A datagram starts with a header of three bytes: the version and the numbers of
revisions and notices. It is followed by the revision of each kind in a fixed order,
notices of poison requests (24 bytes each), and heartbeat records of 13 bytes: the
hash of the VM's name, incarnation, counter, and whether the VM is ready. Names are
long, and all nodes have them from the store, so hashes are sent instead. Records with
an unknown hash are skipped.
"""

import struct
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from daisylift.decisions.liveness import Heartbeat
from daisylift.decisions.poison_notices import BreakNotice
from daisylift.decisions.poison_requests import DIGEST_BYTES
from daisylift.errors import DaisyliftError

CODEC_VERSION = 2
HEADER = struct.Struct('!BBB')
REVISION = struct.Struct('!Q')
NOTICE = struct.Struct(f'!{DIGEST_BYTES}sQ')
RECORD = struct.Struct('!III?')
MAX_NOTICES_PER_DATAGRAM = 4  # keeps gossip below 6 KB per second
MAX_UNSIGNED = 2**32 - 1


class GossipError(DaisyliftError):
    """A datagram can't be decoded; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class Gossip:
    """The content of one datagram.

    Revisions are in the order of the kinds; 0 means that there is none.
    """

    heartbeats: tuple[Heartbeat, ...]
    revisions: tuple[int, ...]
    notices: tuple[BreakNotice, ...] = ()


def name_hash(name: str) -> int:
    """Return the hash that replaces a VM's name in a datagram."""
    return xxhash.xxh32_intdigest(name.encode())


def encode(
    heartbeats: Iterable[Heartbeat],
    revisions: Sequence[int],
    notices: Sequence[BreakNotice] = (),
) -> bytes:
    """Return the datagram."""
    parts = [HEADER.pack(CODEC_VERSION, len(revisions), len(notices))]
    parts += [REVISION.pack(revision) for revision in revisions]
    parts += [NOTICE.pack(each.digest, each.break_id) for each in notices]
    parts += [
        RECORD.pack(
            name_hash(each.name),
            each.incarnation & MAX_UNSIGNED,
            each.counter & MAX_UNSIGNED,
            each.ready,
        )
        for each in heartbeats
    ]
    return b''.join(parts)


def decode(data: bytes, names_by_hash: Mapping[int, str]) -> Gossip:
    """Return the content of the datagram; raise GossipError if it can't be decoded."""
    try:
        version, count, notice_count = HEADER.unpack_from(data)
        if version != CODEC_VERSION:
            raise GossipError(f'unknown datagram version {version}')
        notices_start = HEADER.size + count * REVISION.size
        start = notices_start + notice_count * NOTICE.size
        revisions = tuple(
            REVISION.unpack_from(data, HEADER.size + index * REVISION.size)[0]
            for index in range(count)
        )
        notices = tuple(
            BreakNotice(*NOTICE.unpack_from(data, notices_start + index * NOTICE.size))
            for index in range(notice_count)
        )
        records = list(RECORD.iter_unpack(data[start:]))
    except struct.error as error:
        raise GossipError(
            f'malformed datagram of {len(data)} bytes: {error}'
        ) from error
    heartbeats = tuple(
        Heartbeat(names_by_hash[hashed], incarnation, counter, ready)
        for hashed, incarnation, counter, ready in records
        if hashed in names_by_hash
    )
    return Gossip(heartbeats, revisions, notices)
