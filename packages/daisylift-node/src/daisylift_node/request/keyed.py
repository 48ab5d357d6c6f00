"""Reads the key under which a caller may repeat a request from its headers."""

from dataclasses import dataclass

from daisylift import headers
from daisylift.decisions.idempotency import record_name
from daisylift.decisions.request_ids import RequestId
from daisylift_node.request.call import Call
from daisylift_node.request.problem import Reason, Refusal, did_not_run
from daisylift_node.request.request_ids import RequestIdIssuer

MAX_KEY_LENGTH = 255


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """A request id; the process that issued it decides, from its memory."""

    name: str
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class CallerKey:
    """The caller's own key; the platform's record with this name decides."""

    name: str


Key = IssuedKey | CallerKey


def read_key(call: Call, issuer: RequestIdIssuer) -> Key | Refusal | None:
    """Return the key, a refusal if it is invalid, or None if there is no key."""
    fields = call.request.headers
    issued = fields.getall(headers.REQUEST_ID, [])
    caller_keys = fields.getall(headers.IDEMPOTENCY_KEY, [])
    if not issued and not caller_keys:
        return None
    if len(issued) + len(caller_keys) > 1:
        return did_not_run(Reason.BAD_KEY, 'give one key, once')
    if issued:
        request_id = issuer.read(issued[0])
        if request_id is None:
            detail = 'no VM of this fleet issued the request id'
            return did_not_run(Reason.BAD_KEY, detail)
        return IssuedKey(f'id:{issued[0]}', request_id)
    key = caller_keys[0].strip()
    if not 0 < len(key) <= MAX_KEY_LENGTH or not key.isprintable():
        detail = f'a key has 1 to {MAX_KEY_LENGTH} printable characters'
        return did_not_run(Reason.BAD_KEY, detail)
    return CallerKey(record_name(call.service.name, key))
