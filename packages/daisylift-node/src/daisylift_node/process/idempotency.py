"""The idempotency records of keys chosen by callers, in the platform's store.

A record is created before its request is dispatched. It names the attempt, so that
after a lost response of the platform a node can tell its own record from another
node's. Until it expires, only the process that the record names updates or deletes
it, and only if the stored version is still the one that the process last saw.
"""

import asyncio
import base64
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger
from returns.result import Failure, Result, Success

from daisylift.decisions.idempotency import (
    Adopt,
    Attempt,
    ExecutionState,
    Record,
    RecordVerdict,
    StoredResponse,
    evaluate_record,
)
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import (
    Conflict,
    Missing,
    PlatformClient,
    PlatformFailure,
    StoredObject,
    Uncertain,
)
from daisylift_node.process.supervisor import TaskSupervisor

RECORD_KIND = 'idempotency'
MAX_CLAIM_CALLS = 4
MAX_STORED_RESPONSE_BYTES = 4 * 1024
MAX_PENDING_WRITES = 1000
PENDING_WRITES_PAUSE_SECONDS = 0.01
FLUSH_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Held:
    """The record names this attempt and is at this version."""

    version: int


@dataclass(frozen=True, slots=True)
class NotWritten:
    """No record of this attempt was written, and none will be."""


@dataclass(frozen=True, slots=True)
class ClaimUncertain:
    """A record of this attempt may exist, or may still be written."""


ClaimResult = Held | NotWritten | ClaimUncertain | RecordVerdict
Write = Callable[[], Any]


class IdempotencyRecords:
    """Claims, adopts, releases and completes idempotency records."""

    def __init__(self, platform: PlatformClient, metrics: Metrics) -> None:
        self._platform = platform
        self._metrics = metrics
        self._pending: deque[tuple[str, Write]] = deque()
        self._wake = asyncio.Event()
        self._tasks = TaskSupervisor(metrics.count_task_restart)

    async def start(self) -> None:
        """Start to process the queue of deferred writes."""
        self._tasks.start('idempotency-writes', self._process_queue)

    async def stop(self) -> None:
        """Process the remaining deferred writes, for at most FLUSH_TIMEOUT_SECONDS."""
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_SECONDS):
                while self._pending:
                    await self._write_next()
        except TimeoutError:
            logger.warning(
                'stopped with {} deferred idempotency writes not done',
                len(self._pending),
            )
        await self._tasks.stop()

    async def claim(
        self,
        name: str,
        fingerprint: str,
        attempt: Attempt,
        local: ExecutionState | None,
    ) -> ClaimResult:
        """Try to make the record name the attempt; ``local`` as in evaluate_record."""
        record = _encode_record(fingerprint, attempt, ExecutionState.RUNNING, None)
        result = await self._platform.create(RECORD_KIND, name, record)
        is_uncertain = False
        for _ in range(MAX_CLAIM_CALLS):
            match result:
                case Success(stored):
                    return Held(stored.version)
                case Failure(Conflict(current=StoredObject() as current)):
                    found = parse_record(current)
                    if found is None:
                        return ClaimUncertain()
                    if found.attempt == attempt:
                        return Held(found.version)
                    verdict = evaluate_record(
                        found, fingerprint, attempt.incarnation, local
                    )
                    if not isinstance(verdict, Adopt):
                        return verdict
                    result = await self._platform.update(
                        RECORD_KIND, name, record, verdict.version
                    )
                case Failure(Missing() | Conflict()):
                    result = await self._platform.create(RECORD_KIND, name, record)
                case Failure(Uncertain()):
                    is_uncertain = True
                    result = await self._read_back(name)
                case _:
                    return ClaimUncertain() if is_uncertain else NotWritten()
        return ClaimUncertain()

    async def _read_back(self, name: str) -> Result[StoredObject, PlatformFailure]:
        read = await self._platform.get(RECORD_KIND, name)
        match read:
            case Success(stored):
                return Failure(Conflict(current=stored))
        return read

    def queue_release(self, name: str, version: int) -> None:
        """Queue the deletion of the record of an attempt that never ran.

        Without the record another attempt may run.
        """

        async def delete() -> None:
            await self._release(name, version)

        self._enqueue('release', delete)

    def queue_outcome(
        self,
        name: str,
        version: int,
        fingerprint: str,
        attempt: Attempt,
        state: ExecutionState,
        response: StoredResponse | None,
    ) -> None:
        """Queue a write of the outcome, with the response if it is small."""
        if response is not None and len(response.body) > MAX_STORED_RESPONSE_BYTES:
            response = None
        value = _encode_record(fingerprint, attempt, state, response)

        async def update() -> None:
            result = await self._platform.update(RECORD_KIND, name, value, version)
            self._count('note', result)

        self._enqueue('note', update)

    async def _release(self, name: str, version: int) -> None:
        result = await self._platform.delete(RECORD_KIND, name, version)
        if isinstance(result, Failure) and isinstance(result.failure(), Uncertain):
            result = await self._platform.delete(RECORD_KIND, name, version)
        self._count('release', result)

    def _enqueue(self, write_type: str, write: Write) -> None:
        if len(self._pending) >= MAX_PENDING_WRITES:
            self._pending.popleft()
            self._metrics.idempotency_writes.labels(
                write=write_type, result='dropped'
            ).inc()
        self._pending.append((write_type, write))
        self._wake.set()

    async def _process_queue(self) -> None:
        while True:
            while self._pending:
                await self._write_next()
                await asyncio.sleep(PENDING_WRITES_PAUSE_SECONDS)
            await self._wake.wait()
            self._wake.clear()

    async def _write_next(self) -> None:
        _, write = self._pending.popleft()
        await write()

    def _count(self, write_type: str, result: Result[Any, PlatformFailure]) -> None:
        label = 'ok'
        if isinstance(result, Failure):
            label = type(result.failure()).__name__.lower()
        self._metrics.idempotency_writes.labels(write=write_type, result=label).inc()


def parse_record(stored: StoredObject) -> Record | None:
    """Return the decoded record, or None if it cannot be decoded."""
    try:
        value = stored.value
        answer = value['answer']
        return Record(
            fingerprint=value['fingerprint'],
            attempt=Attempt(
                value['ordinal'], value['incarnation'], value['attempt_number']
            ),
            state=ExecutionState(value['state']),
            response=None if answer is None else _decode_response(answer),
            version=stored.version,
        )
    except (KeyError, TypeError, ValueError) as error:
        logger.error('cannot decode idempotency record {}: {!r}', stored.name, error)
        return None


def written_at(stored: StoredObject) -> float:
    """Return the Unix time of the record's last write, or 0 if it is unreadable."""
    try:
        return float(stored.value['written_at'])
    except (KeyError, TypeError, ValueError):
        return 0.0


def _encode_record(
    fingerprint: str,
    attempt: Attempt,
    state: ExecutionState,
    response: StoredResponse | None,
) -> dict[str, Any]:
    return {
        'fingerprint': fingerprint,
        'ordinal': attempt.ordinal,
        'incarnation': attempt.incarnation,
        'attempt_number': attempt.number,
        'state': state.value,
        'written_at': int(time.time()),
        'answer': None if response is None else _encode_response(response),
    }


def _encode_response(response: StoredResponse) -> dict[str, Any]:
    return {
        'status': response.status,
        'headers': [list(pair) for pair in response.headers],
        'body': base64.b64encode(response.body).decode(),
    }


def _decode_response(document: dict[str, Any]) -> StoredResponse:
    return StoredResponse(
        status=document['status'],
        headers=tuple((name, value) for name, value in document['headers']),
        body=base64.b64decode(document['body']),
    )
