"""Order in which a lookup lists the entry VMs for a site."""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import xxhash

MAX_ENTRY_VMS = 8
DOMAIN_ENTRY_VMS = 4
REGION_ENTRY_VMS = 2


@dataclass(frozen=True, slots=True)
class EntryVm:
    """An entry VM as currently known to this node."""

    ordinal: int
    failure_domain: str
    region: str
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class _Ring:
    points: tuple[int, ...]
    ordinals: tuple[int, ...]

    def walk(self, rotation: int) -> Iterator[int]:
        first = bisect_left(self.points, rotation)
        yield from self.ordinals[first:]
        yield from self.ordinals[:first]


class EntryRings:
    """Consistent-hash rings of entry VMs, by failure domain, by region and overall.

    A VM's position on a ring depends only on its ordinal, so a VM that joins or
    leaves moves only its own callers. Leaving VMs are omitted unless all are leaving.
    """

    def __init__(self, vms: Iterable[EntryVm]) -> None:
        all_vms = list(vms)
        staying = [vm for vm in all_vms if not vm.is_leaving] or all_vms
        self._by_domain = _rings(staying, lambda vm: vm.failure_domain)
        self._by_region = _rings(staying, lambda vm: vm.region)
        self._all = _rings(staying, lambda _: '').get('', _Ring((), ()))

    def ordered(self, site: str, region: str, rotation: int) -> list[int]:
        """Return at most ``MAX_ENTRY_VMS`` ordinals, those nearest to the site first.

        ``rotation`` is the 32-bit position on the rings at which to start.
        """
        chosen: dict[int, None] = {}
        empty = _Ring((), ())
        rings = (
            (self._by_domain.get(site, empty), DOMAIN_ENTRY_VMS),
            (self._by_region.get(region, empty), REGION_ENTRY_VMS),
            (self._all, MAX_ENTRY_VMS),
        )
        for ring, count in rings:
            limit = min(MAX_ENTRY_VMS, len(chosen) + count)
            for ordinal in ring.walk(rotation):
                if len(chosen) >= limit:
                    break
                chosen[ordinal] = None
        return list(chosen)


def _rings(vms: list[EntryVm], key_of: Callable[[EntryVm], str]) -> dict[str, _Ring]:
    points_by_key: dict[str, list[tuple[int, int]]] = {}
    for vm in vms:
        point = xxhash.xxh32_intdigest(str(vm.ordinal).encode())
        points_by_key.setdefault(key_of(vm), []).append((point, vm.ordinal))
    rings = {}
    for key, points in points_by_key.items():
        points.sort()
        rings[key] = _Ring(
            points=tuple(point for point, _ in points),
            ordinals=tuple(ordinal for _, ordinal in points),
        )
    return rings
