"""The state used for lookups: effective cuts, client blocks and the entry VMs."""

from collections.abc import Mapping

from daisylift.decisions import blocks
from daisylift.decisions.blocks import BlockTable, IpAddress
from daisylift.decisions.configuration import Configuration
from daisylift.decisions.entries import EntryRings, EntryVm
from daisylift.decisions.limiter import CutLimiter
from daisylift.decisions.state import UNKNOWN_HOME
from daisylift.decisions.steering import Position, position_of, site_at
from daisylift_node.process import clock
from daisylift_node.process.members import Member, Members, usable_members

REFRESH_SECONDS = 0.5


class Steering:
    """Follows the configuration and members and answers lookups from memory.

    ``applied_version`` is the newest configuration version that is fully applied.
    """

    def __init__(self, members: Members) -> None:
        self.configuration = Configuration()
        self.blocks: BlockTable = blocks.EMPTY_TABLE
        self.limiter = CutLimiter()
        self.stages_by_service: Mapping[str, Mapping[str, int]] = {}
        self._members = members
        self._rings = EntryRings(())
        self._ring_members: Mapping[int, Member] | None = None
        self._ring_configuration: Configuration | None = None
        self.applied_version = 0

    def set_configuration(self, configuration: Configuration) -> None:
        """Use another configuration; its caps limit how fast traffic moves."""
        self.configuration = configuration
        self._step()
        self.stages_by_service = _stages(configuration)

    def set_blocks(self, table: BlockTable) -> None:
        """Use another table of client blocks."""
        self.blocks = table

    async def refresh(self) -> None:
        """Advance the effective cuts and update the rings of entry VMs."""
        self._step()
        self.refresh_entries()

    def refresh_entries(self) -> None:
        """Rebuild the rings of entry VMs if members or configuration changed."""
        members, configuration = self._members.by_ordinal, self.configuration
        if members is self._ring_members and configuration is self._ring_configuration:
            return
        self._ring_members, self._ring_configuration = members, configuration
        self._rings = EntryRings(self._entry_vms())

    def site_of(self, service: str, address: IpAddress) -> tuple[str, Position]:
        """Return the site that serves the address, and the address's position.

        Raises KeyError if the service is unknown.
        """
        block = self.blocks.find(address)
        key = block.key if block else blocks.unknown_block_key(address)
        home = self.configuration.blocks.sites[block.home] if block else UNKNOWN_HOME
        cuts = self.limiter.cuts[service]
        cut = cuts.get(home) or cuts[UNKNOWN_HOME]
        position = position_of(service, key)
        return site_at(cut, position.point), position

    def entry_vms_for(self, site: str, rotation: int) -> list[Member]:
        """Return the entry VMs to offer for the site, nearest first."""
        region = self.configuration.index.region_by_site.get(site, '')
        by_ordinal = self._members.by_ordinal
        ordinals = self._rings.ordered(site, region, rotation)
        return [by_ordinal[ordinal] for ordinal in ordinals if ordinal in by_ordinal]

    def _step(self) -> None:
        if self.limiter.step(self.configuration, clock.now()):
            self.applied_version = self.configuration.version

    def _entry_vms(self) -> tuple[EntryVm, ...]:
        configuration = self.configuration
        region_by_site = configuration.index.region_by_site
        by_ordinal = self._members.by_ordinal
        usable = {member.claim.ordinal for member in usable_members(by_ordinal)}
        return tuple(
            EntryVm(
                ordinal=ordinal,
                failure_domain=member.claim.failure_domain,
                region=region_by_site.get(member.claim.failure_domain, ''),
                is_leaving=ordinal not in usable
                or ordinal in configuration.entry_drains
                or member.claim.failure_domain in configuration.drained_sites,
            )
            for ordinal, member in by_ordinal.items()
        )


def _stages(configuration: Configuration) -> dict[str, dict[str, int]]:
    stages: dict[str, dict[str, int]] = {}
    for shift in configuration.shifts.values():
        if shift.is_active:
            stages.setdefault(shift.service, {})[shift.name] = shift.stage
    return stages
