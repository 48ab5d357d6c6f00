"""Determines the configuration version that every live node has applied.

Nodes form a tree by ordinal and report the lowest applied version of their subtree to
their parent. The root's value is the version of the fleet.
"""

from collections.abc import Callable

from loguru import logger

from daisylift.decisions.membership import MemberState
from daisylift.decisions.reporting import (
    VersionReport,
    children_of,
    parent_of,
    subtree_version,
)
from daisylift.schema import peer_pb2 as pb
from daisylift_node.connection.peers import Address, PeerLink, Received, Sender
from daisylift_node.errors import PeerMessageError
from daisylift_node.process.members import Member, Members

REPORT_PERIOD_SECONDS = 0.5

REQUIRED_STATES = frozenset(
    {MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING}
)


class FleetConfirmation:
    """Reports until the fleet has confirmed the version that this node steers by.

    Members that do not respond are waited for until the platform's list shows that
    they are gone. ``version_by_ordinal`` has the last version received from each node.
    """

    def __init__(
        self, members: Members, link: PeerLink, applied_version: Callable[[], int]
    ) -> None:
        self.fleet_version = 0
        self.version_by_ordinal: dict[int, int] = {}
        self._members = members
        self._link = link
        self._applied_version = applied_version
        self._report_by_ordinal: dict[int, VersionReport] = {}

    async def start(self) -> None:
        """Start to receive reports from other nodes."""
        self._link.listen(self._on_sender)
        self._link.subscribe('steering_report', self._on_report)

    async def stop(self) -> None:
        """Do nothing; reports end when the owner of the socket closes it."""

    async def tick(self) -> None:
        """Report to the parent while the newest version is not confirmed.

        The parent's reply has the fleet's version, so each node sends one datagram
        and receives one per period, and none once the newest version is confirmed.
        """
        own = self._members.own
        applied = self._applied_version()
        if own is None or self.fleet_version >= applied:
            return
        members = self._required_members()
        ordinals = sorted({*members, own.ordinal})
        children = children_of(own.ordinal, ordinals)
        parent = parent_of(own.ordinal, ordinals)
        lowest_version = subtree_version(
            applied,
            children,
            self._report_by_ordinal,
            {ordinal: m.claim.incarnation for ordinal, m in members.items()},
        )
        if parent is None:
            self.fleet_version = max(self.fleet_version, lowest_version)
        else:
            self._send(members[parent].peer_address, lowest_version)

    def _send(self, address: Address, lowest_version: int) -> None:
        report = pb.SteeringReport(
            subtree_version=lowest_version, fleet_version=self.fleet_version
        )
        try:
            self._link.send(address, report)
        except PeerMessageError as error:
            logger.debug('steering report not sent: {}', error)

    def _required_members(self) -> dict[int, Member]:
        return {
            ordinal: member
            for ordinal, member in self._members.by_ordinal.items()
            if member.state in REQUIRED_STATES
        }

    def _on_sender(self, sender: Sender) -> None:
        if sender.ordinal is not None:
            self.version_by_ordinal[sender.ordinal] = sender.configuration_version

    def _on_report(self, received: Received) -> None:
        """Record a report; reply to a child that has an older version of the fleet."""
        sender = received.sender
        report: pb.SteeringReport = received.body
        if report.fleet_version > self.fleet_version:
            self.fleet_version = report.fleet_version
        if sender.ordinal is None or not report.subtree_version:
            return
        self._report_by_ordinal[sender.ordinal] = VersionReport(
            incarnation=sender.incarnation, version=report.subtree_version
        )
        if report.fleet_version < self.fleet_version:
            self._send(sender.address, lowest_version=0)
