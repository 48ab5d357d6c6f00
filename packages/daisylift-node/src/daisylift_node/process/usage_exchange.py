"""Admits requests of tenants with usage caps, and asks peers for tokens."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from heapq import nlargest

from loguru import logger

from daisylift.decisions.usage_caps import UsageBounds
from daisylift.decisions.usage_grants import Question, UsageGrants, UsageTicket
from daisylift.decisions.usage_queue import UsageQueue
from daisylift.models.desired_state import Tenant
from daisylift_node.connection.gossip_codec import GossipError
from daisylift_node.connection.usage_codec import (
    MAX_PER_DATAGRAM,
    decode,
    encode_questions,
    encode_replies,
    tenant_hash,
)
from daisylift_node.process.clock import now
from daisylift_node.process.entry_metrics import EntryMetrics
from daisylift_node.request.steered_call import SteeredCall
from daisylift_node.version.fleet_view import FleetView

USAGE_PERIOD_SECONDS = 0.02  # waiting requests are refused this late at most
MEMBERS_PERIOD_SECONDS = 0.5
IDLE_PERIOD_SECONDS = 5.0
MAX_REPORTED_TENANTS = 10

Address = tuple[str, int]
Send = Callable[[bytes, Address], None]
IsAlive = Callable[[str], bool]


class UsageExchange:
    """Holds this VM's part of the usage caps of all tenants.

    It uses a clock that also advances while the VM is suspended, as the lifetime of
    tokens that peers grant must not stop.
    """

    def __init__(
        self,
        local_name: str,
        bounds: UsageBounds,
        view: FleetView,
        send: Send,
        is_alive: IsAlive,
        metrics: EntryMetrics,
    ) -> None:
        self._view = view
        self._send = send
        self._is_alive = is_alive
        self._metrics = metrics
        self._grants = UsageGrants(local_name, bounds, now(), random.Random())
        self._queue = UsageQueue(self._grants, self._send_questions)
        self._names_by_hash: dict[int, str] = {}
        self._member_names: tuple[str, ...] | None = None
        self._hashed_tenants: Mapping[str, Tenant] | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether this VM knows its part of the caps, if there are any."""
        routes = self._view.routes
        if routes is None or not routes.state.tenants_by_name:
            return True
        self._apply_members()
        return self._grants.knows_members

    async def admit(self, call: SteeredCall) -> float | None:
        """Take a token for the call, if its tenant has a cap.

        Return None if it is admitted, else the seconds after which to try again.
        """
        tenant = self._capped(call.tenant)
        if tenant is None:
            return None
        self._apply_members()
        ticket = self._take(tenant)
        if ticket is None:
            future: asyncio.Future[UsageTicket | None] = (
                asyncio.get_running_loop().create_future()
            )
            if self._queue.request(tenant.name, now(), self._decider(future)):
                ticket = await future
        if ticket is not None:
            call.usage_tickets.append(ticket)
            self._metrics.count_usage('admitted')
            return None
        self._metrics.count_usage('refused')
        return self._grants.retry_after(tenant.name, now())

    def admit_repeat(self, call: SteeredCall) -> bool:
        """Take a token for another run of the call, without waiting for one."""
        tenant = self._capped(call.tenant)
        if tenant is None:
            return True
        ticket = self._take(tenant)
        if ticket is None:
            return False
        call.usage_tickets.append(ticket)
        return True

    def give_back(self, call: SteeredCall) -> None:
        """Return the tokens of a call that has not run and never will."""
        for ticket in call.usage_tickets:
            self._grants.give_back(ticket, now())
        call.usage_tickets.clear()

    def log_fields(self, call: SteeredCall) -> dict[str, object]:
        """Return what is known of the cap at this moment."""
        if call.tenant is None:
            return {}
        return dict(self._grants.describe(call.tenant.name, now()))

    def describe(self, tenant: Tenant) -> Mapping[str, object]:
        """Return this VM's part of the tenant's cap at this moment."""
        return self._grants.describe(tenant.name, now())

    def receive(self, data: bytes, address: Address) -> None:
        """Answer the questions of a peer, or use its replies."""
        try:
            questions, replies = decode(data)
        except GossipError as error:
            logger.bind(peer=address[0]).warning(
                'ignoring an invalid datagram about usage caps: {}', error
            )
            return
        if replies:
            self._queue.receive(replies, now())
        answers = []
        for question in questions:
            tenant = self._tenant_of(question.tenant_hash)
            if tenant is None or not tenant.requests_per_second:
                continue
            reply = self._grants.answer(
                tenant.name,
                tenant.requests_per_second,
                tenant.burst,
                question.ask_id,
                question.wanted,
                now(),
            )
            self._metrics.count_usage('granted', reply.granted)
            answers.append(reply)
        if answers:
            self._send(encode_replies(answers[:MAX_PER_DATAGRAM]), address)

    def most_moved(self) -> dict[str, tuple[int, int]]:
        """Return the tokens granted and borrowed, of the tenants with most."""
        totals = self._grants.totals().items()
        return dict(
            nlargest(MAX_REPORTED_TENANTS, totals, key=lambda each: sum(each[1]))
        )

    async def expire(self) -> None:
        """Refuse requests that have waited for too long."""
        self._queue.expire(now())

    async def update_members(self) -> None:
        """Apply the registered VMs, and which of them seem to be lost."""
        if not self._view.members.is_loaded:
            return
        self._apply_members()
        names = self._view.member_names
        routes = self._view.routes
        if routes is not None and routes.state.tenants_by_name:
            alive = sum(map(self._is_alive, names))
            self._grants.set_lost(len(names) - alive, alive)

    def _apply_members(self) -> None:
        names = self._view.member_names
        if names is self._member_names or not self._view.members.is_loaded:
            return
        self._member_names = names
        members = self._view.members_by_name.values()
        self._grants.set_members({each.name: each.region for each in members}, now())

    async def discard_idle(self) -> None:
        """Drop what is held for tenants without requests."""
        self._grants.discard_idle(now())

    def _capped(self, tenant: Tenant | None) -> Tenant | None:
        """Return the tenant as it is in force, or None if it has no cap."""
        if tenant is None:
            return None
        routes = self._view.routes
        if routes is not None:
            tenant = routes.state.tenants_by_name.get(tenant.name, tenant)
        return tenant if tenant.requests_per_second else None

    def _take(self, tenant: Tenant) -> UsageTicket | None:
        assert tenant.requests_per_second
        return self._grants.take(
            tenant.name, tenant.requests_per_second, tenant.burst, now()
        )

    def _decider(
        self, future: 'asyncio.Future[UsageTicket | None]'
    ) -> Callable[[UsageTicket | None], None]:
        def decide(ticket: UsageTicket | None) -> None:
            if not future.done():
                future.set_result(ticket)
            elif ticket is not None:  # the caller has left
                self._grants.give_back(ticket, now())

        return decide

    def _tenant_of(self, hashed: int) -> Tenant | None:
        routes = self._view.routes
        if routes is None:
            return None
        tenants = routes.state.tenants_by_name
        if tenants is not self._hashed_tenants:
            self._hashed_tenants = tenants
            self._names_by_hash = {tenant_hash(name): name for name in tenants}
        name = self._names_by_hash.get(hashed)
        return None if name is None else tenants[name]

    def _send_questions(self, questions: Iterable[Question]) -> None:
        by_owner: dict[str, list[Question]] = defaultdict(list)
        for question in questions:
            by_owner[question.owner].append(question)
        for owner, group in by_owner.items():
            member = self._view.members_by_name.get(owner)
            if member is None:
                continue
            address = (member.peer_host, member.peer_port)
            self._send(encode_questions(group[:MAX_PER_DATAGRAM]), address)
        self._metrics.count_usage('asked', len(by_owner))
