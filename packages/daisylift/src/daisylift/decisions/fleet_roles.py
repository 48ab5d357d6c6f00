"""Decides which entry VMs watch the store, and which peers receive gossip.

Load pattern: hundreds of entry VMs behind one store whose rate limits grow more slowly
than the fleet, and a network budget of a few kilobytes a second for each VM. The cost
per VM must not grow with the fleet.

In a small fleet every VM watches the store itself. In a larger one the first live VM
of each failure domain does; the others learn of changes from peers, and call the store
when peers no longer confirm their copies (``copy_age``). If a watcher is lost, updates
from other failure domains cover for it until the next VM takes its place; one that
stops is replaced at once. Heartbeats are sent mostly within a failure domain, because
callers are directed to VMs of their own failure domain.
"""

import random
from collections.abc import Collection, Sequence

from daisylift.models.registered_server import EntryMember

ALL_WATCH_MAX_VMS = 10  # up to this size each watches, and none depends on another
SMALL_FLEET_MAX_VMS = 40  # all heartbeats fit in one or two datagrams
WATCHERS_PER_DOMAIN = 1  # each costs the store one call per change
SAME_DOMAIN_FANOUT = 2  # peers of the local failure domain that get each message
OTHER_DOMAIN_FANOUT = 1  # other peers; carries updates between failure domains


def watches_store(
    own: EntryMember, members: Collection[EntryMember], candidates: Collection[str]
) -> bool:
    """Return whether this VM should watch the store itself.

    ``candidates`` has the names of the VMs that may; one that isn't registered watches.
    """
    if len(members) <= ALL_WATCH_MAX_VMS:
        return True
    same_domain = sorted(
        member.name
        for member in members
        if member.failure_domain == own.failure_domain and member.name in candidates
    )
    return own.name in same_domain[:WATCHERS_PER_DOMAIN] or own.name not in same_domain


def gossip_targets(
    own: EntryMember, members: Collection[EntryMember], rng: random.Random
) -> list[EntryMember]:
    """Return the peers that receive the next gossip message."""
    others = [member for member in members if member.name != own.name]
    if len(members) <= SMALL_FLEET_MAX_VMS:
        return _sample(others, SAME_DOMAIN_FANOUT + OTHER_DOMAIN_FANOUT, rng)
    same_domain = [each for each in others if each.failure_domain == own.failure_domain]
    other_domains = [
        each for each in others if each.failure_domain != own.failure_domain
    ]
    return _sample(same_domain, SAME_DOMAIN_FANOUT, rng) + _sample(
        other_domains, OTHER_DOMAIN_FANOUT, rng
    )


def _sample(
    members: Sequence[EntryMember], count: int, rng: random.Random
) -> list[EntryMember]:
    return rng.sample(members, min(count, len(members)))
