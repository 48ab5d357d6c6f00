"""Requests that wait for tokens of a usage cap which other VMs may grant.

Load pattern: demand beyond the tokens of this VM, for many tenants at a time. A request
waits only while a reply is awaited, MAX_WAIT_SECONDS at most, and is refused as soon as
no owner is left to ask. The oldest gets the first token.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from daisylift.decisions.usage_grants import (
    Question,
    Reply,
    UsageGrants,
    UsageTicket,
)

MAX_WAIT_SECONDS = 0.18  # three round trips to another region
MAX_WAITING = 64  # of a tenant; more than a VM gets tokens for in that time

Decide = Callable[[UsageTicket | None], None]


@dataclass(slots=True)
class UsageQueue:
    """The waiting requests by tenant; ``send`` sends questions to owners."""

    grants: UsageGrants
    send: Callable[[list[Question]], None]
    _waiting: dict[str, deque[tuple[float, Decide]]] = field(default_factory=dict)

    def request(self, tenant: str, now: float, decide: Decide) -> bool:
        """Wait for a token; return whether the request waits.

        ``decide`` is called later, with a ticket, or with None to refuse.
        """
        queue = self._waiting.setdefault(tenant, deque())
        if len(queue) < MAX_WAITING:
            queue.append((now + MAX_WAIT_SECONDS, decide))
            self._ask(tenant, now)
            if queue and self.grants.may_get_tokens(tenant, len(queue), now):
                return True
            if queue:
                queue.pop()
        if not queue:
            self._waiting.pop(tenant, None)
        return False

    def receive(self, replies: list[Reply], now: float) -> None:
        """Apply the replies of an owner and decide what they allow."""
        for tenant in {self.grants.receive(reply, now) for reply in replies}:
            if tenant is not None:
                self._decide(tenant, now)

    def expire(self, now: float) -> None:
        """Refuse what has waited for too long or has no owner left to ask."""
        for tenant in list(self._waiting):
            self._decide(tenant, now)

    def _decide(self, tenant: str, now: float) -> None:
        queue = self._waiting.get(tenant)
        if queue is None:
            return
        while queue and (ticket := self.grants.take_waiting(tenant, now)):
            queue.popleft()[1](ticket)
        self._ask(tenant, now)
        is_hopeless = not self.grants.may_get_tokens(tenant, len(queue), now)
        while queue and (is_hopeless or queue[0][0] <= now):
            queue.popleft()[1](None)
        if not queue:
            self._waiting.pop(tenant, None)

    def _ask(self, tenant: str, now: float) -> None:
        waiting = len(self._waiting.get(tenant, ()))
        if questions := self.grants.questions(tenant, waiting, now):
            self.send(questions)
