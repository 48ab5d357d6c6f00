"""Tests that nodes without a share hear of named, raised and withdrawn limits.

Nodes gossip in virtual time; a few of them hear from the server itself. A tenth of the
messages is lost.
"""

import random
from dataclasses import dataclass, field

import pytest

from daisylift.decisions.fleet_roles import gossip_targets
from daisylift.decisions.limit_notices import LimitNotices
from daisylift.decisions.server_limits import ServerLimit
from daisylift.models.registered_server import EntryMember

ROUND_SECONDS = 0.5
NOTICES_PER_MESSAGE = 4
MESSAGE_SECONDS = 0.02
LOST_SHARE = 0.1
IN_FORCE_SECONDS = 14.0  # the target for changes that all nodes must apply
DOMAINS = 9
LIMITED_SERVERS = 12


@dataclass
class Node:
    """A node with what it knows of the limits of servers 0 to LIMITED_SERVERS - 1."""

    member: EntryMember
    limits: list[ServerLimit] = field(
        default_factory=lambda: [ServerLimit() for _ in range(LIMITED_SERVERS)]
    )
    notices: LimitNotices = field(default_factory=LimitNotices)

    def hear(self, per_second: float | None, now: float) -> None:
        for number, limit in enumerate(self.limits):
            if limit.record_response(per_second, sent_at=now - 0.1, now=now):
                self.notices.put(number, limit)

    def receive(self, notices: list, now: float) -> None:
        for notice in notices:
            limit = self.limits[notice.incarnation_id]
            if limit.record_notice(notice.per_second, notice.age_seconds, now):
                self.notices.put(notice.incarnation_id, limit)


class GossipingFleet:
    """Nodes that gossip; the first ``told`` of them hear from the servers."""

    def __init__(self, size: int, told: int) -> None:
        self.rng = random.Random(size)
        self.members = [
            EntryMember(f'n-{n}', 1, f'd-{n % DOMAINS}', 'r', 'h:80', 'h', 7540)
            for n in range(size)
        ]
        self.nodes_by_name = {each.name: Node(each) for each in self.members}
        self.told = [self.nodes_by_name[each.name] for each in self.members[:told]]
        self.now = 0.0
        self.frozen: set[str] = set()

    def run(self, seconds: float, per_second: float | None) -> float | None:
        """Run, and return after how many seconds all limits were known everywhere."""
        start = self.now
        known_after: float | None = None
        while self.now < start + seconds:
            self.now += ROUND_SECONDS
            for node in self.told:
                node.hear(per_second, self.now)
            for node in self.nodes_by_name.values():
                self._gossip(node)
            if known_after is None and self._all_know(per_second):
                known_after = self.now - start
        return known_after if self._all_know(per_second) else None

    def _gossip(self, node: Node) -> None:
        if node.member.name in self.frozen:
            return
        notices = node.notices.take(NOTICES_PER_MESSAGE, self.now)
        for peer in gossip_targets(node.member, self.members, self.rng):
            if peer.name not in self.frozen and self.rng.random() >= LOST_SHARE:
                receiver = self.nodes_by_name[peer.name]
                receiver.receive(notices, self.now + MESSAGE_SECONDS)

    def _all_know(self, per_second: float | None) -> bool:
        return all(
            limit.per_second == per_second
            for name, node in self.nodes_by_name.items()
            for limit in node.limits
            if name not in self.frozen
        )


@pytest.mark.parametrize(('size', 'told'), [(2, 1), (7, 1), (79, 7), (400, 7)])
def test_all_nodes_hear_of_each_change_of_a_limit(size: int, told: int) -> None:
    fleet = GossipingFleet(size, told)
    for per_second in (8.0, 3.0, 9.0, None, 5.0):
        known_after = fleet.run(IN_FORCE_SECONDS + 6.0, per_second)
        assert known_after is not None
        assert known_after <= IN_FORCE_SECONDS


@pytest.mark.parametrize('size', [7, 79])
def test_a_node_that_wakes_up_does_not_bring_a_withdrawn_limit_back(
    size: int,
) -> None:
    """A frozen node understates the age of what it heard before."""
    fleet = GossipingFleet(size, told=3)
    fleet.run(10.0, 8.0)
    sleeper = fleet.nodes_by_name[f'n-{size - 1}']
    fleet.frozen = {sleeper.member.name}
    assert fleet.run(12.0, None) is not None
    for limit in sleeper.limits:
        limit.heard_at = fleet.now - 0.1
    fleet.frozen = set()
    assert fleet.run(IN_FORCE_SECONDS, None) is not None
