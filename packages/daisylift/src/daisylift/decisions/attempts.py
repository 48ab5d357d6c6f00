"""Stores the keyed requests that a process dispatched, bounded in number and bytes.

An entry that ran is kept for its full lifetime; if there is no space, new keys are
refused, because removing an entry early could let its request run again. Stored
responses are dropped first, as a repeat can be told that its response is gone.
"""

from collections import OrderedDict
from dataclasses import dataclass

from daisylift.decisions.idempotency import (
    Attempt,
    ExecutionState,
    FinalVerdict,
    KeyReused,
    NotKept,
    OutcomeUnknown,
    Replay,
    Run,
    StoredResponse,
    Wait,
)

MAX_ENTRIES = 10_000
MAX_RESPONSES_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class MemoryFull:
    """No entry can be added without removing one that must be kept."""


@dataclass(slots=True)
class StoredAttempt:
    """The state of one key; ``expires_at`` is its expiry on the process's own clock."""

    fingerprint: str
    attempt: Attempt
    state: ExecutionState
    expires_at: float
    response: StoredResponse | None = None


class AttemptStore:
    """Decides whether a request runs, for keys that only this process may run."""

    def __init__(
        self,
        incarnation: str,
        max_entries: int = MAX_ENTRIES,
        max_responses_bytes: int = MAX_RESPONSES_BYTES,
    ) -> None:
        self.incarnation = incarnation
        self._max_entries = max_entries
        self._max_responses_bytes = max_responses_bytes
        self._entry_by_key: OrderedDict[str, StoredAttempt] = OrderedDict()
        self._response_sizes: OrderedDict[str, int] = OrderedDict()
        self._responses_bytes = 0
        self._number = 0

    def __len__(self) -> int:
        """Return the number of stored keys."""
        return len(self._entry_by_key)

    @property
    def responses_bytes(self) -> int:
        """Return the size of the stored responses in bytes."""
        return self._responses_bytes

    def state(self, key: str) -> ExecutionState | None:
        """Return the state of the key, or None if it is not stored."""
        entry = self._entry_by_key.get(key)
        return None if entry is None else entry.state

    def response(self, key: str) -> StoredResponse | None:
        """Return the response stored for the key, if any."""
        entry = self._entry_by_key.get(key)
        return None if entry is None else entry.response

    def evaluate(self, key: str, fingerprint: str) -> FinalVerdict | None:
        """Return the result that the entry implies, or None if the key may run."""
        entry = self._entry_by_key.get(key)
        if entry is None:
            return None
        if entry.fingerprint != fingerprint:
            return None if entry.state is ExecutionState.NOT_RUN else KeyReused()
        match entry.state:
            case ExecutionState.RUNNING:
                return Wait()
            case ExecutionState.UNKNOWN:
                return OutcomeUnknown()
            case ExecutionState.ANSWERED:
                return NotKept() if entry.response is None else Replay(entry.response)
        return None

    def begin(
        self, key: str, fingerprint: str, ordinal: int, now: float, life_seconds: float
    ) -> Run | FinalVerdict | MemoryFull:
        """Store the key as running in a new attempt, unless its entry forbids it."""
        verdict = self.evaluate(key, fingerprint)
        if verdict is not None:
            return verdict
        if key not in self._entry_by_key and not self._has_capacity(now):
            return MemoryFull()
        self._number += 1
        attempt = Attempt(ordinal, self.incarnation, self._number)
        self._entry_by_key[key] = StoredAttempt(
            fingerprint, attempt, ExecutionState.RUNNING, now + life_seconds
        )
        self._entry_by_key.move_to_end(key)
        return Run(attempt)

    def end(
        self, key: str, state: ExecutionState, response: StoredResponse | None = None
    ) -> None:
        """Record how the running attempt of the key ended."""
        entry = self._entry_by_key[key]
        entry.state = state
        if response is None:
            return
        self._evict_responses_for(len(response.body))
        if len(response.body) > self._max_responses_bytes:
            return
        entry.response = response
        self._response_sizes[key] = len(response.body)
        self._responses_bytes += len(response.body)

    def discard(self, key: str) -> None:
        """Remove a key that did not run and whose record does not name this process."""
        if self.state(key) in (ExecutionState.NOT_RUN, ExecutionState.RUNNING):
            del self._entry_by_key[key]

    def expire(self, now: float) -> None:
        """Remove expired entries, except those that are still running."""
        for key in [k for k, e in self._entry_by_key.items() if e.expires_at <= now]:
            if self._entry_by_key[key].state is not ExecutionState.RUNNING:
                self._drop_response(key)
                del self._entry_by_key[key]

    def _has_capacity(self, now: float) -> bool:
        if len(self._entry_by_key) >= self._max_entries:
            self.expire(now)
        return len(self._entry_by_key) < self._max_entries

    def _evict_responses_for(self, size: int) -> None:
        while self._response_sizes and self._responses_bytes + size > (
            self._max_responses_bytes
        ):
            self._drop_response(next(iter(self._response_sizes)))

    def _drop_response(self, key: str) -> None:
        size = self._response_sizes.pop(key, 0)
        self._responses_bytes -= size
        self._entry_by_key[key].response = None
