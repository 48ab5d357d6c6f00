"""Selects the entry VMs that a caller should connect to.

Load pattern: callers cache an answer for seconds, and a lost VM removes a large share
of a failure domain's capacity. An answer lists the ready VMs of the caller's failure
domain; if there are none, those of its region; if the region has none, those of the
regions that may serve the host's routes; if these have none, all others.

Link bandwidths of VMs in one failure domain may differ by a factor of twenty. Callers
choose uniformly among the VMs of an answer, so a VM is listed with a probability equal
to its capacity relative to the strongest VM of the group.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

from daisylift.models.registered_server import EntryMember

MAX_LISTED = 64
MIN_LISTED_SHARE = 0.05  # of answers list even the weakest VM, to avoid idling it


def select_entry_addresses(
    region: str,
    failure_domain: str,
    members: Iterable[EntryMember],
    is_ready: Callable[[str], bool],
    random: Callable[[], float],
    home_regions: Collection[str] = (),
) -> list[str]:
    """Return the caller-facing addresses of the entry VMs in the nearest group.

    ``random`` returns a new random number from 0 to 1 on each call. ``home_regions``
    may serve all routes of the host that the caller wants; it is empty if all regions
    may, or none may serve all of them.
    """
    ready = [member for member in members if is_ready(member.name)]
    groups: Sequence[Callable[[EntryMember], bool]] = (
        lambda member: member.failure_domain == failure_domain,
        lambda member: member.region == region,
        lambda member: member.region in home_regions,
        lambda member: True,
    )
    for is_in_group in groups:
        group = [member for member in ready if is_in_group(member)]
        if group:
            return sorted(
                each.caller_address for each in _sample_by_capacity(group, random)
            )[:MAX_LISTED]
    return []


def _sample_by_capacity(
    group: Sequence[EntryMember], random: Callable[[], float]
) -> list[EntryMember]:
    capacities = _relative_capacities(group)
    strongest = max(capacities)
    return [
        member
        for member, share in zip(group, capacities, strict=True)
        if share == strongest or random() < max(MIN_LISTED_SHARE, share / strongest)
    ]


def _relative_capacities(group: Sequence[EntryMember]) -> list[float]:
    """Return each VM's relative capacity: the lower of link and cores."""
    max_link = max(member.link_mbps for member in group) or 1.0
    max_cores = max(member.cores for member in group) or 1.0
    return [
        min(
            (member.link_mbps or max_link) / max_link,
            (member.cores or max_cores) / max_cores,
        )
        for member in group
    ]
