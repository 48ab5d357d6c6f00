"""Who may run a keyed request: judged from memory and from the platform's record.

A node dispatches a keyed request only in an attempt of its own that its memory
holds as running; for a caller's own key the attempt must also be the one that the
platform's record names. Everything else is replay, waiting, forwarding or refusal.
"""

import enum
import hashlib
from dataclasses import dataclass


class State(enum.Enum):
    """What is known of the run of a keyed request."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    NOT_RUN = 'not-run'


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """An answer kept for repeats, whole."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try to run a keyed request; ``number`` is never used twice by a process."""

    ordinal: int
    incarnation: str
    number: int


@dataclass(frozen=True, slots=True)
class Record:
    """The idempotency record as the platform holds it, at its version."""

    fingerprint: str
    attempt: Attempt
    state: State
    answer: KeptAnswer | None
    version: int


@dataclass(frozen=True, slots=True)
class Run:
    """Run the request on this node, in the attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Wait:
    """The same request is running on this node."""


@dataclass(frozen=True, slots=True)
class Replay:
    """The first answer is known."""

    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class NotKept:
    """The request was answered, but the answer is no longer kept."""


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key belongs to a different request."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Whether the request ran can't be known any more."""


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Another process holds the attempt; its memory decides."""

    ordinal: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """The record names this process, which never dispatched; take it at a version."""

    version: int


Known = Wait | Replay | NotKept | KeyReused | OutcomeUnknown
RecordVerdict = Known | AskHolder | Adopt


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the digest that tells one request from another under the same key."""
    digest = hashlib.sha256(body).hexdigest()
    text = f'{service}\n{method}\n{path}\n{digest}'
    return hashlib.sha256(text.encode()).hexdigest()


def record_name(service: str, key: str) -> str:
    """Return the name of the record of a caller's key, which is scoped by service."""
    return hashlib.sha256(f'{service}\n{key}'.encode()).hexdigest()


def judge_record(
    record: Record, wanted: str, incarnation: str, local: State | None
) -> RecordVerdict:
    """Judge a record that stood before this node's attempt.

    ``local`` is what this process remembers of the key: a record in its own name
    that it remembers as not run may be adopted; one that it has forgotten may not.
    """
    is_own = record.attempt.incarnation == incarnation
    if is_own and local is State.NOT_RUN:
        return Adopt(record.version)
    if record.fingerprint != wanted:
        return KeyReused()
    if record.state is State.ANSWERED and record.answer is not None:
        return Replay(record.answer)
    if record.state is State.UNKNOWN:
        return OutcomeUnknown()
    if not is_own:
        return AskHolder(record.attempt.ordinal, record.attempt.incarnation)
    return judge_without_holder(record)


def judge_without_holder(record: Record) -> NotKept | OutcomeUnknown:
    """Judge a record whose holder can't be asked."""
    if record.state is State.ANSWERED:
        return NotKept()
    return OutcomeUnknown()
