"""A fleet that divides usage caps, in virtual time and without a network."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from daisylift.decisions.usage_caps import UsageBounds
from daisylift.decisions.usage_grants import Question, Reply, UsageGrants
from daisylift.decisions.usage_queue import UsageQueue

REGIONS = ('south', 'central', 'north')
SAME_REGION_SECONDS = 0.0015  # one way, with the time in two event loops
OTHER_REGION_SECONDS = 0.022
EXPIRE_SECONDS = 0.02
BOUNDS = UsageBounds()


def most_in_window(times: Sequence[float], seconds: float) -> int:
    """Return the largest number of times in any window."""
    window: deque[float] = deque()
    most = 0
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - seconds:
            window.popleft()
        most = max(most, len(window))
    return most


@dataclass(slots=True)
class ModelVm:
    """One entry VM; a frozen one handles its messages when it wakes."""

    name: str
    region: str
    grants: UsageGrants
    queue: UsageQueue
    frozen_until: float = 0.0


@dataclass(slots=True)
class UsageFleet:
    """Entry VMs and the messages between them."""

    size: int
    rng: random.Random
    caps: dict[str, tuple[float, float]]
    lost_share: float = 0.0
    doubled_share: float = 0.0
    now: float = 0.0
    vms: dict[str, ModelVm] = field(default_factory=dict)
    registered: dict[str, str] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    admitted: dict[str, list[float]] = field(default_factory=dict)
    asked: int = 0
    refused: int = 0
    messages: int = 0
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Register and start all VMs."""
        for number in range(self.size):
            self.registered[f'entry-{number}'] = REGIONS[number % len(REGIONS)]
        for name in self.registered:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a VM, or start it again with nothing in memory."""
        grants = UsageGrants(name, BOUNDS, self.now, random.Random(self.rng.random()))
        queue = UsageQueue(grants, lambda questions: self._send(name, questions))
        vm = ModelVm(name, self.registered[name], grants, queue)
        self.vms[name] = vm
        grants.set_members(dict(self.registered), self.now)

    def announce(self, delay_seconds: float = 0.3) -> None:
        """Let all VMs that are not cut off know the registered ones, after a while."""
        for vm in list(self.vms.values()):
            if vm.name in self.cut:
                continue
            delay = self.rng.uniform(0.0, delay_seconds)
            self._at(
                self.now + delay,
                lambda vm=vm: vm.grants.set_members(dict(self.registered), self.now),
            )

    def request(self, name: str, tenant: str) -> None:
        """Let a caller's request arrive at a VM."""
        vm = self.vms.get(name)
        if vm is None or vm.frozen_until > self.now:
            return
        self.asked += 1
        if ticket := vm.grants.take(tenant, *self.caps[tenant], self.now):
            self._decided(tenant, ticket)
            return
        decide = lambda ticket: self._decided(tenant, ticket)  # noqa: E731
        if not vm.queue.request(tenant, self.now, decide):
            self.refused += 1

    def run(self, until: float) -> None:
        """Deliver messages until then."""
        while self._events and self._events[0][0] <= until:
            at, _, call = heapq.heappop(self._events)
            self.now = max(self.now, at)
            call()
        self.now = until
        for vm in self.vms.values():
            if vm.frozen_until <= self.now:
                vm.queue.expire(self.now)

    def _decided(self, tenant: str, ticket: object) -> None:
        if ticket is None:
            self.refused += 1
        else:
            self.admitted.setdefault(tenant, []).append(self.now)

    def _at(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), call))

    def _send(self, source: str, questions: list[Question]) -> None:
        for question in questions:
            self._deliver(
                source,
                question.owner,
                lambda question=question: self._answer(source, question),
            )

    def _answer(self, source: str, question: Question) -> None:
        grants = self.vms[question.owner].grants
        rate = self.caps[question.tenant]
        reply = grants.answer(
            question.tenant, *rate, question.ask_id, question.wanted, self.now
        )
        self._deliver(question.owner, source, lambda: self._receive(source, reply))

    def _receive(self, name: str, reply: Reply) -> None:
        self.vms[name].queue.receive([reply], self.now)

    def _deliver(self, source: str, target: str, call: Callable[[], None]) -> None:
        self.messages += 1
        copies = 1 + (self.rng.random() < self.doubled_share)
        if self.rng.random() < self.lost_share or target not in self.vms:
            return
        if (source in self.cut) != (target in self.cut):
            return
        same = self.registered.get(source) == self.registered.get(target)
        delay = SAME_REGION_SECONDS if same else OTHER_REGION_SECONDS
        for _ in range(copies):
            late = self.rng.uniform(1.0, 1.5) * delay
            self._at(self.now + late, lambda: self._handle(target, call))

    def _handle(self, target: str, call: Callable[[], None]) -> None:
        vm = self.vms.get(target)
        if vm is None:
            return
        if vm.frozen_until > self.now:
            self._at(vm.frozen_until, lambda: self._handle(target, call))
            return
        call()
