"""Decisions on whether a request with an idempotency key may run.

They are made from the process's memory and the platform's record of the key. A node
dispatches a keyed request only in an attempt of its own that is in the running state
in its memory. If the key was chosen by the caller, the platform's record must also
name that attempt. Otherwise the request is answered from the record, waits for a
running attempt, is forwarded to the node that holds the attempt, or is refused.
"""

import enum
import hashlib
from dataclasses import dataclass


class ExecutionState(enum.Enum):
    """The known execution state of a keyed request."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    NOT_RUN = 'not-run'


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A complete response, stored to be replayed to repeated requests."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a keyed request; ``number`` is unique within a process."""

    ordinal: int
    incarnation: str
    number: int


@dataclass(frozen=True, slots=True)
class Record:
    """An idempotency record as stored by the platform, with its stored version."""

    fingerprint: str
    attempt: Attempt
    state: ExecutionState
    response: StoredResponse | None
    version: int


@dataclass(frozen=True, slots=True)
class Run:
    """The request may run on this node, as this attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Wait:
    """The same request is already running on this node; wait for its result."""


@dataclass(frozen=True, slots=True)
class Replay:
    """The first response is stored; send it again."""

    response: StoredResponse


@dataclass(frozen=True, slots=True)
class NotKept:
    """The request was answered, but the response is no longer stored."""


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was already used for a different request."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """It can no longer be determined whether the request ran."""


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Another process holds the attempt; its in-memory state decides."""

    ordinal: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """The record names this process, which did not dispatch the request.

    The process may take the record over with a conditional write on ``version``.
    """

    version: int


FinalVerdict = Wait | Replay | NotKept | KeyReused | OutcomeUnknown
RecordVerdict = FinalVerdict | AskHolder | Adopt


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return a digest that distinguishes different requests under the same key."""
    digest = hashlib.sha256(body).hexdigest()
    text = f'{service}\n{method}\n{path}\n{digest}'
    return hashlib.sha256(text.encode()).hexdigest()


def record_name(service: str, key: str) -> str:
    """Return the record name for a caller's key; keys are scoped by service."""
    return hashlib.sha256(f'{service}\n{key}'.encode()).hexdigest()


def evaluate_record(
    record: Record,
    expected_fingerprint: str,
    incarnation: str,
    local: ExecutionState | None,
) -> RecordVerdict:
    """Decide what to do about a record that existed before this node's attempt.

    ``local`` is the state of the key in this process's memory, or None. A record that
    names this process may be adopted only if that state is ``NOT_RUN``; without a
    state in memory, the process may have dispatched the request.
    """
    is_own = record.attempt.incarnation == incarnation
    if is_own and local is ExecutionState.NOT_RUN:
        return Adopt(record.version)
    if record.fingerprint != expected_fingerprint:
        return KeyReused()
    if record.state is ExecutionState.ANSWERED and record.response is not None:
        return Replay(record.response)
    if record.state is ExecutionState.UNKNOWN:
        return OutcomeUnknown()
    if not is_own:
        return AskHolder(record.attempt.ordinal, record.attempt.incarnation)
    return evaluate_without_holder(record)


def evaluate_without_holder(record: Record) -> NotKept | OutcomeUnknown:
    """Decide about a record whose holder can't be reached."""
    if record.state is ExecutionState.ANSWERED:
        return NotKept()
    return OutcomeUnknown()
