"""The format of a peer datagram: a format byte, an HMAC, and the envelope.

A datagram that fails any check is dropped with a reason. Its content is neither
trusted nor logged before its HMAC has been verified.
"""

import enum
import hmac
from collections import OrderedDict
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from daisylift.models.policy import MAX_NAME_LENGTH
from daisylift.schema import peer_pb2 as pb
from daisylift_node.errors import PeerMessageError

FORMAT = b'\x01'
DIGEST_BYTES = 16
HEADER_BYTES = len(FORMAT) + DIGEST_BYTES
MAX_DATAGRAM_BYTES = 1200
REPLAY_WINDOW = 1024
MAX_SENDERS = 4096

_WINDOW_MASK = (1 << REPLAY_WINDOW) - 1


class DropReason(enum.Enum):
    """Why a datagram was dropped."""

    OVERSIZED = 'oversized'
    GARBAGE = 'garbage'
    WRONG_KEY = 'wrong-key'
    OWN = 'own'
    OLD_INCARNATION = 'old-incarnation'
    REPLAYED = 'replayed'
    UNKNOWN_BODY = 'unknown-body'
    NO_HANDLER = 'no-handler'
    LATE_REPLY = 'late-reply'


@dataclass(frozen=True, slots=True)
class Drop:
    """A datagram was dropped, for the reason given."""

    reason: DropReason


class DatagramCodec:
    """Encodes envelopes as datagrams and decodes them, with the shared key."""

    def __init__(self, key: str) -> None:
        self._key = key.encode()

    def encode(self, envelope: pb.Envelope) -> bytes:
        """Return the datagram; raise PeerMessageError if it is too large."""
        content = envelope.SerializeToString()
        if HEADER_BYTES + len(content) > MAX_DATAGRAM_BYTES:
            raise PeerMessageError(
                f'a {envelope.WhichOneof("body")} of {len(content)} bytes does not '
                f'fit a datagram of {MAX_DATAGRAM_BYTES} bytes'
            )
        return FORMAT + self._digest(content) + content

    def decode(self, data: bytes) -> pb.Envelope | Drop:
        """Return the envelope of a datagram, or why it was dropped."""
        if len(data) > MAX_DATAGRAM_BYTES:
            return Drop(DropReason.OVERSIZED)
        if len(data) <= HEADER_BYTES or not data.startswith(FORMAT):
            return Drop(DropReason.GARBAGE)
        content = data[HEADER_BYTES:]
        given = data[len(FORMAT) : HEADER_BYTES]
        if not hmac.compare_digest(given, self._digest(content)):
            return Drop(DropReason.WRONG_KEY)
        try:
            envelope = pb.Envelope.FromString(content)
        except DecodeError:
            return Drop(DropReason.GARBAGE)
        if not 0 < len(envelope.vm) <= MAX_NAME_LENGTH:
            return Drop(DropReason.GARBAGE)
        return envelope

    def _digest(self, content: bytes) -> bytes:
        return hmac.digest(self._key, content, 'sha256')[:DIGEST_BYTES]


@dataclass(slots=True)
class _Window:
    """The sequence numbers received from one incarnation of a sender.

    Bit ``i`` of ``seen`` stands for the number ``highest - i``.
    """

    incarnation: int
    highest: int
    seen: int


class ReplayFilter:
    """Drops repeats and datagrams from an older incarnation of a sender.

    Datagrams may arrive out of order within a window of sequence numbers; older ones
    are dropped. Only the most recent MAX_SENDERS senders are tracked.
    """

    def __init__(self) -> None:
        self._window_by_vm: OrderedDict[str, _Window] = OrderedDict()

    def check(self, envelope: pb.Envelope) -> Drop | None:
        """Record the envelope; return the Drop if it must be dropped, else None."""
        window = self._window_by_vm.get(envelope.vm)
        if window is None or envelope.incarnation > window.incarnation:
            self._remember(envelope)
            return None
        if envelope.incarnation < window.incarnation:
            return Drop(DropReason.OLD_INCARNATION)
        self._window_by_vm.move_to_end(envelope.vm)
        return _advance(window, envelope.sequence)

    def _remember(self, envelope: pb.Envelope) -> None:
        self._window_by_vm[envelope.vm] = _Window(
            envelope.incarnation, envelope.sequence, 1
        )
        self._window_by_vm.move_to_end(envelope.vm)
        if len(self._window_by_vm) > MAX_SENDERS:
            self._window_by_vm.popitem(last=False)


def _advance(window: _Window, sequence: int) -> Drop | None:
    ahead = sequence - window.highest
    if ahead > 0:
        kept = window.seen << ahead if ahead < REPLAY_WINDOW else 0
        window.seen = (kept | 1) & _WINDOW_MASK
        window.highest = sequence
        return None
    bit = 1 << -ahead if -ahead < REPLAY_WINDOW else 0
    if bit == 0 or window.seen & bit:
        return Drop(DropReason.REPLAYED)
    window.seen |= bit
    return None
