"""Divides the request rate that a backend server accepts among the entry VMs.

Load pattern: a server names one rate for all nodes together, while nodes are cut off
from each other, restart, or have not heard of it yet. The rate is divided among the
registered nodes, alive or not, so the shares add up to it without messages. Nodes
in the region of the server send it most of its requests and have larger shares. If
there are more nodes than requests per second in the rate, a hash selects as many nodes
for each server; the sum of their bursts then stays below one second of the rate.

A node without a share still sends a request if nobody has heard of the limit for long,
so that it notices when the limit is withdrawn.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from heapq import nsmallest

from xxhash import xxh3_64_intdigest

SAME_REGION_WEIGHT = 8.0  # relative to nodes of other regions
MIN_PER_SECOND = 0.1  # a server that accepts nothing is asked again now and then
MIN_PROBE_SECONDS = 10.0
PROBE_RATE_SHARE = 0.25  # of the limit; upper bound of the probes of all nodes
HALF_BITS = 32


@dataclass(frozen=True, slots=True)
class LimitShare:
    """The share of one node in the limit of a server.

    ``per_second`` is 0 for a node without a share. Such a node may send a request after
    ``probe_seconds`` in which it has not heard of the limit.
    """

    per_second: float
    probe_seconds: float


@dataclass(frozen=True, slots=True)
class _Part:
    """The part of this node in any limit that selects the same number of nodes."""

    region: str
    selected_count: int
    fraction: float
    probe_spread: float


class LimitShares:
    """The shares of this node, ``local_name``, in the limits of servers."""

    def __init__(self, local_name: str) -> None:
        self._local_name = local_name
        self._region_by_name: Mapping[str, str] = {}
        self._parts_by_id: dict[str, _Part] = {}

    def set_nodes(self, region_by_name: Mapping[str, str]) -> None:
        """Set the registered nodes and their regions."""
        self._region_by_name = region_by_name
        self._parts_by_id.clear()

    def share(self, server_id: str, region: str, per_second: float) -> LimitShare:
        """Return the share in the limit of a server in the region.

        A node that is not registered has none: the others do not know of it yet.
        """
        rate = max(per_second, MIN_PER_SECOND)
        node_count = len(self._region_by_name)
        selected_count = min(node_count, max(1, int(rate)))
        part = self._parts_by_id.get(server_id)
        if part is None or (part.region, part.selected_count) != (
            region,
            selected_count,
        ):
            part = self._compute_part(server_id, region, selected_count)
            self._parts_by_id[server_id] = part
        interval = node_count / (PROBE_RATE_SHARE * rate)
        probe_seconds = max(MIN_PROBE_SECONDS, interval) * part.probe_spread
        return LimitShare(rate * part.fraction, probe_seconds)

    def discard(self, server_id: str) -> None:
        """Discard the shares in the limits of a server that is gone."""
        self._parts_by_id.pop(server_id, None)

    def _compute_part(self, server_id: str, region: str, selected_count: int) -> _Part:
        weight_by_name = {
            name: SAME_REGION_WEIGHT if each == region else 1.0
            for name, each in self._region_by_name.items()
        }
        selected = nsmallest(
            selected_count,
            weight_by_name,
            key=lambda name: _exponential(server_id, name) / weight_by_name[name],
        )
        fraction = 0.0
        if self._local_name in selected:
            total = sum(weight_by_name[name] for name in selected)
            fraction = weight_by_name[self._local_name] / total
        spread = 1.0 + _fraction(_digest(server_id, self._local_name))
        return _Part(region, selected_count, fraction, spread)


def _exponential(server_id: str, name: str) -> float:
    """Return an exponentially distributed hash: weighted rendezvous hashing."""
    return -math.log(1.0 - _fraction(_digest(server_id, name) >> HALF_BITS))


def _digest(server_id: str, name: str) -> int:
    return xxh3_64_intdigest(f'{server_id}/{name}'.encode())


def _fraction(digest: int) -> float:
    return (digest & ((1 << HALF_BITS) - 1)) / (1 << HALF_BITS)
