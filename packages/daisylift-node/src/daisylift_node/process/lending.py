"""Lends idle slots to peers and borrows theirs, with few messages per tick."""

import asyncio
from collections.abc import Callable
from itertools import count

from google.protobuf.message import Message
from returns.result import Success

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.leases import LEASE_TERM_SECONDS, LeaseAsk, LeaseReturn
from daisylift.decisions.lending import (
    MAX_SLOTS_PER_REQUEST,
    Demand,
    IdleRegistry,
    peers_to_notify,
    slots_to_borrow,
    slots_to_return,
    slots_to_spare,
)
from daisylift.decisions.permit import LeaseKey
from daisylift.schema import peer_pb2 as pb
from daisylift_node.connection.lease_codec import (
    decode_ask,
    decode_grant,
    decode_return,
    encode_ask,
    encode_grant,
    encode_return,
)
from daisylift_node.connection.peers import Address, PeerLink, Received
from daisylift_node.process.members import Members
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.permits import PermitPool

LENDING_PERIOD_SECONDS = 0.25
REPLY_TIMEOUT_SECONDS = 0.2
TICKS_PER_REPORT = 4
PEERS_PER_REPORT = 3
MAX_ASKS_PER_TICK = 4
MAX_SERVICES_PER_REPORT = 12

Waiting = Callable[[str], int]


class Lending:
    """Tracks the demand of each service, and moves idle slots to the nodes in need."""

    def __init__(
        self,
        permits: PermitPool,
        peers: PeerLink,
        members: Members,
        waiting: Waiting,
        failure_domain: str,
        metrics: Metrics,
    ) -> None:
        self._permits = permits
        self._peers = peers
        self._members = members
        self._waiting = waiting
        self._failure_domain = failure_domain
        self._metrics = metrics
        self._regions: dict[str, str] = {}
        self._demand_by_service: dict[str, Demand] = {}
        self._idle_peers = IdleRegistry()
        self._tick_numbers = count()
        peers.subscribe('idle_report', self._on_idle_report)
        peers.subscribe('lease_ask', self._on_ask)
        peers.subscribe('lease_return', self._on_return)

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the services of a configuration; keep the demand of existing ones."""
        policy = configuration.policy
        previous = self._demand_by_service
        self._regions = policy.regions_by_failure_domain()
        self._demand_by_service = {
            service.name: previous.get(service.name) or Demand()
            for service in policy.services
        }

    async def tick(self) -> None:
        """Observe the demand; report idle slots; return, renew and borrow leases."""
        self._observe()
        tick_number = next(self._tick_numbers)
        if tick_number % TICKS_PER_REPORT == 0:
            self._report_idle(tick_number // TICKS_PER_REPORT)
        self._return_surplus()
        asks = [*self._renewals(), *self._new_asks()]
        await asyncio.gather(*(self._send_ask(ask) for ask in asks[:MAX_ASKS_PER_TICK]))

    def _observe(self) -> None:
        now = self._permits.now()
        for service, demand in self._demand_by_service.items():
            used, _ = self._permits.ledger.usage(service, now)
            demand.observe(used + self._waiting(service), now)

    def _spare_slots(self, service: str) -> int:
        """Return how many of the node's own slots of the service can be lent now."""
        demand = self._demand_by_service.get(service)
        if demand is None:
            return 0
        now = self._permits.now()
        ledger = self._permits.ledger
        used, held = ledger.usage(service, now)
        own = sum(mask.bit_count() for _, mask in ledger.idle_masks(service, now))
        return min(own, slots_to_spare(demand, used, held - used))

    def _report_idle(self, report_number: int) -> None:
        own = self._permits.ledger.ordinal
        if own is None:
            return
        spare = {
            service: self._spare_slots(service) for service in self._demand_by_service
        }
        idle = [
            pb.ServiceIdle(service=service, idle=slots)
            for service, slots in spare.items()
            if slots
        ]
        if not idle:
            return
        report = pb.IdleReport(services=idle[:MAX_SERVICES_PER_REPORT])
        ordinals = self._members.by_ordinal
        for ordinal in peers_to_notify(ordinals, own, report_number, PEERS_PER_REPORT):
            self._send(ordinal, report)

    def _return_surplus(self) -> None:
        now = self._permits.now()
        ledger = self._permits.ledger
        for service, demand in self._demand_by_service.items():
            _, held = ledger.usage(service, now)
            free = sum(s.free(now).bit_count() for s in ledger.borrowed(service))
            surplus = slots_to_return(demand, held, free)
            for lease, valid_until in self._leases(service).items():
                if valid_until <= now:
                    self._send_return(service, self._permits.borrower.give_back(lease))
                elif surplus > 0:
                    returned = self._permits.borrower.give_back(lease, surplus)
                    surplus -= sum(m.bit_count() for m in returned.masks.values())
                    self._send_return(service, returned)

    def _send_return(self, service: str, returned: LeaseReturn) -> None:
        if returned.masks:
            self._send(returned.lease.lender, encode_return(returned))
            self._count(service, 'given-back')

    def _renewals(self) -> list[LeaseAsk]:
        now = self._permits.now()
        asks = []
        for service in self._demand_by_service:
            for lease, valid_until in self._leases(service).items():
                if now < valid_until < now + LEASE_TERM_SECONDS / 2:
                    asks.append(self._permits.borrower.request_renewal(lease, now))
        return [ask for ask in asks if ask is not None]

    def _new_asks(self) -> list[LeaseAsk]:
        now = self._permits.now()
        asks = []
        for service, demand in self._demand_by_service.items():
            _, held = self._permits.ledger.usage(service, now)
            wanted = slots_to_borrow(demand, held, self._waiting(service))
            if not wanted:
                continue
            lenders = self._idle_peers.choose_lenders(
                service, wanted, self._distances(), now
            )
            for lender, slots in lenders:
                asks.append(self._permits.borrower.request(lender, service, slots, now))
        return asks

    async def _send_ask(self, ask: LeaseAsk) -> None:
        address = self._address(ask.lender)
        if address is None:
            return self._permits.borrower.drop_request(ask.number)
        step = 'renewal-asked' if ask.renew else 'asked'
        self._count(ask.service, step)
        result = await self._peers.request(
            address, encode_ask(ask), REPLY_TIMEOUT_SECONDS
        )
        match result:
            case Success(pb.LeaseGrant() as reply):
                self._on_reply(ask, reply)
            case _:
                self._count(ask.service, 'unanswered')
        return self._permits.borrower.drop_request(ask.number)

    def _on_reply(self, ask: LeaseAsk, reply: pb.LeaseGrant) -> None:
        now = self._permits.now()
        self._idle_peers.record(ask.lender, ask.service, reply.idle, now)
        grant = decode_grant(reply)
        if grant is None:
            return self._count(ask.service, 'refused')
        returned = self._permits.borrower.accept(grant, now)
        if returned is not None:
            self._send_return(ask.service, returned)
        self._count(ask.service, 'renewed' if ask.renew else 'borrowed')
        return self._permits.notify_listeners()

    def _on_ask(self, received: Received) -> Message:
        ask = decode_ask(received.body)
        now = self._permits.now()
        spare = min(MAX_SLOTS_PER_REQUEST, self._spare_slots(ask.service))
        grant = self._permits.lender.grant(ask, now, spare)
        idle = self._spare_slots(ask.service)
        if grant is None:
            return pb.LeaseGrant(ask=ask.number, service=ask.service, idle=idle)
        self._count(ask.service, 'extended' if ask.renew else 'lent')
        return encode_grant(grant, ask.service, idle)

    def _on_return(self, received: Received) -> None:
        returned = decode_return(received.body)
        if self._permits.lender.accept_return(returned):
            self._count(received.body.service, 'taken-back')
            self._permits.notify_listeners()

    def _on_idle_report(self, received: Received) -> None:
        ordinal = received.sender.ordinal
        if ordinal is None:
            return
        now = self._permits.now()
        for report in received.body.services[:MAX_SERVICES_PER_REPORT]:
            if report.service in self._demand_by_service:
                self._idle_peers.record(ordinal, report.service, report.idle, now)

    def _leases(self, service: str) -> dict[LeaseKey, float]:
        """Return the leases of borrowed slots, each with the end of its validity."""
        leases: dict[LeaseKey, float] = {}
        for slots in self._permits.ledger.borrowed(service):
            current = leases.get(slots.lease, slots.valid_until)
            leases[slots.lease] = min(current, slots.valid_until)
        return leases

    def _distances(self) -> dict[int, int]:
        own_region = self._regions.get(self._failure_domain)
        distances = {}
        for ordinal, member in self._members.by_ordinal.items():
            domain = member.claim.failure_domain
            region_distance = 1 if self._regions.get(domain) == own_region else 2
            distances[ordinal] = (
                0 if domain == self._failure_domain else region_distance
            )
        return distances

    def _address(self, ordinal: int) -> Address | None:
        member = self._members.by_ordinal.get(ordinal)
        if member is None:
            return None
        return member.claim.peer_host, member.claim.peer_port

    def _send(self, ordinal: int, message: Message) -> None:
        address = self._address(ordinal)
        if address is not None:
            self._peers.send(address, message)

    def _count(self, service: str, step: str) -> None:
        self._metrics.leases.labels(service=service, step=step).inc()
