"""Admits the requests of tenants with usage caps, and moves tokens to where they come.

Load pattern: the whole demand of a tenant is at one VM or one region, moves within
seconds, or is several times the cap at all VMs. A VM that has no token asks owners of
the cap for some; an owner grants what exceeds its own need. A grant is usable for
GRANT_SECONDS from the question by the clock of the VM that asked, and counts against
the owner's depth for longer than that, so tokens are never doubled. Owners without
tokens are not asked again for a while, so that a tenant beyond its cap costs few
messages and is refused at once.
"""

import math
import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from daisylift.decisions.usage_caps import (
    OWNER_HOLD_SECONDS,
    OwnerRing,
    UsageBounds,
    UsageBucket,
    UsageCap,
)

GRANT_SECONDS = 0.2  # lifetime of a grant, from the question
GRANT_MARGIN_SECONDS = 0.02  # clocks run at slightly different rates
REPLY_SECONDS = 0.12  # a question without a reply by then is given up
RESERVE_SECONDS = 0.25  # of its own demand that an owner keeps
PREFETCH_SECONDS = 0.15  # of its demand that a VM asks for beyond what waits
OWN_TOKEN_SECONDS = 0.06  # a request waits so long for a token of this VM
QUESTIONS_PER_SECOND = 4.0  # about a tenant, besides one for each granted token
MAX_QUESTIONS = 64.0  # saved up; asks all owners twice
MIN_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 1.0  # demand that moves away frees tokens within this time
SHORT_SECONDS = 2.0  # after its pause, an owner that had too few is asked last
SILENT_PAUSE_SECONDS = 1.0  # for an owner that did not reply
MAX_LOST_SHARE = 0.125  # of the VMs; if more are lost, no VM gains a part of a cap
ISOLATED_RATE_SHARE = 0.8  # of its part; for a VM that sees fewer than half alive
STARTING_RETRY_SECONDS = 0.3  # until a VM that starts knows the registered VMs
MAX_RINGS = 16  # kept while parts may not move
DEMAND_SECONDS = 0.4  # time constant of the average demand
IDLE_SECONDS = 30.0  # then the state of a tenant is dropped
MIN_RETRY_AFTER_SECONDS = 0.05  # coming back in the same moment gains nothing
MAX_RETRY_AFTER_SECONDS = 5.0
MAX_COUNT = 0xFFFF  # tokens in one message
ASK_ID_BITS = 32


@dataclass(frozen=True, slots=True)
class Question:
    """Asks an owner for ``wanted`` tokens of a tenant."""

    owner: str
    tenant: str
    ask_id: int
    wanted: int


@dataclass(frozen=True, slots=True)
class Reply:
    """What an owner granted, and after how many seconds it may have more."""

    ask_id: int
    granted: int
    pause_seconds: float


@dataclass(frozen=True, slots=True)
class UsageTicket:
    """A token that a request has taken; ``expires_at`` is set if it was granted."""

    tenant: str
    taken_at: float
    expires_at: float | None = None


@dataclass(slots=True)
class _Average:
    """An average number of events a second, weighted by how recent they are."""

    value: float = 0.0
    updated_at: float = 0.0

    def count(self, now: float) -> None:
        self.value = self.at(now) + 1.0 / DEMAND_SECONDS
        self.updated_at = now

    def at(self, now: float) -> float:
        elapsed = max(0.0, now - self.updated_at)
        return self.value * math.exp(-elapsed / DEMAND_SECONDS)


@dataclass(slots=True)
class _Asked:
    state: '_TenantState'
    owner: str
    wanted: int
    asked_at: float

    def close(self) -> '_TenantState':
        self.state.open_wanted -= self.wanted
        self.state.asked_owners.discard(self.owner)
        return self.state


@dataclass(slots=True)
class _TenantState:
    """What this VM holds of one tenant's cap."""

    name: str
    rate: tuple[float, float]
    cap: UsageCap
    bucket: UsageBucket
    created_at: float
    owners: tuple[str, ...] = ()
    fraction: float = 0.0
    target: float = 0.0
    target_at: float = -math.inf
    held_until: float = 0.0
    generation: int = -1
    used_at: float = 0.0
    demand: _Average = field(default_factory=_Average)
    taken: _Average = field(default_factory=_Average)
    promised_at: float = 0.0
    granted_away: int = 0
    borrowed: int = 0
    pocket: deque[list[float]] = field(default_factory=deque)
    open_wanted: int = 0
    questions_left: float = MAX_QUESTIONS
    questions_at: float = 0.0
    asked_owners: set[str] = field(default_factory=set)
    paused_until: dict[str, float] = field(default_factory=dict)

    def may_ask(self, now: float) -> bool:
        """Return whether another question is worth its datagram, and count it."""
        elapsed = max(0.0, now - self.questions_at)
        left = self.questions_left + elapsed * QUESTIONS_PER_SECOND
        self.questions_left, self.questions_at = min(MAX_QUESTIONS, left), now
        if self.questions_left < 1.0:
            return False
        self.questions_left -= 1.0
        return True

    def pocketed(self, now: float) -> int:
        """Return how many granted tokens are usable."""
        while self.pocket and (self.pocket[0][0] <= now or self.pocket[0][1] < 1):
            self.pocket.popleft()
        return int(sum(count for _, count in self.pocket))


class UsageGrants:
    """The tokens of this VM, ``local_name``, in the caps of all tenants.

    All times are seconds of one clock that also advances while the VM is suspended.
    """

    def __init__(
        self, local_name: str, bounds: UsageBounds, now: float, rng: random.Random
    ) -> None:
        self._local_name = local_name
        self._bounds = bounds
        self._rng = rng
        self._rings: deque[tuple[float, OwnerRing]] = deque()
        self._generation = 0
        self._changed_at = now
        self._region_by_name: Mapping[str, str] = {}
        self._lost, self._alive = 0, 1
        self._states: dict[str, _TenantState] = {}
        self._asked: dict[int, _Asked] = {}
        self._next_id = rng.getrandbits(ASK_ID_BITS)

    @property
    def knows_members(self) -> bool:
        """Return whether the registered VMs are known."""
        return bool(self._rings)

    def set_members(self, region_by_name: Mapping[str, str], now: float) -> None:
        """Set the registered VMs and their regions.

        A VM that is in the first ones has been started again: the others count it.
        """
        if self._rings and region_by_name == self._region_by_name:
            return
        self._region_by_name = region_by_name
        self._rings.append((now, OwnerRing(region_by_name)))
        if len(self._rings) > MAX_RINGS:
            del self._rings[1]
        self._generation += 1
        self._changed_at = now

    def set_lost(self, lost: int, alive: int) -> None:
        """Set how many registered VMs seem to be lost, and how many alive.

        The others may be cut off and go on spending, without news of the members. So a
        VM that sees few alive spends less, and parts move only if few are lost.
        """
        if (lost, alive) == (self._lost, self._alive):
            return
        self._lost, self._alive = lost, alive
        self._generation += 1

    def take(
        self, tenant: str, per_second: float, burst: float, now: float
    ) -> UsageTicket | None:
        """Take a token for a request of the tenant, if this VM has one."""
        state = self._state(tenant, per_second, burst, now)
        state.demand.count(now)
        state.used_at = now
        return self.take_waiting(tenant, now)

    def take_waiting(self, tenant: str, now: float) -> UsageTicket | None:
        """Take a token for a request that was counted before."""
        state = self._states.get(tenant)
        if state is None:
            return None
        expires_at = None
        if state.pocketed(now):
            state.pocket[0][1] -= 1
            expires_at = state.pocket[0][0]
        elif not state.bucket.take(now):
            return None
        state.taken.count(now)
        return UsageTicket(tenant, now, expires_at)

    def give_back(self, ticket: UsageTicket, now: float) -> None:
        """Return the token of a request that has not run and never will."""
        state = self._states.get(ticket.tenant)
        if state is None:
            return
        if ticket.expires_at is None:
            state.bucket.give_back(ticket.taken_at, now)
        elif now < ticket.expires_at:
            state.pocket.appendleft([ticket.expires_at, 1])

    def questions(self, tenant: str, waiting: int, now: float) -> list[Question]:
        """Return the questions to send now for ``waiting`` requests without tokens."""
        state = self._states.get(tenant)
        if state is None or not waiting:
            return []
        self._expire_asked(now)
        missing_rate = state.demand.at(now) - state.bucket.per_second
        prefetch = max(0, int(missing_rate * PREFETCH_SECONDS))
        needed = waiting + prefetch - state.open_wanted - state.pocketed(now)
        questions: list[Question] = []
        for owner in self._askable(state, now):
            if needed <= 0 or not state.may_ask(now):
                break
            whole = max(1, int(state.cap.stock / max(1, len(state.owners))))
            wanted = min(needed, whole, MAX_COUNT)
            questions.append(Question(owner, tenant, self._next_id, wanted))
            self._asked[self._next_id] = _Asked(state, owner, wanted, now)
            self._next_id = (self._next_id + 1) % 2**ASK_ID_BITS
            state.open_wanted += wanted
            state.asked_owners.add(owner)
            needed -= wanted
        return questions

    def may_get_tokens(self, tenant: str, waiting: int, now: float) -> bool:
        """Return whether a reply is awaited, or own tokens for all are there soon."""
        self._expire_asked(now)
        state = self._states.get(tenant)
        if state is None:
            return False
        soon = state.bucket.seconds_until(float(waiting), now) <= OWN_TOKEN_SECONDS
        return soon or state.open_wanted > 0

    def answer(
        self,
        tenant: str,
        per_second: float,
        burst: float,
        ask_id: int,
        wanted: int,
        now: float,
    ) -> Reply:
        """Grant tokens to another VM that asked."""
        state = self._state(tenant, per_second, burst, now)
        state.used_at = now
        demand = state.demand.at(now)
        reserve = min(demand, state.bucket.per_second) * RESERVE_SECONDS
        expires_at = now + GRANT_SECONDS + GRANT_MARGIN_SECONDS
        granted = state.bucket.grant(wanted, reserve, expires_at, now)
        state.granted_away += granted
        if granted == wanted:
            return Reply(ask_id, granted, 0.0)
        pause = MAX_PAUSE_SECONDS
        if demand < state.bucket.per_second:
            short = reserve + 1.0 - state.bucket.level
            pause = short / state.bucket.per_second
            pause = min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, pause))
        return Reply(ask_id, granted, pause)

    def receive(self, reply: Reply, now: float) -> str | None:
        """Apply a reply; return the tenant if the question is still open."""
        self._expire_asked(now)
        asked = self._asked.pop(reply.ask_id, None)
        if asked is None:
            return None
        state = asked.close()
        granted = min(reply.granted, asked.wanted)
        if granted:
            state.pocket.append([asked.asked_at + GRANT_SECONDS, granted])
            state.borrowed += granted
            left = state.questions_left + granted
            state.questions_left = min(MAX_QUESTIONS, left)
        if reply.pause_seconds > 0.0:
            pause = min(reply.pause_seconds, MAX_PAUSE_SECONDS)
            spread = self._rng.uniform(1.0, 1.3)
            state.paused_until[asked.owner] = now + pause * spread
        else:
            state.paused_until.pop(asked.owner, None)
        return state.name

    def retry_after(self, tenant: str, now: float) -> float:
        """Return the seconds until a token should be there for a refused caller.

        Each refused caller is told a later time, by the rate of the tokens here.
        """
        state = self._states.get(tenant)
        if not self._rings:
            return STARTING_RETRY_SECONDS
        if state is None:
            return MAX_RETRY_AFTER_SECONDS
        own = state.bucket.seconds_until(1.0, now)
        others = [each - now for each in state.paused_until.values() if each > now]
        first = min([own, *others, MAX_RETRY_AFTER_SECONDS])
        per_second = max(state.taken.at(now), 1.0 / MAX_RETRY_AFTER_SECONDS)
        earliest = max(now + first, state.promised_at + 1.0 / per_second)
        state.promised_at = min(earliest, now + MAX_RETRY_AFTER_SECONDS)
        return max(MIN_RETRY_AFTER_SECONDS, state.promised_at - now)

    def describe(self, tenant: str, now: float) -> dict[str, float]:
        """Return what a log line tells of the cap and of this VM's part."""
        state = self._states.get(tenant)
        if state is None:
            return {}
        state.bucket.refill(now)
        return {
            'cap_per_second': state.rate[0],
            'cap_burst': state.rate[1],
            'own_per_second': round(state.bucket.per_second, 3),
            'own_tokens': round(state.bucket.level, 3),
            'granted_away': round(state.bucket.granted, 3),
            'owners': len(state.owners),
        }

    def totals(self) -> Mapping[str, tuple[int, int]]:
        """Return the tokens granted away and borrowed so far, by active tenant."""
        return {
            name: (state.granted_away, state.borrowed)
            for name, state in self._states.items()
        }

    def discard_idle(self, now: float) -> None:
        """Drop the state of tenants without requests, and questions without reply."""
        self._expire_asked(now)
        for name, state in list(self._states.items()):
            if now - max(state.used_at, state.created_at) > IDLE_SECONDS:
                del self._states[name]

    def _state(
        self, tenant: str, per_second: float, burst: float, now: float
    ) -> _TenantState:
        state = self._states.get(tenant)
        rate = (per_second, burst)
        if state is None:
            cap = UsageCap.of(per_second, burst, self._bounds)
            bucket = UsageBucket(0.0, 0.0, now)
            state = _TenantState(tenant, rate, cap, bucket, now)
            self._states[tenant] = state
            self._apply(state, now)
            # Only the time since the last change is sure to have filled the bucket.
            bucket.updated_at = max(self._changed_at, now - self._bounds.window_seconds)
            bucket.refill(now)
        elif state.rate != rate:
            state.rate = rate
            state.cap = UsageCap.of(per_second, burst, self._bounds)
            self._apply(state, now)
        elif state.generation != self._generation or 0.0 < state.held_until <= now:
            self._apply(state, now)
        return state

    def _apply(self, state: _TenantState, now: float) -> None:
        """Compute owners and part anew after members or cap have changed."""
        if not self._rings:
            return  # after a start; a part of 0 would look like one that is moving
        few_lost = self._lost <= MAX_LOST_SHARE * (self._lost + self._alive)
        settled_at = now - OWNER_HOLD_SECONDS
        while len(self._rings) > 1 and self._rings[1][0] <= settled_at and few_lost:
            self._rings.popleft()
        parts = []
        for _, ring in self._rings:
            state.owners = ring.owners(state.name, state.cap.stock)
            is_owner = self._local_name in state.owners
            parts.append(1.0 / len(state.owners) if is_owner else 0.0)
        target = parts[-1] if parts else 0.0
        if state.generation >= 0 and target != state.target:
            state.target_at = now
        state.target, state.generation = target, self._generation
        changed_at = state.target_at
        if len(self._rings) > 1:
            changed_at = max(changed_at, self._rings[-1][0])
        held_until = changed_at + OWNER_HOLD_SECONDS
        if len(self._rings) > 1 and not few_lost:
            held_until = max(held_until, now + OWNER_HOLD_SECONDS)
        if now < held_until:
            previous = [state.fraction] if state.target_at > -math.inf else []
            state.fraction = min([*parts, *previous])
            state.held_until = held_until
        else:
            state.fraction = target
            state.held_until = 0.0
        per_second = state.rate[0] * state.fraction * self._rate_factor(state.cap)
        state.bucket.configure(per_second, state.cap.stock * state.fraction, now)
        state.paused_until = {
            owner: until
            for owner, until in state.paused_until.items()
            if owner in state.owners and until > now
        }

    def _rate_factor(self, cap: UsageCap) -> float:
        if self._lost > self._alive:
            return ISOLATED_RATE_SHARE
        return 1.0 + min(self._lost / max(1, self._alive), cap.spare_rate_share)

    def _askable(self, state: _TenantState, now: float) -> Sequence[str]:
        """Return the owners that may have tokens, the best first.

        Owners that lately had too few come last, those of the own region first.
        """
        region = self._region_by_name.get(self._local_name)
        owners = [
            owner
            for owner in state.owners
            if owner != self._local_name
            and owner not in state.asked_owners
            and state.paused_until.get(owner, 0.0) <= now
        ]
        self._rng.shuffle(owners)
        lately = now - SHORT_SECONDS

        def is_worse(owner: str) -> tuple[bool, bool]:
            was_short = state.paused_until.get(owner, lately) > lately
            return was_short, self._region_by_name.get(owner) != region

        return sorted(owners, key=is_worse)

    def _expire_asked(self, now: float) -> None:
        while self._asked:
            ask_id, asked = next(iter(self._asked.items()))
            if now - asked.asked_at < REPLY_SECONDS:
                return
            del self._asked[ask_id]
            asked.close().paused_until[asked.owner] = now + SILENT_PAUSE_SECONDS
