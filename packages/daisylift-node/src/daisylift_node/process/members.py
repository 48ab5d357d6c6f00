"""The members of the fleet, and this VM's claim of a position in its roster."""

from dataclasses import dataclass, field

from loguru import logger
from pydantic import ValidationError
from returns.result import Failure, Success

from daisylift.decisions.configuration import Configuration
from daisylift.models import Claim
from daisylift_node.config import Settings
from daisylift_node.process.platform import Conflict, PlatformClient, StoredObject

KIND = 'claims'


@dataclass(frozen=True, slots=True)
class Member:
    """A VM that holds an ordinal of the roster."""

    claim: Claim

    @property
    def caller_address(self) -> str:
        """Return where callers reach the VM, as host:port."""
        return f'{self.claim.caller_host}:{self.claim.caller_port}'


@dataclass(slots=True)
class Members:
    """Claims an ordinal for this VM and knows who holds the others."""

    settings: Settings
    incarnation: str
    platform: PlatformClient
    by_ordinal: dict[int, Member] = field(default_factory=dict)
    own: Claim | None = None

    async def refresh(self, configuration: Configuration) -> None:
        """Read all claims; claim an ordinal of the roster if this VM has none."""
        await self._read()
        if self.own is None:
            await self._claim(configuration)

    async def _read(self) -> None:
        listing = await self.platform.list(KIND)
        if isinstance(listing, Failure):
            return
        claims = [c for o in listing.unwrap().objects if (c := _parse(o))]
        self.by_ordinal = {claim.ordinal: Member(claim) for claim in claims}

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
                if holder is None or holder.vm != claim.vm:
                    return False
                result = await self.platform.update(
                    KIND, str(ordinal), value, current.version
                )
        if not isinstance(result, Success):
            return False
        self.own = claim
        self.by_ordinal[ordinal] = Member(claim)
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


def _parse(stored: StoredObject) -> Claim | None:
    try:
        return Claim.model_validate(stored.value)
    except ValidationError as error:
        logger.error('unreadable claim {}: {}', stored.name, error)
        return None
