"""Request ids, each issued by a node for a single use within its incarnation.

An id has the form ``VERSION.ORDINAL.INCARNATION.SEQUENCE.ISSUED_MS.MAC``. The time of
issue counts from the start of the issuer's incarnation, so only the issuer can decide
whether an id has expired.
"""

import hashlib
import hmac
from dataclasses import dataclass

VERSION = '1'
MAC_BYTES = 16
MAX_ID_LENGTH = 200
ID_LIFE_SECONDS = 600.0


@dataclass(frozen=True, slots=True)
class RequestId:
    """The contents of an id whose MAC is valid."""

    ordinal: int
    incarnation: str
    sequence: int
    issued_ms: int


def write_request_id(key: bytes, request_id: RequestId) -> str:
    """Return the id as text, with a MAC made with the fleet's key."""
    text = _unsigned(request_id)
    return f'{text}.{_mac(key, text)}'


def read_request_id(key: bytes, text: str) -> RequestId | None:
    """Return the id, or None when its MAC was not made with the key."""
    if len(text) > MAX_ID_LENGTH or not text.isascii():
        return None
    unsigned, _, mac = text.rpartition('.')
    if not hmac.compare_digest(mac, _mac(key, unsigned)):
        return None
    _, ordinal, incarnation, sequence, issued_ms = unsigned.split('.')
    return RequestId(
        ordinal=int(ordinal),
        incarnation=incarnation,
        sequence=int(sequence),
        issued_ms=int(issued_ms),
    )


def is_expired(request_id: RequestId, now_ms: int) -> bool:
    """Return whether the id is so old that the issuer may have discarded its state."""
    return now_ms - request_id.issued_ms > ID_LIFE_SECONDS * 1000


def _unsigned(request_id: RequestId) -> str:
    return (
        f'{VERSION}.{request_id.ordinal}.{request_id.incarnation}'
        f'.{request_id.sequence}.{request_id.issued_ms}'
    )


def _mac(key: bytes, text: str) -> str:
    digest = hmac.new(key, b'request-id ' + text.encode(), hashlib.sha256)
    return digest.digest()[:MAC_BYTES].hex()
