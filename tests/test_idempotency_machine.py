"""State machine test: a keyed request runs at most once, for any order of steps.

Several nodes handle the same key. Each store call consists of two steps, its effect
and its reply. Both may be late, and the reply may be lost. At any point a node may be
killed, or frozen, in which case it just gets no steps. After every step, the key must
have run at most once.
"""

from collections import Counter
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from daisylift.decisions.attempts import AttemptStore
from daisylift.decisions.idempotency import (
    Adopt,
    Attempt,
    ExecutionState,
    Record,
    Run,
    evaluate_record,
)

KEY = 'pay-1'
NODES = 2
LIFE_SECONDS = 1000.0
MAX_TRIES = 3
PICK = st.integers(0, 3)
NODE = st.integers(0, NODES - 1)
LOSSES = ('none', 'none', 'none', 'kill', 'expire')
FATES = ('done', 'done', 'done', 'late', 'lost', 'refused')
ENDS = {
    'done': ExecutionState.ANSWERED,
    'late': ExecutionState.UNKNOWN,
    'lost': ExecutionState.UNKNOWN,
}


@dataclass
class Store:
    """Records by key, with versions that increase across the whole store."""

    record_by_key: dict = field(default_factory=dict)
    revision: int = 0

    def write(self, key, attempt, expected):
        """Create (expected is None) or update at a version; return the record."""
        current = self.record_by_key.get(key)
        if (current.version if current else None) != expected:
            return current
        self.revision += 1
        self.record_by_key[key] = Record(
            'f', attempt, ExecutionState.RUNNING, None, self.revision
        )
        return self.record_by_key[key]

    def delete(self, key, version):
        current = self.record_by_key.get(key)
        if current is not None and current.version == version:
            del self.record_by_key[key]


@dataclass
class Claim:
    """A request handler on a node, between two of its steps."""

    node: int
    memory: AttemptStore
    key: str
    attempt: Attempt
    local: ExecutionState | None
    expected: int | None = None
    answer: object = None
    step: str = 'write'
    tries: int = 0


class AtMostOnce(RuleBasedStateMachine):
    """Several nodes take the same keys on, in any interleaving."""

    def __init__(self):
        super().__init__()
        self.store = Store()
        self.incarnations = 0
        self.memories = [self._fresh_memory() for _ in range(NODES)]
        self.claims = []
        self.late_writes = []
        self.late_deletes = []
        self.runs = Counter()

    def _fresh_memory(self):
        self.incarnations += 1
        return AttemptStore(f'inc-{self.incarnations}')

    @rule(node=NODE)
    def send(self, node):
        """Let a caller send, or repeat, a request to a node."""
        memory = self.memories[node]
        local = memory.state(KEY)
        begun = memory.begin(KEY, 'f', node, 0.0, LIFE_SECONDS)
        if isinstance(begun, Run):
            self.claims.append(Claim(node, memory, KEY, begun.attempt, local))

    @precondition(lambda self: self.claims)
    @rule(pick=PICK, fate=st.sampled_from(FATES))
    def advance(self, pick, fate):
        """Let some handler go one step on; ``fate`` says how its call ends."""
        claim = self.claims[pick % len(self.claims)]
        getattr(self, f'_{claim.step}')(claim, fate)

    def _write(self, claim, fate):
        write = (claim.key, claim.attempt, claim.expected)
        if fate == 'late':
            self.late_writes.append(write)
            claim.step = 'read_back'
            return
        claim.answer = self.store.write(*write)
        if fate == 'lost':
            claim.step = 'read_back'
            return
        self._judge(claim)

    def _read_back(self, claim, fate):
        claim.tries += 1
        if fate != 'done' or claim.tries > MAX_TRIES:
            self._end_not_run(claim)
            return
        claim.answer = self.store.record_by_key.get(claim.key)
        self._judge(claim)

    def _judge(self, claim):
        found = claim.answer
        if found is None:
            claim.expected = None
            claim.step = 'write'
            return
        if found.attempt == claim.attempt:
            claim.expected = found.version
            claim.step = 'dispatch'
            return
        verdict = evaluate_record(found, 'f', claim.memory.incarnation, claim.local)
        if isinstance(verdict, Adopt):
            claim.expected = verdict.version
            claim.step = 'write'
            return
        claim.memory.discard(claim.key)
        self.claims.remove(claim)

    def _dispatch(self, claim, fate):
        if fate != 'refused':
            self.runs[claim.key] += 1
            claim.memory.end(claim.key, ENDS[fate])
            self.claims.remove(claim)
            return
        self.late_deletes.append((claim.key, claim.expected))
        self._end_not_run(claim)

    @precondition(lambda self: self.late_writes)
    @rule(pick=PICK)
    def late_write_lands(self, pick):
        """Let a write take effect long after its sender gave its answer up."""
        self.store.write(*self.late_writes.pop(pick % len(self.late_writes)))

    @precondition(lambda self: self.late_deletes)
    @rule(pick=PICK, repeated=st.booleans())
    def late_delete_lands(self, pick, repeated):
        """Let a release take effect, perhaps twice."""
        delete = self.late_deletes[pick % len(self.late_deletes)]
        if not repeated:
            self.late_deletes.remove(delete)
        self.store.delete(*delete)

    @rule(node=NODE, loss=st.sampled_from(LOSSES))
    def lose_memory(self, node, loss):
        """Kill a node, whose writes may still land; or let it forget what ended."""
        if loss == 'kill':
            self.claims = [c for c in self.claims if c.node != node]
            self.memories[node] = self._fresh_memory()
        if loss == 'expire':
            self.memories[node].expire(LIFE_SECONDS)

    @invariant()
    def at_most_once(self):
        """No key has run twice."""
        assert all(count <= 1 for count in self.runs.values()), self.runs

    def _end_not_run(self, claim):
        claim.memory.end(claim.key, ExecutionState.NOT_RUN)
        self.claims.remove(claim)


AtMostOnce.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)
TestAtMostOnce = AtMostOnce.TestCase
