"""The members of the fleet, and this VM's claim of a position in its roster."""

from dataclasses import dataclass

from loguru import logger
from pydantic import ValidationError
from returns.result import Failure, Success

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.membership import (
    MemberDetails,
    MemberRecord,
    MemberState,
    holders_by_ordinal,
)
from daisylift.decisions.vm_list import is_watcher
from daisylift.models import Claim
from daisylift_node.config import Settings
from daisylift_node.process import clock
from daisylift_node.process.membership import Membership
from daisylift_node.process.platform import Conflict, PlatformClient, StoredObject

KIND = 'claims'
READ_PERIOD_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Member:
    """A VM that holds an ordinal of the roster, and how it stands."""

    claim: Claim
    state: MemberState = MemberState.ALIVE

    @property
    def caller_address(self) -> str:
        """Return where callers reach the VM, as host:port."""
        return f'{self.claim.caller_host}:{self.claim.caller_port}'

    @property
    def peer_address(self) -> tuple[str, int]:
        """Return where peers reach the VM, as host and port."""
        return self.claim.peer_host, self.claim.peer_port


class Members:
    """Claims an ordinal for this VM and knows who holds the others.

    Members come from the peers' word. The claims in the platform are read until some
    other member is known, and once after this node's own claim, so that of any two
    nodes the later one finds the earlier; then only the few nodes that watch the
    platform read them, at a long period.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        platform: PlatformClient,
        membership: Membership,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.platform = platform
        self.membership = membership
        self.own: Claim | None = None
        self._by_ordinal: dict[int, Member] = {}
        self._seen_changes = -1
        self._read_at: float | None = None

    @property
    def by_ordinal(self) -> dict[int, Member]:
        """Return the members that hold ordinals, the gone ones included."""
        table = self.membership.table
        if self._seen_changes != table.changes:
            self._seen_changes = table.changes
            holders = holders_by_ordinal(table.by_vm.values())
            self._by_ordinal = {o: _member(o, record) for o, record in holders.items()}
        return self._by_ordinal

    async def refresh(self, configuration: Configuration) -> None:
        """Claim an ordinal if this VM has none; read the claims if it is time.

        They are read again after an own claim, so that of any two VMs that start
        together the later one to claim finds the other.
        """
        if self.own is None:
            await self._claim(configuration)
        now = clock.now()
        if self._must_read(now):
            await self._read(now)

    def _must_read(self, now: float) -> bool:
        if self._read_at is None or not self.membership.table.others(*MemberState):
            return True
        if now - self._read_at < READ_PERIOD_SECONDS:
            return False
        return is_watcher(self.membership.table)

    async def release(self) -> None:
        """Give the ordinal back, so that another VM can take it at once."""
        if self.own is None:
            return
        name = str(self.own.ordinal)
        match await self.platform.get(KIND, name):
            case Success(stored) if _parse(stored) == self.own:
                value = self.own.model_copy(update={'released': True})
                await self.platform.update(
                    KIND, name, value.model_dump(mode='json'), stored.version
                )

    async def _read(self, now: float) -> None:
        listing = await self.platform.list(KIND)
        if isinstance(listing, Failure):
            return
        self._read_at = now
        for stored in listing.unwrap().objects:
            claim = _parse(stored)
            if claim is not None and not claim.released:
                self.membership.learn(_record(claim))

    async def _claim(self, configuration: Configuration) -> None:
        for entry in configuration.policy.roster:
            if entry.failure_domain != self.settings.vm.failure_domain:
                continue
            if await self._claim_ordinal(entry.ordinal):
                return
        logger.warning('no ordinal of the roster is free for this VM')

    async def _claim_ordinal(self, ordinal: int) -> bool:
        claim = self._claim_of(ordinal)
        value = claim.model_dump(mode='json')
        result = await self.platform.create(KIND, str(ordinal), value)
        match result:
            case Failure(Conflict(current=StoredObject() as current)):
                holder = _parse(current)
                if holder is None:
                    return False
                if holder.vm != claim.vm and not holder.released:
                    return False
                result = await self.platform.update(
                    KIND, str(ordinal), value, current.version
                )
        if not isinstance(result, Success):
            return False
        self.own = claim
        self._read_at = None
        self.membership.say_ordinal(ordinal)
        logger.info('holds ordinal {}', ordinal)
        return True

    def _claim_of(self, ordinal: int) -> Claim:
        settings = self.settings
        return Claim(
            ordinal=ordinal,
            vm=settings.vm.id,
            incarnation=self.incarnation,
            failure_domain=settings.vm.failure_domain,
            caller_host=settings.caller.host,
            caller_port=settings.caller.port,
            peer_host=settings.peer.host,
            peer_port=settings.peer.port,
        )


def usable_members(by_ordinal: dict[int, Member], but: str = '') -> list[Member]:
    """Return whom callers may be sent to, but for a VM: the alive, else the suspect."""
    members = [member for member in by_ordinal.values() if member.claim.vm != but]
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
    """Return a claim as the first word about its holder; its own word goes before."""
    details = MemberDetails(
        number=0,
        failure_domain=claim.failure_domain,
        caller_address=(claim.caller_host, claim.caller_port),
        peer_address=(claim.peer_host, claim.peer_port),
        ordinal=claim.ordinal,
    )
    return MemberRecord(claim.vm, claim.incarnation, 0, details)


def _parse(stored: StoredObject) -> Claim | None:
    try:
        return Claim.model_validate(stored.value)
    except ValidationError as error:
        logger.error('unreadable claim {}: {}', stored.name, error)
        return None
