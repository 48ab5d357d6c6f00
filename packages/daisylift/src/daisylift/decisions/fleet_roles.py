"""Decides which entry VMs watch the store, and which peers receive gossip.

Load pattern: hundreds of entry VMs behind one store whose rate limits grow more slowly
than the fleet, and a network budget of a few kilobytes a second for each VM. The cost
per VM must not grow with the fleet.

In a small fleet every VM watches the store itself. In a larger one the first live VM of
each failure domain does; the others learn of changes from peers and query the store
only now and then. If a watcher is lost, updates from other failure domains cover for it
until the next VM takes its place. Heartbeats are sent mostly within a failure domain,
because callers are directed to VMs of their own failure domain.
"""

import random
from collections.abc import Collection, Sequence

from daisylift.models.registered_server import EntryMember

ALL_WATCH_FLEET = 10  # VMs; up to this size each watches, and none depends on another
SMALL_FLEET = 40  # VMs; up to this size all heartbeats fit in one or two datagrams
WATCHERS = 1  # per failure domain; each costs the store one call per change
NEAR_FANOUT = 2  # peers of the local failure domain that get each message
FAR_FANOUT = 1  # other peers; carries updates between failure domains


def watches_store(
    own: EntryMember, members: Collection[EntryMember], live: Collection[str]
) -> bool:
    """Return whether this VM should watch the store itself."""
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
    """Return the peers that receive the next gossip message."""
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
