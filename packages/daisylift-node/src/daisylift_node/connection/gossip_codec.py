"""The datagrams by which entry VMs tell of heartbeats and of revisions.

A datagram is a version byte, the revision of each kind in a fixed order, and records of
13 bytes: hash of the VM's name, incarnation, counter, ready or not. Names are long and
known to all from the store, so their hashes suffice; one that is not known is left out.
"""

import struct
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from daisylift.decisions.liveness import Heartbeat
from daisylift.errors import DaisyliftError

CODEC_VERSION = 1
HEADER = struct.Struct('!BB')
REVISION = struct.Struct('!Q')
RECORD = struct.Struct('!III?')
MAX_UNSIGNED = 2**32 - 1


class GossipError(DaisyliftError):
    """A datagram can't be read; says why."""


@dataclass(frozen=True, slots=True)
class Gossip:
    """What one datagram tells. Revisions are in the order of the kinds, 0 is none."""

    heartbeats: tuple[Heartbeat, ...]
    revisions: tuple[int, ...]


def name_hash(name: str) -> int:
    """Return the hash that stands for a VM's name."""
    return xxhash.xxh32_intdigest(name.encode())


def encode(heartbeats: Iterable[Heartbeat], revisions: Sequence[int]) -> bytes:
    """Return the datagram."""
    parts = [HEADER.pack(CODEC_VERSION, len(revisions))]
    parts += [REVISION.pack(revision) for revision in revisions]
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
    """Return what the datagram tells; raise GossipError if it can't be read."""
    try:
        version, count = HEADER.unpack_from(data)
        if version != CODEC_VERSION:
            raise GossipError(f'version {version} is not known')
        start = HEADER.size + count * REVISION.size
        revisions = tuple(
            REVISION.unpack_from(data, HEADER.size + index * REVISION.size)[0]
            for index in range(count)
        )
        records = list(RECORD.iter_unpack(data[start:]))
    except struct.error as error:
        raise GossipError(f'{len(data)} bytes do not fit: {error}') from error
    heartbeats = tuple(
        Heartbeat(names_by_hash[hashed], incarnation, counter, ready)
        for hashed, incarnation, counter, ready in records
        if hashed in names_by_hash
    )
    return Gossip(heartbeats, revisions)
