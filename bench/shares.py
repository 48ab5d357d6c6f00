"""Compares static slot shares, lending and forwarding under load by a queueing model.

The decisions are made by daisylift's code; requests, messages between peers and faults
are events of a model in virtual time. Run it with
``python -m bench.shares [--seconds S]``.
"""

import argparse
import heapq
import json
import random
from collections import deque
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

from bench.apportion import print_costs
from daisylift.decisions.configuration import Configuration, ServerKey, apply_change
from daisylift.decisions.leases import LEASE_TERM_SECONDS, Borrower, Lender
from daisylift.decisions.lending import (
    MAX_SLOTS_PER_REQUEST,
    Demand,
    IdleRegistry,
    peers_to_notify,
    slots_to_borrow,
    slots_to_return,
    slots_to_spare,
)
from daisylift.decisions.permit import Permit
from daisylift.decisions.permit_ledger import PermitLedger
from daisylift.models import Change, Policy, PutPolicy

EXAMPLE = Path(__file__).resolve().parents[1] / 'examples' / 'kanga' / 'policy.json'
SERVICE = 'catalogue'
WORK_SECONDS = 0.020
MAX_WAIT_SECONDS = 0.2
PEER_LATENCY_SECONDS = 0.020
CYCLE_SECONDS = 0.25
CYCLES_PER_REPORT = 4
WARM_UP_SECONDS = 2.0
MODES = ('static', 'lending', 'forwarding', 'both')


@dataclass(slots=True)
class Request:
    """One request of the model, with its arrival time."""

    arrived_at: float
    is_forwarded: bool = False


@dataclass(slots=True)
class Node:
    """One node: daisylift's decision objects and a queue of requests."""

    ordinal: int
    ledger: PermitLedger
    lender: Lender
    borrower: Borrower
    demand: Demand = field(default_factory=Demand)
    idle: IdleRegistry = field(default_factory=IdleRegistry)
    queue: deque[Request] = field(default_factory=deque)
    is_dead: bool = False
    is_frozen: bool = False
    is_disconnected: bool = False


@dataclass(slots=True)
class Result:
    """The results for the requests that arrived after the warm-up."""

    latencies: list[float] = field(default_factory=list)
    refused: int = 0
    overruns: int = 0
    messages: int = 0

    def row(self) -> str:
        """Return served share, p99, overruns and messages between nodes, formatted."""
        total = len(self.latencies) + self.refused
        ordered = sorted(self.latencies)
        p99 = ordered[int(len(ordered) * 0.99)] * 1000 if ordered else 0.0
        served = 100 * len(ordered) / max(1, total)
        return f'{served:6.2f}% {p99:4.0f} ms {self.overruns:2d} {self.messages:6d}'


class Model:
    """Simulates the fleet in virtual time."""

    def __init__(self, mode: str, load: float, has_hot_node: bool, fault: str) -> None:
        self.mode = mode
        self.random = random.Random(7)
        self.now = 0.0
        self.result = Result()
        self._events: list[tuple[float, int, object, tuple]] = []
        self._sequence = count()
        self._running: set[tuple[ServerKey, int]] = set()
        configuration = kanga_configuration()
        (service,) = configuration.policy.services
        self.servers = [ServerKey(SERVICE, server.name) for server in service.servers]
        slots = sum(server.slots for server in service.servers)
        self.nodes = [self._node(n, configuration) for n in range(7)]
        weights = [4.0 if has_hot_node and n == 0 else 1.0 for n in range(7)]
        rate = load * slots / WORK_SECONDS
        self._rates = [rate * weight / sum(weights) for weight in weights]
        self._apply_fault(fault)

    def run(self, seconds: float) -> Result:
        """Run the model for so many virtual seconds and return the result."""
        for node in self.nodes:
            self._schedule(0.0, self._arrive, node)
            self._schedule(
                self.random.random() * CYCLE_SECONDS, self._run_cycle, node, 0
            )
        while self._events and self._events[0][0] < seconds:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        return self.result

    def _node(self, ordinal: int, configuration: Configuration) -> Node:
        ledger = PermitLedger()
        ledger.set_configuration(configuration, 0.0)
        ledger.set_ordinal(ordinal, 0)
        lender = Lender(ledger, f'{ordinal:016x}')
        return Node(ordinal, ledger, lender, Borrower(ledger))

    def _apply_fault(self, fault: str) -> None:
        node = self.nodes[3]
        node.is_dead = fault == 'dead'
        node.is_frozen = fault == 'frozen'
        node.is_disconnected = fault == 'cut off'
        if fault in ('dead', 'frozen'):
            moved = self._rates[3] / 6
            self._rates = [rate + moved for rate in self._rates]
            self._rates[3] = 0.0

    def _schedule(self, seconds: float, callback, *arguments) -> None:
        entry = (self.now + seconds, next(self._sequence), callback, arguments)
        heapq.heappush(self._events, entry)

    def _arrive(self, node: Node) -> None:
        rate = self._rates[node.ordinal]
        if rate <= 0.0:
            return
        self._schedule(self.random.expovariate(rate), self._arrive, node)
        self._admit(node, Request(self.now))

    def _admit(self, node: Node, request: Request) -> None:
        if not node.queue and self._start(node, request):
            return
        peer = None
        if self.mode in ('forwarding', 'both') and not request.is_forwarded:
            peer = self._idle_peer(node)
        if peer is not None:
            request.is_forwarded = True
            self._schedule(PEER_LATENCY_SECONDS, self._admit, peer, request)
            return
        node.queue.append(request)
        remaining_seconds = max(0.0, request.arrived_at + MAX_WAIT_SECONDS - self.now)
        self._schedule(remaining_seconds, self._time_out, node, request)

    def _idle_peer(self, node: Node) -> Node | None:
        if node.is_disconnected:
            return None
        distances = dict.fromkeys(range(7), 0)
        lenders = node.idle.choose_lenders(SERVICE, 1, distances, self.now)
        return self.nodes[lenders[0][0]] if lenders else None

    def _time_out(self, node: Node, request: Request) -> None:
        if request in node.queue:
            node.queue.remove(request)
            if request.arrived_at > WARM_UP_SECONDS:
                self.result.refused += 1

    def _start(self, node: Node, request: Request) -> bool:
        start = self.random.randrange(len(self.servers))
        for server in self.servers[start:] + self.servers[:start]:
            permit = node.ledger.take(server, self.now)
            if permit is not None and permit.may_start(self.now):
                self._dispatch(node, request, permit)
                return True
        return False

    def _dispatch(self, node: Node, request: Request, permit: Permit) -> None:
        slot = permit.server, permit.slot
        self.result.overruns += slot in self._running
        self._running.add(slot)
        work = self.random.expovariate(1 / WORK_SECONDS)
        self._schedule(work, self._finish, node, request, permit)

    def _finish(self, node: Node, request: Request, permit: Permit) -> None:
        self._running.discard((permit.server, permit.slot))
        node.ledger.release(permit, self.now)
        if request.arrived_at > WARM_UP_SECONDS:
            return_seconds = PEER_LATENCY_SECONDS if request.is_forwarded else 0.0
            self.result.latencies.append(self.now + return_seconds - request.arrived_at)
        self._serve(node)

    def _serve(self, node: Node) -> None:
        while node.queue and self._start(node, node.queue[0]):
            node.queue.popleft()

    def _run_cycle(self, node: Node, cycle: int) -> None:
        self._schedule(CYCLE_SECONDS, self._run_cycle, node, cycle + 1)
        if node.is_dead or node.is_frozen:
            return
        node.lender.expire(self.now)
        used, held = node.ledger.usage(SERVICE, self.now)
        node.demand.observe(used + len(node.queue), self.now)
        if node.is_disconnected or self.mode == 'static':
            return
        if cycle % CYCLES_PER_REPORT == 0 or self.mode == 'forwarding':
            self._report(node, cycle)
        if self.mode in ('lending', 'both'):
            self._return_surplus(node, held)
            self._borrow(node)

    def _spare(self, node: Node) -> int:
        used, held = node.ledger.usage(SERVICE, self.now)
        idle_slots = sum(
            m.bit_count() for _, m in node.ledger.idle_masks(SERVICE, self.now)
        )
        return min(idle_slots, slots_to_spare(node.demand, used, held - used))

    def _report(self, node: Node, cycle: int) -> None:
        spare = self._spare(node)
        for ordinal in peers_to_notify(range(7), node.ordinal, cycle, 3):
            self.result.messages += 1
            self.nodes[ordinal].idle.record(node.ordinal, SERVICE, spare, self.now)

    def _borrow(self, node: Node) -> None:
        _, held = node.ledger.usage(SERVICE, self.now)
        wanted = slots_to_borrow(node.demand, held, len(node.queue))
        distances = dict.fromkeys(range(7), 0)
        for lender, slots in node.idle.choose_lenders(
            SERVICE, wanted, distances, self.now
        ):
            lease_request = node.borrower.request(lender, SERVICE, slots, self.now)
            self._schedule(
                PEER_LATENCY_SECONDS,
                self._lend,
                node,
                self.nodes[lender],
                lease_request,
            )

    def _lend(self, node: Node, lender: Node, lease_request) -> None:
        self.result.messages += 2
        if lender.is_dead or lender.is_frozen or lender.is_disconnected:
            return
        spare = min(MAX_SLOTS_PER_REQUEST, self._spare(lender))
        grant = lender.lender.grant(lease_request, self.now, spare)
        node.idle.record(lender.ordinal, SERVICE, self._spare(lender), self.now)
        if grant is not None:
            self._schedule(PEER_LATENCY_SECONDS, self._accept, node, grant)

    def _accept(self, node: Node, grant) -> None:
        node.borrower.accept(grant, self.now)
        self._serve(node)

    def _return_surplus(self, node: Node, held: int) -> None:
        borrowed = list(node.ledger.borrowed(SERVICE))
        free = sum(slots.free(self.now).bit_count() for slots in borrowed)
        surplus = slots_to_return(node.demand, held, free)
        for lease in dict.fromkeys(slots.lease for slots in borrowed):
            valid_until = min(s.valid_until for s in borrowed if s.lease == lease)
            lender = self.nodes[lease.lender]
            if valid_until <= self.now or surplus > 0:
                max_slots = None if valid_until <= self.now else surplus
                returned = node.borrower.give_back(lease, max_slots)
                surplus -= sum(m.bit_count() for m in returned.masks.values())
                self._schedule(
                    PEER_LATENCY_SECONDS, self._accept_return, lender, returned
                )
            elif valid_until < self.now + LEASE_TERM_SECONDS / 2:
                lease_request = node.borrower.request_renewal(lease, self.now)
                if lease_request is not None:
                    self._schedule(
                        PEER_LATENCY_SECONDS, self._lend, node, lender, lease_request
                    )

    def _accept_return(self, lender: Node, returned) -> None:
        self.result.messages += 1
        if lender.lender.accept_return(returned):
            self._serve(lender)


def kanga_configuration() -> Configuration:
    """Return Kanga's example policy, with only the catalogue, at version 1."""
    policy = Policy.model_validate(json.loads(EXAMPLE.read_text()))
    services = tuple(s for s in policy.services if s.name == SERVICE)
    return initial_configuration(policy.model_copy(update={'services': services}))


def initial_configuration(policy: Policy) -> Configuration:
    """Return the configuration with the policy as its first change."""
    change = Change(version=1, operation_id='bench', body=PutPolicy(policy=policy))
    return apply_change(Configuration(), change)


def print_results(seconds: float) -> None:
    """Print the results of each mode, by load, arrivals and fault."""
    print('load arrivals fault   ' + '  '.join(f'{mode:>27}' for mode in MODES))
    cases = [
        (load, has_hot_node, 'none')
        for load in (0.7, 0.9, 1.1)
        for has_hot_node in (False, True)
    ]
    cases += [(0.9, False, fault) for fault in ('dead', 'frozen', 'cut off')]
    cases += [(0.7, True, fault) for fault in ('dead', 'cut off')]
    for load, has_hot_node, fault in cases:
        cells = []
        for mode in MODES:
            result = Model(mode, load, has_hot_node, fault).run(seconds)
            cells.append(result.row())
        arrivals = 'one x4' if has_hot_node else 'even'
        print(f'{load:4.0%} {arrivals:8} {fault:7} ' + '  '.join(cells), flush=True)


def main() -> None:
    """Print both tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=8.0, help='virtual time')
    arguments = parser.parse_args()
    print_costs()
    print_results(arguments.seconds)


if __name__ == '__main__':
    main()
