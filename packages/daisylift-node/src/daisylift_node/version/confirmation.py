"""Learns which version every live node steers by, by reports along a tree."""

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

WAITED_FOR = frozenset({MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING})


class FleetConfirmation:
    """Reports while the fleet has not confirmed the version that this node steers by.

    Members that do not answer are waited for until the platform's list says that
    they are gone. ``version_by_ordinal`` has the versions heard of single nodes.
    """

    def __init__(
        self, members: Members, link: PeerLink, steered_version: Callable[[], int]
    ) -> None:
        self.fleet_version = 0
        self.version_by_ordinal: dict[int, int] = {}
        self._members = members
        self._link = link
        self._steered_version = steered_version
        self._report_by_ordinal: dict[int, VersionReport] = {}

    async def start(self) -> None:
        """Take reports of other nodes."""
        self._link.listen(self._on_sender)
        self._link.subscribe('steering_report', self._on_report)

    async def stop(self) -> None:
        """Do nothing; the socket's owner ends the reports."""

    async def tick(self) -> None:
        """Report to the parent, as long as there is something to confirm.

        Its answer tells the version of the fleet, so each node sends one datagram
        and gets one a period, and nothing once the newest version is confirmed.
        """
        own = self._members.own
        steered = self._steered_version()
        if own is None or self.fleet_version >= steered:
            return
        members = self._waited_for()
        ordinals = sorted({*members, own.ordinal})
        children = children_of(own.ordinal, ordinals)
        parent = parent_of(own.ordinal, ordinals)
        lowest = subtree_version(
            steered,
            children,
            self._report_by_ordinal,
            {ordinal: m.claim.incarnation for ordinal, m in members.items()},
        )
        if parent is None:
            self.fleet_version = max(self.fleet_version, lowest)
        else:
            self._send(members[parent].peer_address, lowest)

    def _send(self, address: Address, lowest: int) -> None:
        report = pb.SteeringReport(
            subtree_version=lowest, fleet_version=self.fleet_version
        )
        try:
            self._link.send(address, report)
        except PeerMessageError as error:
            logger.debug('a report was not sent: {}', error)

    def _waited_for(self) -> dict[int, Member]:
        return {
            ordinal: member
            for ordinal, member in self._members.by_ordinal.items()
            if member.state in WAITED_FOR
        }

    def _on_sender(self, sender: Sender) -> None:
        if sender.ordinal is not None:
            self.version_by_ordinal[sender.ordinal] = sender.configuration_version

    def _on_report(self, received: Received) -> None:
        """Take a report; answer a child that does not know the fleet's version."""
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
            self._send(sender.address, lowest=0)
