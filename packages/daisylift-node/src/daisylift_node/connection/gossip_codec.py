"""Encodes the gossip datagrams in which entry VMs announce heartbeats and revisions.

A datagram starts with a header of three bytes: the version and the numbers of
revisions and notices. It is followed by the revision of each kind in a fixed order, the
eras of all kinds (8 bytes), the ages of the copies of all kinds in milliseconds (8
bytes), notices of poison requests (24 bytes each), and heartbeat records of 13 bytes:
the hash of the VM's name, incarnation, counter, and whether the VM is ready. Names are
long, and all nodes have them from the store, so hashes are sent instead. Records with
an unknown hash are skipped. The eras and the ages count as one more revision each in
the header: older nodes skip those beyond the kinds that they know, and send none.

Limits that servers have named are sent in datagrams of their own, with a version that
older nodes refuse: the version, the number of limits, and for each the server's
incarnation, the limit (negative if withdrawn) and its age in milliseconds.
"""

import math
import struct
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from daisylift.decisions.limit_notices import LimitNotice
from daisylift.decisions.liveness import Heartbeat
from daisylift.decisions.poison_notices import BreakNotice
from daisylift.decisions.poison_requests import DIGEST_BYTES
from daisylift.errors import DaisyliftError

CODEC_VERSION = 2
KIND_COUNT = 4  # kinds of objects that the entry VMs copy from the store
ERAS = struct.Struct(f'!{KIND_COUNT}H')
MAX_ERA = 2**16 - 1
AGES = struct.Struct(f'!{KIND_COUNT}H')
UNKNOWN_AGE_MS = 2**16 - 1  # stands for this and every higher age
LIMITS_VERSION = 3
HEADER = struct.Struct('!BBB')
REVISION = struct.Struct('!Q')
NOTICE = struct.Struct(f'!{DIGEST_BYTES}sQ')
RECORD = struct.Struct('!III?')
LIMITS_HEADER = struct.Struct('!BB')
LIMIT = struct.Struct('!QdI')
MAX_NOTICES_PER_DATAGRAM = 4  # keeps gossip below 6 KB per second
MAX_NOTICES_BESIDE_LIMITS = 2  # the same while limits are sent as well
MAX_LIMITS_PER_DATAGRAM = 4
WITHDRAWN = -1.0
MS_PER_SECOND = 1000.0
MAX_UNSIGNED = 2**32 - 1


class GossipError(DaisyliftError):
    """A datagram can't be decoded; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class Gossip:
    """The content of one datagram.

    Revisions, eras and ages are in the order of the kinds; 0 means that there is no
    revision or era. Ages are in seconds, infinite if the sender does not know one.
    """

    heartbeats: tuple[Heartbeat, ...]
    revisions: tuple[int, ...]
    notices: tuple[BreakNotice, ...] = ()
    eras: tuple[int, ...] = ()
    limits: tuple[LimitNotice, ...] = ()
    ages: tuple[float, ...] = ()


def name_hash(name: str) -> int:
    """Return the hash that replaces a VM's name in a datagram."""
    return xxhash.xxh32_intdigest(name.encode())


def encode(
    heartbeats: Iterable[Heartbeat],
    revisions: Sequence[int],
    notices: Sequence[BreakNotice] = (),
    eras: Sequence[int] = (),
    ages: Sequence[float] = (),
) -> bytes:
    """Return the datagram.

    Eras can be given if there are KIND_COUNT revisions, and ages if there are eras.
    """
    count = len(revisions) + bool(eras) + bool(ages)
    parts = [HEADER.pack(CODEC_VERSION, count, len(notices))]
    parts += [REVISION.pack(revision) for revision in revisions]
    if eras:
        parts.append(ERAS.pack(*(min(era, MAX_ERA) for era in eras)))
    if ages:
        parts.append(AGES.pack(*map(_age_ms, ages)))
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
        if data[:1] == bytes([LIMITS_VERSION]):
            return Gossip((), (), limits=_decode_limits(data))
        version, count, notice_count = HEADER.unpack_from(data)
        if version != CODEC_VERSION:
            raise GossipError(f'unknown datagram version {version}')
        notices_start = HEADER.size + count * REVISION.size
        start = notices_start + notice_count * NOTICE.size
        revisions = tuple(
            REVISION.unpack_from(data, HEADER.size + index * REVISION.size)[0]
            for index in range(min(count, KIND_COUNT))
        )
        eras = ()
        if count > KIND_COUNT:
            eras = ERAS.unpack_from(data, HEADER.size + KIND_COUNT * REVISION.size)
        ages = ()
        if count > KIND_COUNT + 1:
            ages = AGES.unpack_from(
                data, HEADER.size + KIND_COUNT * REVISION.size + ERAS.size
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
    return Gossip(
        heartbeats, revisions, notices, eras=eras, ages=tuple(map(_age_seconds, ages))
    )


def _age_ms(seconds: float) -> int:
    return math.ceil(min(UNKNOWN_AGE_MS, seconds * MS_PER_SECOND))


def _age_seconds(age_ms: int) -> float:
    return math.inf if age_ms == UNKNOWN_AGE_MS else age_ms / MS_PER_SECOND


def encode_limits(limits: Sequence[LimitNotice]) -> bytes:
    """Return the datagram with limits that servers have named."""
    parts = [LIMITS_HEADER.pack(LIMITS_VERSION, len(limits))]
    parts += [
        LIMIT.pack(
            each.incarnation_id,
            WITHDRAWN if each.per_second is None else each.per_second,
            min(MAX_UNSIGNED, int(each.age_seconds * MS_PER_SECOND)),
        )
        for each in limits
    ]
    return b''.join(parts)


def _decode_limits(data: bytes) -> tuple[LimitNotice, ...]:
    _, count = LIMITS_HEADER.unpack_from(data)
    if len(data) != LIMITS_HEADER.size + count * LIMIT.size:
        raise GossipError(f'malformed datagram of {len(data)} bytes: {count} limits')
    records = list(LIMIT.iter_unpack(data[LIMITS_HEADER.size :]))
    if not all(math.isfinite(per_second) for _, per_second, _ in records):
        raise GossipError('malformed datagram: a limit is not a finite number')
    return tuple(
        LimitNotice(
            incarnation_id,
            None if per_second < 0.0 else per_second,
            milliseconds / MS_PER_SECOND,
        )
        for incarnation_id, per_second, milliseconds in records
    )
