"""Permit ledger of one node: which backend server slots it may use at the moment.

All times are in seconds of the node's own monotonic clock and are passed in.
"""

import heapq
import math
from collections.abc import Iterator, Mapping

from daisylift.decisions.apportion import EMPTY_LAYOUT, Apportioner, Layout
from daisylift.decisions.configuration import Configuration, ServerKey
from daisylift.decisions.confirmations import Confirmations, Masks, losses_between
from daisylift.decisions.permit import (
    DEFAULT_REQUEST_SECONDS,
    UNKNOWN_OUTCOME_GRACE_SECONDS,
    BorrowedSlots,
    Permit,
)
from daisylift.decisions.slot_state import LostSlots, PendingRelease, ServerSlots


class PermitLedger:
    """Decides which slots this node may use, and which version it has confirmed."""

    def __init__(self) -> None:
        self.ordinal: int | None = None
        self.epoch = 0
        self.configuration = Configuration()
        self.confirmations = Confirmations()
        self._apportioner = Apportioner()
        self._layout: Layout = EMPTY_LAYOUT
        self._by_server: dict[ServerKey, ServerSlots] = {}
        self._held_by_service: dict[str, dict[ServerKey, ServerSlots]] = {}
        self._borrowed: dict[ServerKey, list[BorrowedSlots]] = {}
        self._busy_lost_slots: list[LostSlots] = []
        self._pending_releases: list[PendingRelease] = []
        self._predecessor_until: dict[str, float] = {}
        self._request_seconds: dict[str, float] = {}
        self._cold_seconds: dict[str, float] = {}

    def set_configuration(self, configuration: Configuration, now: float) -> None:
        """Switch to a later configuration; lost slots are not used from then on."""
        before = self.configuration
        if configuration.version <= before.version:
            return
        layout = self._apportioner.apportion(configuration.policy, configuration.vacant)
        if configuration.version == before.version + 1:
            self._advance(configuration.version, layout)
        else:
            self._skip(before.version, configuration.version)
        self._layout = layout
        self.configuration = configuration
        for ordinal in configuration.vacant - before.vacant:
            self.confirmations.vacate(ordinal, configuration.version)
        self._update_services(before, now)
        self._recompute()

    def set_ordinal(
        self,
        ordinal: int,
        epoch: int,
        predecessor_until: Mapping[str, float] | None = None,
    ) -> None:
        """Start to use an ordinal's slots.

        Before that, the ordinal's claim must have been written, and the change log
        read after that write. ``predecessor_until`` maps services to the time until
        which a predecessor's requests may run.
        """
        self.ordinal = ordinal
        self.epoch = epoch
        self._predecessor_until = dict(predecessor_until or {})
        self._recompute()

    def drop_ordinal(self) -> None:
        """Stop using own slots; slots in use or lent remain counted as such."""
        self.ordinal = None
        self._recompute()

    def record_confirmed(self, ordinal: int, version: int) -> None:
        """Record the confirmed version of another ordinal."""
        if self.confirmations.record(ordinal, version):
            self._recompute()

    def confirmed_version(self, now: float) -> int | None:
        """Return the version that this node's ordinal has confirmed, or None."""
        if self.ordinal is None:
            return None
        if self.awaits_predecessor(now):
            return None
        if self._busy_lost_slots:
            return min(lost.version for lost in self._busy_lost_slots) - 1
        return self.configuration.version

    def awaits_predecessor(self, now: float) -> bool:
        """Return whether a predecessor's requests or leases may still be active."""
        return any(until > now for until in self._predecessor_until.values())

    def awaited(self) -> set[int]:
        """Return the ordinals that must confirm before all own slots are usable."""
        if self.ordinal is None:
            return set()
        below_floor = self.confirmations.below_floor(
            self.ordinal, self.configuration.occupied
        )
        own = {key: state.own for key, state in self._by_server.items() if state.own}
        return below_floor | self.confirmations.awaited(self.ordinal, own)

    def free_slots(self, server: ServerKey, now: float) -> int:
        """Return the number of slots on which a request could start now."""
        self.expire(now)
        count = self._free_own(server, now).bit_count()
        for slots in self._borrowed.get(server, ()):
            count += slots.free(now).bit_count()
        return count

    def take(self, server: ServerKey, now: float) -> Permit | None:
        """Return a permit for an own slot, else for a borrowed one, else None."""
        self.expire(now)
        free = self._free_own(server, now)
        seconds = self.request_seconds(server.service)
        if free:
            slot = _lowest(free)
            self._by_server[server].used |= 1 << slot
            return Permit(server, slot, longest_request_seconds=seconds)
        for slots in self._borrowed.get(server, ()):
            free = slots.free(now)
            if free:
                return slots.take(_lowest(free))
        return None

    def release(
        self, permit: Permit, now: float, uncertain_until: float | None = None
    ) -> None:
        """End the use of a permit.

        If the request's outcome is unknown, its slot is freed only at
        ``uncertain_until``, when the request must have ended.
        """
        if uncertain_until is not None and uncertain_until > now:
            heapq.heappush(
                self._pending_releases, PendingRelease(uncertain_until, permit)
            )
            return
        self._free(permit)

    def expire(self, now: float) -> bool:
        """Free the slots of requests of unknown outcome that must have ended by now.

        Return whether there were any.
        """
        if not self._pending_releases or self._pending_releases[0].until > now:
            return False
        while self._pending_releases and self._pending_releases[0].until <= now:
            self._free(heapq.heappop(self._pending_releases).permit)
        return True

    def mark_cold(self, server: ServerKey, now: float) -> None:
        """Make the server's slots usable only gradually, over its cold start time."""
        state = self._by_server.get(server)
        if state is not None:
            state.cold_since = now

    def request_seconds(self, service: str) -> float:
        """Return the longest time that a request of the service may run."""
        seconds = self._request_seconds.get(service, DEFAULT_REQUEST_SECONDS)
        return seconds + UNKNOWN_OUTCOME_GRACE_SECONDS

    def longest_request_seconds(self) -> float:
        """Return the longest time that a request of any service may run."""
        seconds = max(self._request_seconds.values(), default=DEFAULT_REQUEST_SECONDS)
        return seconds + UNKNOWN_OUTCOME_GRACE_SECONDS

    def idle_masks(self, service: str, now: float) -> Iterator[tuple[ServerKey, int]]:
        """Yield the free own slots of a service, by server."""
        for server in self._held_by_service.get(service, {}):
            free = self._free_own(server, now)
            if free:
                yield server, free

    def still_owns(self, server: ServerKey, mask: int) -> bool:
        """Return whether this node owns the slots and lost none while it was busy."""
        state = self._by_server.get(server)
        if state is None or mask & ~state.own:
            return False
        return not any(
            lost.masks.get(server, 0) & mask for lost in self._busy_lost_slots
        )

    def in_use(self) -> Iterator[tuple[ServerKey, int]]:
        """Yield the own slots on which a request runs or may still run, by server."""
        for server, state in self._by_server.items():
            if state.used:
                yield server, state.used

    def usage(self, service: str, now: float) -> tuple[int, int]:
        """Return the numbers of used and of held slots of the service.

        Held slots are those in use or free, own and borrowed.
        """
        used = held = 0
        for server, state in self._held_by_service.get(service, {}).items():
            used += state.used.bit_count()
            held += (self._free_own(server, now) | state.used).bit_count()
        for slots in self.borrowed(service):
            used += slots.used.bit_count()
            held += (slots.free(now) | slots.used).bit_count()
        return used, held

    def lend(self, server: ServerKey, mask: int) -> None:
        """Mark own slots as lent."""
        state = self._by_server.setdefault(server, ServerSlots())
        state.lent |= mask
        self._held_by_service.setdefault(server.service, {})[server] = state

    def inherit(self, server: ServerKey, mask: int, confirmed: int) -> None:
        """Mark slots as lent that a predecessor left in use.

        ``confirmed`` is the version that the predecessor had confirmed.
        """
        self.lend(server, mask)
        if self.configuration.version > confirmed:
            self._track_lost(confirmed + 1, {server: mask})

    def end_loan(self, server: ServerKey, mask: int) -> None:
        """Mark lent slots as free again."""
        state = self._by_server[server]
        state.lent &= ~mask
        self._stop_tracking_lost(server, mask)

    def borrow(self, slots: BorrowedSlots) -> None:
        """Add borrowed slots to those that requests may use."""
        self._borrowed.setdefault(slots.server, []).append(slots)

    def give_back(self, slots: BorrowedSlots, mask: int) -> None:
        """Remove slots that are not in use from the borrowed slots."""
        slots.mask &= ~(mask & ~slots.used)
        if slots.mask:
            return
        self._borrowed[slots.server].remove(slots)
        if not self._borrowed[slots.server]:
            del self._borrowed[slots.server]

    def borrowed(self, service: str | None = None) -> Iterator[BorrowedSlots]:
        """Yield the borrowed slots of one service, or of all services."""
        for server, leased in list(self._borrowed.items()):
            if service is None or server.service == service:
                yield from list(leased)

    def _advance(self, version: int, layout: Layout) -> None:
        losses = losses_between(self._layout, layout)
        self.confirmations.record_losses(version, losses)
        self._track_lost(version, losses.get(self.ordinal, {}))

    def _skip(self, previous: int, version: int) -> None:
        """Treat all slots as lost, as other ordinals may have owned them in between."""
        if previous == 0 and self.ordinal is None:
            self.confirmations.skip_to(version)
            return
        self.confirmations.skip_to(version)
        # A mask of -1 has all bits set: every slot of the server.
        self._track_lost(previous + 1, {server: -1 for server in self._by_server})

    def _track_lost(self, version: int, masks: Masks) -> None:
        """Track the busy ones of the slots that were lost with the version."""
        busy = {
            server: mask & self._by_server[server].busy
            for server, mask in masks.items()
            if server in self._by_server and mask & self._by_server[server].busy
        }
        if busy:
            self._busy_lost_slots.append(LostSlots(version, busy))

    def _stop_tracking_lost(self, server: ServerKey, mask: int) -> None:
        """Stop tracking lost slots that have become idle."""
        for lost in self._busy_lost_slots:
            remaining = lost.masks.get(server, 0) & ~mask
            if remaining:
                lost.masks[server] = remaining
            else:
                lost.masks.pop(server, None)
        self._busy_lost_slots = [lost for lost in self._busy_lost_slots if lost.masks]

    def _update_services(self, before: Configuration, now: float) -> None:
        for service in self.configuration.policy.services:
            previous = self._request_seconds.get(service.name, 0.0)
            self._request_seconds[service.name] = max(previous, service.timeout_seconds)
            self._cold_seconds[service.name] = service.cold_start_seconds
        for server in self._layout.owners_by_server:
            if server in self._by_server:
                continue
            cold_since = now if before.version else -math.inf
            self._by_server[server] = ServerSlots(cold_since=cold_since)

    def _recompute(self) -> None:
        usable = self._may_use_own()
        blocked = self.confirmations.blocked(self.ordinal) if usable else {}
        for server, state in list(self._by_server.items()):
            state.own = self._layout.mask(server, self.ordinal) if usable else 0
            state.blocked = blocked.get(server, 0)
            if server not in self._layout.owners_by_server and not state.busy:
                del self._by_server[server]
        if usable and self.confirmations.below_floor(
            self.ordinal, self.configuration.occupied
        ):
            for state in self._by_server.values():
                state.blocked = -1  # all slots
        self._index_held()

    def _index_held(self) -> None:
        """Index the few servers on which this node owns, uses or lends slots."""
        self._held_by_service = {}
        for server, state in self._by_server.items():
            if state.own or state.busy:
                held = self._held_by_service.setdefault(server.service, {})
                held[server] = state

    def _may_use_own(self) -> bool:
        if self.ordinal is None:
            return False
        return self.configuration.epochs.get(self.ordinal) == self.epoch

    def _free_own(self, server: ServerKey, now: float) -> int:
        state = self._by_server.get(server)
        if state is None or now < self._predecessor_until.get(
            server.service, -math.inf
        ):
            return 0
        free = state.own & ~(state.blocked | state.used | state.lent)
        if free and state.cold_since > -math.inf:
            free &= self._warm_mask(server, state, now)
        return free

    def _warm_mask(self, server: ServerKey, state: ServerSlots, now: float) -> int:
        """Return the slots usable during a cold start; they grow with elapsed time."""
        slots = len(self._layout.owners_by_server.get(server, ()))
        seconds = self._cold_seconds.get(server.service, 0.0)
        elapsed = now - state.cold_since
        if elapsed >= seconds:
            state.cold_since = -math.inf
            return -1
        return (1 << 1 + int((slots - 1) * elapsed / seconds)) - 1

    def _free(self, permit: Permit) -> None:
        if permit.lease is None:
            self._by_server[permit.server].used &= ~(1 << permit.slot)
            self._stop_tracking_lost(permit.server, 1 << permit.slot)
            return
        for slots in self._borrowed.get(permit.server, ()):
            if slots.lease == permit.lease and slots.used >> permit.slot & 1:
                slots.used &= ~(1 << permit.slot)
                return


def _lowest(mask: int) -> int:
    return (mask & -mask).bit_length() - 1
