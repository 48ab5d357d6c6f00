"""Takes and releases the ordinal of this VM, and frees those of VMs that are gone."""

from collections.abc import Callable, Collection

from loguru import logger
from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from daisylift.decisions.leases import LEASE_TERM_SECONDS, loan_seconds
from daisylift.decisions.ordinals import (
    Absences,
    AlreadyHeld,
    FenceTimes,
    RecordEpoch,
    StoredClaim,
    Take,
    Vacate,
    choose_claim,
    choose_maintenance,
    has_unheld_ordinal,
    is_roster_maintainer,
)
from daisylift.models import Change, Claim, SetOrdinalEpoch, Vacancy
from daisylift_node.config import Settings
from daisylift_node.process.permits import PermitPool
from daisylift_node.process.platform import (
    Conflict,
    Missing,
    PlatformClient,
    PlatformFailure,
    StoredObject,
    Uncertain,
)
from daisylift_node.version.change_writer import Accepted, ChangeWriter, Conflicted
from daisylift_node.version.configuration import ConfigurationFollower

CLAIM_KIND = 'claims'
VACANCY_DELAY_SECONDS = 30.0
MAINTENANCE_PERIOD_SECONDS = 5.0
MAX_EPOCH_ATTEMPTS = 5
PAGE_SIZE = 1000

AliveOrdinals = Callable[[], Collection[int]]

_CLAIM_ADAPTER = TypeAdapter(Claim | Vacancy)


class Ordinals:
    """Claims an ordinal for this VM by conditional writes; claims need no renewal."""

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        platform: PlatformClient,
        follower: ConfigurationFollower,
        writer: ChangeWriter,
        permits: PermitPool,
        alive_ordinals: AliveOrdinals = frozenset,
    ) -> None:
        self.own: Claim | None = None
        self._settings = settings
        self._incarnation = incarnation
        self._platform = platform
        self._follower = follower
        self._writer = writer
        self._permits = permits
        self._alive_ordinals = alive_ordinals
        self._absences = Absences(settings.vm.id)
        self._stored_version = 0
        self._written_claim: Claim | None = None
        self._take: Take | None = None
        self._taken_at = 0.0
        self._is_stopping = False
        self._era = 0

    async def refresh(self) -> None:
        """Take the next step towards holding an ordinal, unless this VM has one.

        A claim that the store lost, when it came back from an older copy, is written
        again.
        """
        if self.own is not None and self._platform.era != self._era:
            await self._restore_claim(self.own)
        if self.own is not None or self._is_stopping:
            return
        if not self._follower.current.policy.roster:
            return
        if self._written_claim is None:
            await self._claim()
        if self._written_claim is not None:
            await self._activate(self._written_claim)

    async def run_maintenance(self) -> None:
        """Vacate the ordinals of gone VMs, if this node is a roster maintainer.

        The platform is queried only while some ordinal has no holder that is alive.
        Only the platform's VM list decides whether a VM is gone.
        """
        configuration = self._follower.current
        if self.own is None or not is_roster_maintainer(
            configuration, self.own.ordinal
        ):
            return
        if not has_unheld_ordinal(configuration, self._alive_ordinals()):
            return
        stored = await self._observe()
        if stored is None:
            return
        now = self._permits.now()
        steps = choose_maintenance(
            self._follower.current, stored, self._absences, self._fence(), now
        )
        for step in steps:
            match step:
                case RecordEpoch(ordinal=ordinal, epoch=epoch):
                    await self._record_epoch(ordinal, epoch)
                case Vacate():
                    await self._vacate(step)

    async def release(self) -> bool:
        """Write the release of the ordinal, with the work that may still use its slots.

        The node's own slots are not used from here on. Return whether the release was
        written; without it, a successor waits for the longest lease and request.
        """
        self._is_stopping = True
        claim, self.own = self.own, None
        if claim is None:
            return False
        now = self._permits.now()
        confirmed = self._permits.ledger.confirmed_version(now)
        handed_over = self._permits.lender.slots_to_hand_over(now)
        self._permits.drop_ordinal()
        if confirmed is None:
            return False
        released = claim.model_copy(
            update={
                'released': True,
                'confirmed_version': confirmed,
                'handed_over': handed_over,
            }
        )
        result = await self._write(released, self._stored_version)
        logger.info('release of ordinal {}: {}', claim.ordinal, result)
        return isinstance(result, Success)

    async def _claim(self) -> None:
        stored = await self._observe()
        if stored is None:
            return
        settings = self._settings.vm
        step = choose_claim(
            self._follower.current,
            stored,
            self._absences,
            self._fence(),
            vm=settings.id,
            incarnation=self._incarnation,
            failure_domain=settings.failure_domain,
            now=self._permits.now(),
        )
        match step:
            case AlreadyHeld(claim=claim):
                self._written_claim = claim
                self._stored_version = stored[claim.ordinal].version
            case Take():
                await self._take_ordinal(step)
            case None:
                logger.info('no free ordinal in the roster for this VM; will try again')

    async def _take_ordinal(self, take: Take) -> None:
        self._take = take
        self._taken_at = self._permits.now()
        claim = self._claim_of(take)
        match await self._write(claim, take.version):
            case Success(stored):
                self._written_claim = claim
                self._stored_version = stored.version
            case Failure(failure):
                logger.info(
                    'claim of ordinal {} failed, will try again: {}',
                    take.ordinal,
                    failure,
                )

    async def _activate(self, claim: Claim) -> None:
        """Start to use the ordinal's share of the slots.

        The change log must first be read up to a state after the claim was written,
        and must contain the epoch of the claim.
        """
        if not await self._follower.catch_up():
            return
        recorded = self._follower.current.epochs.get(claim.ordinal, 0)
        is_recorded = recorded >= claim.epoch
        if not is_recorded and not await self._record_epoch(claim.ordinal, claim.epoch):
            return
        self._permits.take_ordinal(claim, self._predecessor_until())
        predecessor = self._take.predecessor if self._take is not None else None
        if predecessor is not None and self._take.is_fenced:
            self._permits.lender.inherit(predecessor, self._permits.now())
        self.own = claim
        self._era = self._platform.era
        logger.info('now holds ordinal {}', claim.ordinal)

    async def _restore_claim(self, claim: Claim) -> None:
        era = self._platform.era
        value = claim.model_dump(mode='json')
        match await self._platform.get(CLAIM_KIND, str(claim.ordinal)):
            case Success(stored):
                record = parse_claim(stored)
                version = stored.version
            case Failure(Missing()):
                record, version = None, 0
            case Failure():
                return  # the next refresh tries again
        if record is not None and stored.value != value and record.epoch >= claim.epoch:
            logger.error(
                'ordinal {} lost: the store came back without the claim, and another '
                'VM has taken it',
                claim.ordinal,
            )
            self._permits.drop_ordinal()
            self.own = self._written_claim = self._take = None
            return
        if version == 0 or stored.value != value:
            result = await self._write(claim, version)
            logger.warning(
                'claim of ordinal {} written again, as the store came back without it: '
                '{}',
                claim.ordinal,
                result,
            )
            if isinstance(result, Failure):
                return
            version = result.unwrap().version
        self._stored_version, self._era = version, era

    def _predecessor_until(self) -> dict[str, float]:
        """Return until when a predecessor's requests may run, by service."""
        if self._take is None or self._take.is_fenced:
            return {}
        until = self._taken_at + self._fence().fence_seconds
        services = self._follower.current.policy.services
        return {service.name: until for service in services}

    async def _observe(self) -> dict[int, StoredClaim] | None:
        """Return the claims, or None if a read fails or the VM list lacks this VM."""
        stored = await self._read()
        vms = await self._platform.list_vms()
        if stored is None or isinstance(vms, Failure):
            return None
        listed = [vm.id for vm in vms.unwrap()]
        if self._absences.observe(listed, stored.values(), self._permits.now()):
            return stored
        logger.warning('the VM list does not contain this VM; not acting on the list')
        return None

    async def _read(self) -> dict[int, StoredClaim] | None:
        roster = self._follower.current.policy.roster
        stored = {e.ordinal: StoredClaim(e.ordinal) for e in roster}
        after = ''
        while True:
            page = await self._platform.list(CLAIM_KIND, after=after, limit=PAGE_SIZE)
            if isinstance(page, Failure):
                return None
            objects = page.unwrap().objects
            for stored_object in objects:
                record = parse_claim(stored_object)
                if record is not None:
                    stored[record.ordinal] = StoredClaim(
                        record.ordinal, stored_object.version, record
                    )
            if len(objects) < PAGE_SIZE:
                return stored
            after = objects[-1].name

    async def _write(
        self, record: Claim | Vacancy, version: int
    ) -> Result[StoredObject, PlatformFailure]:
        """Write if the version is unchanged; after a lost response, read back."""
        name = str(record.ordinal)
        value = record.model_dump(mode='json')
        if version == 0:
            result = await self._platform.create(CLAIM_KIND, name, value)
        else:
            result = await self._platform.update(CLAIM_KIND, name, value, version)
        match result:
            case Failure(Conflict(current=StoredObject() as current)):
                if current.value == value:
                    return Success(current)
            case Failure(Uncertain()):
                found = await self._platform.get(CLAIM_KIND, name)
                if isinstance(found, Success) and found.unwrap().value == value:
                    return found
        return result

    async def _vacate(self, step: Vacate) -> None:
        vacancy = Vacancy(ordinal=step.ordinal, epoch=step.epoch)
        result = await self._write(vacancy, step.version)
        logger.info('vacancy of ordinal {}: {}', step.ordinal, result)
        if isinstance(result, Success):
            await self._record_epoch(step.ordinal, step.epoch)

    async def _record_epoch(self, ordinal: int, epoch: int) -> bool:
        for _ in range(MAX_EPOCH_ATTEMPTS):
            change = Change(
                version=self._follower.current.version + 1,
                operation_id=f'ordinal-{ordinal}-epoch-{epoch}',
                operator=self._settings.vm.id,
                body=SetOrdinalEpoch(ordinal=ordinal, epoch=epoch),
            )
            match await self._writer.submit(change):
                case Accepted():
                    return True
                case Conflicted():
                    continue
                case other:
                    logger.info(
                        'epoch {} of ordinal {} not recorded: {}', epoch, ordinal, other
                    )
                    return False
        return False

    def _fence(self) -> FenceTimes:
        longest = self._permits.ledger.longest_request_seconds()
        return FenceTimes(
            fence_seconds=loan_seconds(LEASE_TERM_SECONDS, longest),
            vacancy_delay_seconds=VACANCY_DELAY_SECONDS,
        )

    def _claim_of(self, take: Take) -> Claim:
        settings = self._settings
        return Claim(
            ordinal=take.ordinal,
            epoch=take.epoch,
            vm=settings.vm.id,
            incarnation=self._incarnation,
            failure_domain=settings.vm.failure_domain,
            caller_host=settings.caller.host,
            caller_port=settings.caller.port,
            peer_host=settings.peer.host,
            peer_port=settings.peer.port,
        )


def parse_claim(stored: StoredObject) -> Claim | Vacancy | None:
    """Return the stored claim or vacancy of an ordinal, or None if it is invalid."""
    try:
        return _CLAIM_ADAPTER.validate_python(stored.value)
    except ValidationError as error:
        logger.error(
            'claim {} in the platform is invalid, ignoring it: {}', stored.name, error
        )
        return None
