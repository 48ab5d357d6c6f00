"""Who asks the store, and who tells whom, so that cost does not grow with the fleet.

Load pattern: hundreds of entry VMs behind one store whose rates grow more slowly than
the fleet, and a budget of a few kilobytes a second for each VM. In a small fleet every
VM watches the store itself. In a larger one the first live VM of each failure domain
does; the others hear from peers that there is news, and ask the store only now and
then. A watcher that is lost is made up for by the news of other failure domains until
the next VM takes its place. Heartbeats go
mostly inside a failure domain, as callers are sent to VMs of their own.
"""

import random
from collections.abc import Collection, Sequence

from daisylift.models.registered_server import EntryMember

ALL_WATCH_FLEET = 10  # VMs; up to here each watches, and none waits for another
SMALL_FLEET = 40  # VMs; up to here heartbeats of all reach all in one datagram or two
WATCHERS = 1  # of each failure domain; a change costs the store a call for each
NEAR_FANOUT = 2  # peers of the own failure domain told each time
FAR_FANOUT = 1  # others told each time; carries news between failure domains


def watches_store(
    own: EntryMember, members: Collection[EntryMember], live: Collection[str]
) -> bool:
    """Say whether this VM should keep watching the store itself."""
    if len(members) <= ALL_WATCH_FLEET:
        return True
    near = sorted(
        member.name
        for member in members
        if member.failure_domain == own.failure_domain and member.name in live
    )
    return own.name in near[:WATCHERS] or own.name not in near


def gossip_targets(
    own: EntryMember, members: Collection[EntryMember], choice: random.Random
) -> list[EntryMember]:
    """Return the peers to tell this time."""
    others = [member for member in members if member.name != own.name]
    if len(members) <= SMALL_FLEET:
        return _sample(others, NEAR_FANOUT + FAR_FANOUT, choice)
    near = [each for each in others if each.failure_domain == own.failure_domain]
    far = [each for each in others if each.failure_domain != own.failure_domain]
    return _sample(near, NEAR_FANOUT, choice) + _sample(far, FAR_FANOUT, choice)


def _sample(
    members: Sequence[EntryMember], count: int, choice: random.Random
) -> list[EntryMember]:
    return choice.sample(members, min(count, len(members)))
