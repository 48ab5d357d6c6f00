"""Runs each non-idempotent call at most once per key.

The key is either a request id, which the process that issued it decides about from
memory, or the caller's own key, which the record at the platform decides about.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from daisylift.decisions.attempts import AttemptStore, MemoryFull
from daisylift.decisions.idempotency import (
    AskHolder,
    Attempt,
    ExecutionState,
    FinalVerdict,
    KeyReused,
    NotKept,
    Replay,
    Run,
    StoredResponse,
    Wait,
    fingerprint,
)
from daisylift.decisions.request_ids import ID_LIFE_SECONDS
from daisylift.outcome import Outcome
from daisylift_node.process.idempotency import (
    ClaimUncertain,
    Held,
    IdempotencyRecords,
    NotWritten,
)
from daisylift_node.process.members import Members
from daisylift_node.process.metrics import Metrics
from daisylift_node.request import refusals
from daisylift_node.request.body import CallerBodyError
from daisylift_node.request.call import Call
from daisylift_node.request.ending import Aborted, Answered, Ending, Refused
from daisylift_node.request.keyed import IssuedKey, Key, read_key
from daisylift_node.request.keyed_forward import KeyedForwarder
from daisylift_node.request.problem import Reason, Refusal, did_not_run, may_have_run
from daisylift_node.request.recorder import RecordingSink, replay
from daisylift_node.request.request_ids import RequestIdIssuer

MAX_KEYED_BODY_BYTES = 1024 * 1024
MAX_WAIT_SECONDS = 2.0
STOP_TIMEOUT_SECONDS = 10.0
STATE_BY_OUTCOME = {
    Outcome.ANSWERED: ExecutionState.ANSWERED,
    Outcome.DID_NOT_RUN: ExecutionState.NOT_RUN,
    Outcome.UNKNOWN: ExecutionState.UNKNOWN,
}

Clock = Callable[[], float]
Serve = Callable[[Call], Awaitable[Ending]]


class Guard(Protocol):
    """Decides whether a checked call is executed."""

    async def run(self, call: Call, serve: Serve) -> Ending:
        """Serve the call, at most once per key, or return another ending."""


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """A call with a key; its body has been read completely."""

    call: Call
    key: Key
    fingerprint: str
    serve: Serve


class KeyGuard:
    """Decides whether a non-idempotent call runs, waits, is replayed or refused."""

    def __init__(
        self,
        members: Members,
        incarnation: str,
        issuer: RequestIdIssuer,
        records: IdempotencyRecords,
        forwarder: KeyedForwarder,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._members = members
        self._issuer = issuer
        self._records = records
        self._forwarder = forwarder
        self._metrics = metrics
        self._clock = clock
        self._attempt_store = AttemptStore(incarnation)
        self._task_by_name: dict[str, asyncio.Task[Ending]] = {}

    async def start(self) -> None:
        """Do nothing; the guard needs no start."""

    async def stop(self) -> None:
        """Wait for running calls, whose callers may have disconnected."""
        if self._task_by_name:
            await asyncio.wait(
                self._task_by_name.values(), timeout=STOP_TIMEOUT_SECONDS
            )

    async def expire(self) -> None:
        """Remove expired attempts from memory; called periodically."""
        self._attempt_store.expire(self._clock())

    async def run(self, call: Call, serve: Serve) -> Ending:
        """Serve the call, at most once per key, or return another ending."""
        key = None if call.is_idempotent else read_key(call, self._issuer)
        if key is None:
            return await serve(call)
        if isinstance(key, Refusal):
            return Refused(key)
        own = self._members.own
        if own is None:
            return Refused(refusals.not_ready())
        refusal = await read_body(call, self._clock())
        if refusal is not None:
            return Refused(refusal)
        request_fingerprint = fingerprint(
            call.service.name, call.method, call.target, call.body.head
        )
        return await self._run_keyed(
            KeyedCall(call, key, request_fingerprint, serve), own.ordinal
        )

    async def _run_keyed(self, keyed: KeyedCall, ordinal: int) -> Ending:
        key = keyed.key
        if isinstance(key, IssuedKey):
            issued = key.request_id
            if issued.incarnation != self._attempt_store.incarnation:
                holder = AskHolder(issued.ordinal, issued.incarnation)
                return await self._ending_for(keyed, holder)
            verdict = self._attempt_store.evaluate(key.name, keyed.fingerprint)
            if verdict is None and self._issuer.is_expired(issued):
                return Refused(refusals.request_id_expired())
        now = self._clock()
        wait_deadline = keyed.call.deadline.capped(MAX_WAIT_SECONDS, now)
        while True:
            previous_state = self._attempt_store.state(key.name)
            decision = self._attempt_store.begin(
                key.name, keyed.fingerprint, ordinal, self._clock(), ID_LIFE_SECONDS
            )
            match decision:
                case Run(attempt):
                    self._count(key, decision)
                    return await self._start(keyed, attempt, previous_state)
                case MemoryFull():
                    return Refused(refusals.too_many_keys())
                case Wait():
                    task = self._task_by_name[key.name]
                    remaining_seconds = wait_deadline.remaining_seconds(self._clock())
                    await asyncio.wait({task}, timeout=remaining_seconds)
                    if not task.done():
                        return await self._ending_for(keyed, decision)
                case _:
                    return await self._ending_for(keyed, decision)

    async def _start(
        self, keyed: KeyedCall, attempt: Attempt, previous_state: ExecutionState | None
    ) -> Ending:
        """Run the call in its own task, which continues if the caller disconnects."""
        name = keyed.key.name
        if isinstance(keyed.key, IssuedKey):
            running = self._execute(keyed)
        else:
            running = self._claim_and_execute(keyed, attempt, previous_state)
        task = asyncio.create_task(running)
        self._task_by_name[name] = task
        task.add_done_callback(lambda _: self._on_task_done(name, task))
        return await asyncio.shield(task)

    def _on_task_done(self, name: str, task: asyncio.Task[Ending]) -> None:
        self._task_by_name.pop(name, None)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                'keyed call raised an exception'
            )

    async def _claim_and_execute(
        self, keyed: KeyedCall, attempt: Attempt, previous_state: ExecutionState | None
    ) -> Ending:
        name = keyed.key.name
        try:
            claim = await self._records.claim(
                name, keyed.fingerprint, attempt, previous_state
            )
        except BaseException:
            self._attempt_store.end(name, ExecutionState.NOT_RUN)
            raise
        match claim:
            case Held(version):
                ending = await self._execute(keyed)
                self._write_outcome(keyed, attempt, version)
                return ending
            case ClaimUncertain():
                self._attempt_store.end(name, ExecutionState.NOT_RUN)
                return Refused(refusals.records_unavailable())
            case NotWritten() if previous_state is ExecutionState.NOT_RUN:
                self._attempt_store.end(name, ExecutionState.NOT_RUN)
                return Refused(refusals.records_unavailable())
            case NotWritten():
                self._attempt_store.discard(name)
                return Refused(refusals.records_unavailable())
        self._attempt_store.discard(name)
        return await self._ending_for(keyed, claim)

    async def _execute(self, keyed: KeyedCall) -> Ending:
        """Serve the call; this process owns its attempt.

        The deadline is checked immediately before: a process that was paused after it
        accepted the call finds the deadline passed and can report that the call did
        not run.
        """
        name = keyed.key.name
        if keyed.call.deadline.has_passed(self._clock()):
            self._attempt_store.end(name, ExecutionState.NOT_RUN)
            return Refused(refusals.deadline_passed())
        recording = RecordingSink(keyed.call.sink)
        keyed.call.sink = recording
        try:
            ending = await keyed.serve(keyed.call)
        except BaseException:
            self._attempt_store.end(name, ExecutionState.UNKNOWN)
            raise
        self._attempt_store.end(name, STATE_BY_OUTCOME[ending.outcome], recording.kept)
        return ending

    def _write_outcome(self, keyed: KeyedCall, attempt: Attempt, version: int) -> None:
        name = keyed.key.name
        state = self._attempt_store.state(name)
        if state is ExecutionState.NOT_RUN:
            self._records.queue_release(name, version)
            return
        response = self._attempt_store.response(name)
        self._records.queue_outcome(
            name, version, keyed.fingerprint, attempt, state, response
        )

    async def _ending_for(
        self, keyed: KeyedCall, verdict: FinalVerdict | AskHolder
    ) -> Ending:
        """Return the ending for a verdict that does not let the call run here."""
        self._count(keyed.key, verdict)
        match verdict:
            case Replay(response):
                return await _replay(keyed.call, response)
            case NotKept():
                return Refused(refusals.answer_not_kept())
            case KeyReused():
                return Refused(refusals.key_reused())
            case Wait():
                return Refused(refusals.in_progress())
            case AskHolder():
                return await self._forward_to_holder(keyed.call, verdict)
        return Refused(refusals.outcome_unknown())

    async def _forward_to_holder(self, call: Call, holder: AskHolder) -> Ending:
        """Forward the call to the process that holds its attempt, if it still runs."""
        member = self._members.by_ordinal.get(holder.ordinal)
        if member is None or member.claim.incarnation != holder.incarnation:
            return Refused(refusals.outcome_unknown())
        address = member.caller_address
        if call.is_forwarded:
            return Refused(refusals.holder_unreachable(address))
        return await self._forwarder.forward(call, address, self._clock())

    def _count(self, key: Key, decision: object) -> None:
        self._metrics.keyed_requests.labels(
            key='request-id' if isinstance(key, IssuedKey) else 'caller-key',
            decision=type(decision).__name__.lower(),
        ).inc()


async def _replay(call: Call, response: StoredResponse) -> Ending:
    try:
        await replay(response, call.caller)
    except ConnectionError as error:
        refusal = may_have_run(Reason.CONNECTION_LOST, f'the caller went away: {error}')
        return Aborted(refusal)
    return Answered()


async def read_body(call: Call, now: float) -> Refusal | None:
    """Read the complete body before the deadline; return the refusal on failure."""
    try:
        async with asyncio.timeout(call.deadline.remaining_seconds(now)):
            is_complete = await call.body.read_all(MAX_KEYED_BODY_BYTES)
    except CallerBodyError:
        return did_not_run(Reason.BAD_BODY, 'the body ended short')
    except TimeoutError:
        detail = 'the body was not there before the deadline'
        return did_not_run(Reason.DEADLINE_PASSED, detail)
    return None if is_complete else refusals.body_too_large()
