"""Names the entry VMs that a caller should connect to.

Load pattern: callers keep an answer for seconds, and a lost VM takes a large share of
a failure domain's capacity. The ready VMs of the caller's own failure domain are named;
if it has none, those of its region; only if the whole region has none, all others.
"""

from collections.abc import Callable, Iterable, Sequence

from daisylift.models.registered_server import EntryMember

MAX_NAMED = 64


def entries_for(
    region: str,
    failure_domain: str,
    members: Iterable[EntryMember],
    is_ready: Callable[[str], bool],
) -> list[str]:
    """Return the callers' addresses of the entry VMs to use, nearest group first."""
    ready = [member for member in members if is_ready(member.name)]
    groups: Sequence[Callable[[EntryMember], bool]] = (
        lambda member: member.failure_domain == failure_domain,
        lambda member: member.region == region,
        lambda member: True,
    )
    for belongs in groups:
        addresses = [member.caller_address for member in ready if belongs(member)]
        if addresses:
            return sorted(addresses)[:MAX_NAMED]
    return []
