"""A process's memory of the keyed requests that it dispatched, bounded in all ways.

An entry that ran is kept for its whole life, or new keys are refused: forgetting
one early could let its request run again. Answers are dropped first, as a repeat
can be told that its answer is no longer kept.
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
MAX_ANSWERS_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class MemoryFull:
    """No entry can be taken on without forgetting one that must be kept."""


@dataclass(slots=True)
class Entry:
    """What became of one key; ``forget_at`` is a time of the process's own clock."""

    fingerprint: str
    attempt: Attempt
    state: ExecutionState
    forget_at: float
    answer: StoredResponse | None = None


class AttemptMemory:
    """Decides, for keys that this process alone may run, whether they run."""

    def __init__(
        self,
        incarnation: str,
        max_entries: int = MAX_ENTRIES,
        max_answers_bytes: int = MAX_ANSWERS_BYTES,
    ) -> None:
        self.incarnation = incarnation
        self._max_entries = max_entries
        self._max_answers_bytes = max_answers_bytes
        self._entry_by_key: OrderedDict[str, Entry] = OrderedDict()
        self._answer_sizes: OrderedDict[str, int] = OrderedDict()
        self._answers_bytes = 0
        self._number = 0

    def __len__(self) -> int:
        """Return how many keys are remembered."""
        return len(self._entry_by_key)

    @property
    def answers_bytes(self) -> int:
        """Return how many bytes of answers are kept."""
        return self._answers_bytes

    def state(self, key: str) -> ExecutionState | None:
        """Return what is remembered of the key."""
        entry = self._entry_by_key.get(key)
        return None if entry is None else entry.state

    def answer(self, key: str) -> StoredResponse | None:
        """Return the answer that is kept for the key."""
        entry = self._entry_by_key.get(key)
        return None if entry is None else entry.answer

    def judge(self, key: str, wanted: str) -> FinalVerdict | None:
        """Return what memory knows of the key, or None when it may be tried."""
        entry = self._entry_by_key.get(key)
        if entry is None:
            return None
        if entry.fingerprint != wanted:
            return None if entry.state is ExecutionState.NOT_RUN else KeyReused()
        match entry.state:
            case ExecutionState.RUNNING:
                return Wait()
            case ExecutionState.UNKNOWN:
                return OutcomeUnknown()
            case ExecutionState.ANSWERED:
                return NotKept() if entry.answer is None else Replay(entry.answer)
        return None

    def begin(
        self, key: str, wanted: str, ordinal: int, now: float, life_seconds: float
    ) -> Run | FinalVerdict | MemoryFull:
        """Take the key on as running in a fresh attempt, unless memory says no."""
        known = self.judge(key, wanted)
        if known is not None:
            return known
        if key not in self._entry_by_key and not self._has_room(now):
            return MemoryFull()
        self._number += 1
        attempt = Attempt(ordinal, self.incarnation, self._number)
        self._entry_by_key[key] = Entry(
            wanted, attempt, ExecutionState.RUNNING, now + life_seconds
        )
        self._entry_by_key.move_to_end(key)
        return Run(attempt)

    def end(
        self, key: str, state: ExecutionState, answer: StoredResponse | None = None
    ) -> None:
        """Note how the running attempt of the key ended."""
        entry = self._entry_by_key[key]
        entry.state = state
        if answer is None:
            return
        self._make_room_for(len(answer.body))
        if len(answer.body) > self._max_answers_bytes:
            return
        entry.answer = answer
        self._answer_sizes[key] = len(answer.body)
        self._answers_bytes += len(answer.body)

    def forget(self, key: str) -> None:
        """Drop a key that never ran and has no record in this process's name."""
        if self.state(key) in (ExecutionState.NOT_RUN, ExecutionState.RUNNING):
            del self._entry_by_key[key]

    def expire(self, now: float) -> None:
        """Forget the entries whose life is over; a running one stays."""
        for key in [k for k, e in self._entry_by_key.items() if e.forget_at <= now]:
            if self._entry_by_key[key].state is not ExecutionState.RUNNING:
                self._drop_answer(key)
                del self._entry_by_key[key]

    def _has_room(self, now: float) -> bool:
        if len(self._entry_by_key) >= self._max_entries:
            self.expire(now)
        return len(self._entry_by_key) < self._max_entries

    def _make_room_for(self, size: int) -> None:
        while self._answer_sizes and self._answers_bytes + size > (
            self._max_answers_bytes
        ):
            self._drop_answer(next(iter(self._answer_sizes)))

    def _drop_answer(self, key: str) -> None:
        size = self._answer_sizes.pop(key, 0)
        self._answers_bytes -= size
        self._entry_by_key[key].answer = None
