"""Phases of a planned stop of an entry VM, and how long a request may wait in each.

Answers the load of a rolling restart: callers send until the process is gone, on new
connections and on open ones, with bodies that arrive slowly or never, and with requests
that wait for a slot. Each request that was read is served or refused as not run before
the process ends.
"""

import enum
import math
from dataclasses import dataclass

ACCEPT_SHARE = 0.5  # of the grace period; callers know other VMs by then
MAX_LAST_PASS_SECONDS = 3.0  # later requests must end before the process
EXIT_SHARE = 0.1  # end of the grace period, reserved for the process exit
MAX_EXIT_SECONDS = 0.4
ANSWER_SHARE = 0.05  # before the exit, reserved to send the last answers
MAX_ANSWER_SECONDS = 0.25


class EntryStopPhase(enum.Enum):
    """Phase of the planned stop of an entry VM.

    ACCEPTING: callers are sent elsewhere, new connections and requests are taken.
    FINISHING: no new connection is taken, open ones close after their requests.
    REFUSING: what has not been read completely is refused.
    DONE: what is still open is cut off.
    """

    ACCEPTING = 'accepting'
    FINISHING = 'finishing'
    REFUSING = 'refusing'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class EntryStopPlan:
    """A planned stop that began at a time, in seconds, and has a grace period."""

    started_at: float
    grace_seconds: float

    @property
    def accepts_until(self) -> float:
        """Return when the VM stops to take new connections."""
        return self.started_at + ACCEPT_SHARE * self.grace_seconds

    @property
    def last_pass_at(self) -> float:
        """Return when requests that may outlast the process are no longer sent."""
        return min(self.accepts_until, self.started_at + MAX_LAST_PASS_SECONDS)

    @property
    def answers_until(self) -> float:
        """Return when the last requests must have their answer."""
        reserved = min(MAX_ANSWER_SECONDS, ANSWER_SHARE * self.grace_seconds)
        return self.ends_at - reserved

    @property
    def ends_at(self) -> float:
        """Return when open connections are cut off and the process exits."""
        reserved = min(MAX_EXIT_SECONDS, EXIT_SHARE * self.grace_seconds)
        return self.started_at + self.grace_seconds - reserved

    def phase(self, now: float, open_connections: int) -> EntryStopPhase:
        """Return the phase at a time, given the number of open connections."""
        if now < self.accepts_until:
            return EntryStopPhase.ACCEPTING
        if not open_connections or now >= self.ends_at:
            return EntryStopPhase.DONE
        if now < self.answers_until:
            return EntryStopPhase.FINISHING
        return EntryStopPhase.REFUSING

    def may_outlast(self, deadline_at: float) -> bool:
        """Return whether a request with this deadline may outlast the process."""
        return deadline_at > self.answers_until

    def can_pass_on(self, now: float, deadline_at: float) -> bool:
        """Return whether a request may be sent to a server at a time."""
        return now < self.last_pass_at or not self.may_outlast(deadline_at)

    def waits_until(self, deadline_at: float) -> float:
        """Return until when a request may wait for its body or for a slot.

        One that may outlast the process is not sent after the last pass.
        """
        return self.last_pass_at if self.may_outlast(deadline_at) else math.inf
