"""The members of the fleet by ordinal, from peers' reports and platform claims."""

from dataclasses import dataclass

from returns.result import Failure

from daisylift.decisions.membership import (
    MemberDetails,
    MemberRecord,
    MemberState,
    holders_by_ordinal,
)
from daisylift.decisions.vm_list import watches_platform
from daisylift.models import Claim
from daisylift_node.connection.peers import Address
from daisylift_node.process import clock
from daisylift_node.process.membership import Membership
from daisylift_node.process.ordinals import CLAIM_KIND, parse_claim
from daisylift_node.process.platform import PlatformClient

READ_PERIOD_SECONDS = 10.0
MAX_ALTERNATIVE_VMS = 3


@dataclass(frozen=True, slots=True)
class Member:
    """A VM that holds an ordinal of the roster, and its state."""

    claim: Claim
    state: MemberState = MemberState.ALIVE

    @property
    def caller_address(self) -> str:
        """Return the address for callers, as HOST:PORT."""
        return f'{self.claim.caller_host}:{self.claim.caller_port}'

    @property
    def peer_address(self) -> tuple[str, int]:
        """Return the address for peers, as host and port."""
        return self.claim.peer_host, self.claim.peer_port


class Members:
    """Tracks which VM holds which ordinal; ``own`` is this VM's claim.

    Members are learned from peers. The claims in the platform are read until another
    member is known, and once after this node's own claim, so that of any two nodes
    the later one finds the earlier one. After that, only the few nodes that watch the
    platform read them, every READ_PERIOD_SECONDS.
    """

    def __init__(self, platform: PlatformClient, membership: Membership) -> None:
        self.platform = platform
        self.membership = membership
        self.own: Claim | None = None
        self._by_ordinal: dict[int, Member] = {}
        self._indexed_changes = -1
        self._read_at: float | None = None

    @property
    def by_ordinal(self) -> dict[int, Member]:
        """Return the members that hold ordinals, including those that are gone."""
        table = self.membership.table
        if self._indexed_changes != table.changes:
            self._indexed_changes = table.changes
            holders = holders_by_ordinal(table.by_vm.values())
            self._by_ordinal = {o: _member(o, record) for o, record in holders.items()}
        return self._by_ordinal

    def others(self) -> list[Member]:
        """Return the other members that hold ordinals and are not gone."""
        own = self.own.ordinal if self.own is not None else None
        return [
            member
            for ordinal, member in self.by_ordinal.items()
            if ordinal != own and member.state is not MemberState.GONE
        ]

    def alive_ordinals(self) -> set[int]:
        """Return the ordinals whose holders are alive, including this node's own."""
        return {
            ordinal
            for ordinal, member in self.by_ordinal.items()
            if member.state is MemberState.ALIVE
        }

    def other_addresses(self) -> list[Address]:
        """Return the peer addresses of the other members."""
        return [member.peer_address for member in self.others()]

    def other_addresses_by_ordinal(self) -> dict[int, Address]:
        """Return the peer addresses of the other members, by ordinal."""
        return {member.claim.ordinal: member.peer_address for member in self.others()}

    def alternative_vms(self) -> tuple[str, ...]:
        """Return the caller addresses of a few other VMs, to be listed in refusals."""
        own = self.membership.table.own_vm
        usable = usable_members(self.by_ordinal, excluded_vm=own)
        return tuple(member.caller_address for member in usable[:MAX_ALTERNATIVE_VMS])

    async def refresh(self) -> None:
        """Read the claims if a read is due."""
        now = clock.now()
        if self._is_read_due(now):
            await self._read(now)

    def record_own_claim(self, claim: Claim) -> None:
        """Record that this VM holds the claimed ordinal, and announce it to peers."""
        if self.own != claim:
            self.own = claim
            self._read_at = None
            self.membership.announce_ordinal(claim.ordinal)

    def _is_read_due(self, now: float) -> bool:
        if self._read_at is None or not self.membership.table.others(*MemberState):
            return True
        if now - self._read_at < READ_PERIOD_SECONDS:
            return False
        return watches_platform(self.membership.table)

    async def _read(self, now: float) -> None:
        listing = await self.platform.list(CLAIM_KIND)
        if isinstance(listing, Failure):
            return
        self._read_at = now
        for stored in listing.unwrap().objects:
            claim = parse_claim(stored)
            if isinstance(claim, Claim) and not claim.released:
                self.membership.add_claimed_member(_record(claim))


def usable_members(
    by_ordinal: dict[int, Member], excluded_vm: str = ''
) -> list[Member]:
    """Return the alive members, or if none is the suspect ones, except one VM."""
    members = [
        member for member in by_ordinal.values() if member.claim.vm != excluded_vm
    ]
    for state in (MemberState.ALIVE, MemberState.SUSPECT):
        usable = [member for member in members if member.state is state]
        if usable:
            return usable
    return []


def _member(ordinal: int, record: MemberRecord) -> Member:
    details = record.details
    claim = Claim(
        ordinal=ordinal,
        vm=record.vm,
        incarnation=record.incarnation,
        failure_domain=details.failure_domain,
        caller_host=details.caller_address[0],
        caller_port=details.caller_address[1],
        peer_host=details.peer_address[0],
        peer_port=details.peer_address[1],
    )
    return Member(claim, record.state)


def _record(claim: Claim) -> MemberRecord:
    """Return a record from a claim; any report of the holder itself overrides it."""
    details = MemberDetails(
        number=0,
        failure_domain=claim.failure_domain,
        caller_address=(claim.caller_host, claim.caller_port),
        peer_address=(claim.peer_host, claim.peer_port),
        ordinal=claim.ordinal,
    )
    return MemberRecord(claim.vm, claim.incarnation, 0, details)
