"""Request ids: issued by one node for one use, and good only in its incarnation.

An id reads ``VERSION.ORDINAL.INCARNATION.SEQUENCE.ISSUED_MS.MAC``. The issue time
counts from the start of the issuer's incarnation, so only the issuer judges it.
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
    """What an id says of itself, once its MAC is known to be right."""

    ordinal: int
    incarnation: str
    sequence: int
    issued_ms: int


def write_request_id(key: bytes, request_id: RequestId) -> str:
    """Return the id as text, with a MAC that only holders of the key can make."""
    text = _unsigned(request_id)
    return f'{text}.{_mac(key, text)}'


def read_request_id(key: bytes, text: str) -> RequestId | None:
    """Return the id, or None when it was not made with the key."""
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
    """Say whether the issuer may have forgotten what became of the id."""
    return now_ms - request_id.issued_ms > ID_LIFE_SECONDS * 1000


def _unsigned(request_id: RequestId) -> str:
    return (
        f'{VERSION}.{request_id.ordinal}.{request_id.incarnation}'
        f'.{request_id.sequence}.{request_id.issued_ms}'
    )


def _mac(key: bytes, text: str) -> str:
    digest = hmac.new(key, b'request-id ' + text.encode(), hashlib.sha256)
    return digest.digest()[:MAC_BYTES].hex()
