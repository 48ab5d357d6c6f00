"""Submits configuration changes.

Each change is validated, written to the change log once, and applied locally.
"""

import json
from dataclasses import dataclass

from loguru import logger
from returns.result import Failure, Success

from daisylift.decisions.configuration import (
    ChangeProblem,
    ChangeRefusedError,
    apply_body,
)
from daisylift.models import Change, fingerprint
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import MAX_VALUE_BYTES, Conflict, Uncertain
from daisylift_node.version.configuration import ConfigurationFollower


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the log under the version, from this call or an earlier one."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflicted:
    """Another change took the version first; nothing was changed."""

    current_version: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The change is not valid for the configuration; nothing was changed."""

    problem: ChangeProblem
    violations: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NotConfirmed:
    """The platform did not confirm the change.

    The outcome is unknown if ``may_have_happened``; otherwise nothing was changed.
    """

    reason: str
    may_have_happened: bool


ChangeOutcome = Accepted | Conflicted | Refused | NotConfirmed


class ChangeWriter:
    """Writes changes to the log, for operators and for the node itself."""

    def __init__(self, follower: ConfigurationFollower, metrics: Metrics) -> None:
        self._follower = follower
        self._metrics = metrics

    async def submit(self, change: Change) -> ChangeOutcome:
        """Write and apply the change under its version.

        Return Accepted, or why the change did not take effect.
        """
        outcome = await self._submit(change)
        label = type(outcome).__name__.lower()
        self._metrics.changes.labels(kind=change.body.kind, outcome=label).inc()
        if not isinstance(outcome, Accepted):
            logger.info('change {} was not accepted: {}', change.operation_id, outcome)
        return outcome

    async def _submit(self, change: Change) -> ChangeOutcome:
        if (existing := self._existing_outcome(change)) is not None:
            return existing
        if not await self._follower.catch_up():
            return NotConfirmed('the change log can not be read', False)
        if (existing := self._existing_outcome(change)) is not None:
            return existing
        current = self._follower.current
        if change.version != current.version + 1:
            return Conflicted(current.version)
        try:
            apply_body(current, change.body)
        except ChangeRefusedError as error:
            return Refused(error.problem, (str(error),))
        size = len(json.dumps(change.model_dump(mode='json')))
        if size > MAX_VALUE_BYTES:
            detail = f'the change has {size} bytes, more than {MAX_VALUE_BYTES}'
            return Refused(ChangeProblem.TOO_MANY, (detail,))
        return await self._append(change)

    def _existing_outcome(self, change: Change) -> ChangeOutcome | None:
        """Return the outcome of a repeated operation, or None if it is new.

        An operation id that was used for a different change is refused.
        """
        existing = self._follower.current.operations.find(change.operation_id)
        if existing is None:
            return None
        if existing.fingerprint == fingerprint(change.body):
            return Accepted(existing.version)
        return Refused(
            ChangeProblem.OPERATION_REUSED,
            (f'operation {change.operation_id!r} asked for something else before',),
        )

    async def _append(self, change: Change) -> ChangeOutcome:
        result = await self._follower.log.append(change)
        match result:
            case Success():
                self._follower.apply([change])
                return Accepted(change.version)
            case Failure(Conflict()):
                await self._follower.catch_up()
                existing = self._existing_outcome(change)
                current = max(self._follower.current.version, change.version)
                return existing or Conflicted(current)
            case Failure(Uncertain(reason=reason)):
                return NotConfirmed(reason, True)
        return NotConfirmed(str(result.failure()), False)
