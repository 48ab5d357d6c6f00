"""Membership protocol of one node, as a state machine without I/O.

The caller passes in the time, received messages and the platform's VM list. Messages
to send and events are appended to ``outgoing`` and ``events``; the caller empties
both lists.
"""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from google.protobuf.message import Message

from daisylift.decisions.gossip import GossipUpdateQueue
from daisylift.decisions.member_messages import decode_record, encode_record
from daisylift.decisions.membership import MemberRecord, MemberState, MemberTable
from daisylift.decisions.probing import (
    PROBED_STATES,
    Prober,
    ProbeStep,
    ProcessDelayed,
    RequestHelperProbes,
    SendProbe,
    Suspect,
)
from daisylift.decisions.vm_list import VmListTracker
from daisylift.schema import peer_pb2 as pb

UPDATES_PER_MESSAGE = 4
UPDATES_PER_BULK_MESSAGE = 8
BULK_MESSAGES = 16
UPDATE_FANOUT = 2
LEAVING_FANOUT = 32
SEED_TICKS = 8
EVICTION_TICKS = 240
SETTLE_SECONDS = 3.0
SYNC_PERIOD_SECONDS = 5.0
BOOTSTRAP_SYNC_PERIOD_SECONDS = 0.5
HELP_TIMEOUT_SECONDS = 0.6
MAX_HELP_REQUESTS = 16

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to send."""

    address: Address
    body: Message


@dataclass(frozen=True, slots=True)
class MemberEvent:
    """A membership event and the VM that it concerns."""

    name: str
    vm: str


@dataclass(frozen=True, slots=True)
class _HelpRequest:
    vm: str
    requester: Address
    until: float


class MemberProtocol:
    """Keeps this node's member table consistent with those of the other nodes."""

    def __init__(
        self,
        own: MemberRecord,
        seeds: Sequence[Address],
        rng: random.Random,
        now: float,
    ) -> None:
        self.table = MemberTable(own)
        self.outgoing: list[Outgoing] = []
        self.events: list[MemberEvent] = []
        self._seeds = tuple(seeds)
        self._rng = rng
        self._prober = Prober(rng)
        self._update_queue = GossipUpdateQueue()
        self._vm_list = VmListTracker()
        self._help_requests: list[_HelpRequest] = []
        self._ticks = 0
        self._is_bootstrapping = True
        self._changed_at = now
        self._synced_at = now - SYNC_PERIOD_SECONDS
        self._queue_update(own, now, with_details=True)

    def tick(self, now: float) -> None:
        """Run the periodic work; call this every ``TICK_SECONDS``."""
        self._ticks += 1
        for step in self._prober.tick(now, self.table):
            self._run_step(step, now)
        if self._update_queue.has_unsent():
            body = pb.MemberUpdates(updates=self._take_updates())
            for record in self._sample(UPDATE_FANOUT):
                self._send(record.details.peer_address, body)
        if self._ticks % SEED_TICKS == 1 and not self.table.others(MemberState.ALIVE):
            self._probe_seeds()
        if self._ticks % EVICTION_TICKS == 0:
            self.table.evict_gone(now)

    def announce(
        self,
        now: float,
        *,
        ordinal: int | None,
        leaving: bool = False,
        stopped: bool = False,
    ) -> None:
        """Announce this node's own state.

        That it is leaving or has stopped is also sent to ``LEAVING_FANOUT`` members
        at once.
        """
        own = self.table.update_own(
            now, ordinal=ordinal, leaving=leaving, stopped=stopped
        )
        self._queue_update(own, now, with_details=True)
        if not leaving and not stopped:
            return
        body = pb.MemberUpdates(updates=[encode_record(own, with_details=True)])
        for record in self._sample(LEAVING_FANOUT):
            self._send(record.details.peer_address, body)

    def add_member(self, record: MemberRecord, now: float) -> None:
        """Add or update a member that was found in the platform's claims."""
        if self.table.apply(record, now) is not None:
            self._changed_at = now

    def on_vm_list(self, state_by_vm: Mapping[str, str], now: float) -> None:
        """Apply the platform's VM list, which maps VM ids to states."""
        for record in self._vm_list.apply(self.table, state_by_vm, now):
            self._event(f'listed-{record.state.value}', record.vm)
            self._queue_update(record, now)

    def on_contact(self, vm: str, incarnation: str, now: float) -> None:
        """Record that a message of any kind from a member was accepted.

        Nodes that requested a helper probe of this member learn that it is alive.
        """
        self._prober.record_message(vm, incarnation)
        if not self._help_requests:
            return
        for request in self._help_requests:
            if request.vm == vm and now < request.until:
                self._send(request.requester, pb.HelpProbeAnswer(vm=vm))
        self._help_requests = [
            h for h in self._help_requests if h.vm != vm and now < h.until
        ]

    def on_message(self, vm: str, address: Address, body: Message, now: float) -> None:
        """Handle a membership message from a VM."""
        match body:
            case pb.Probe():
                self._on_probe(vm, address, body, now)
            case pb.ProbeAnswer():
                self._apply(body.updates, now)
                self._sync_if_different(address, body.digest, now)
            case pb.HelpProbe():
                self._on_help_probe(address, body, now)
            case pb.HelpProbeAnswer():
                self._prober.record_confirmation(body.vm)
            case pb.MemberUpdates():
                self._apply(body.updates, now, bulk=body.bulk)
            case pb.MemberSync():
                self._on_sync(address, body)

    def _run_step(self, step: ProbeStep, now: float) -> None:
        match step:
            case SendProbe(target):
                self._send(target.details.peer_address, self._probe(target.vm))
            case RequestHelperProbes(target, helpers):
                host, port = target.details.peer_address
                body = pb.HelpProbe(vm=target.vm, host=host, port=port)
                for helper in helpers:
                    self._send(helper.details.peer_address, body)
            case Suspect(vm, incarnation):
                record = self.table.mark_suspect(vm, incarnation, now)
                if record is not None:
                    self._event('suspected', vm)
                    self._queue_update(record, now)
            case ProcessDelayed():
                self._event('late', self.table.own_vm)

    def _probe_seeds(self) -> None:
        own = encode_record(self.table.own, with_details=True)
        for seed in self._seeds:
            self._send(seed, pb.Probe(updates=[own]))

    def _on_probe(self, vm: str, address: Address, body: pb.Probe, now: float) -> None:
        is_new_member = vm not in self.table.by_vm
        self._apply(body.updates, now)
        updates = self._take_updates(receiver=vm)
        if is_new_member:
            updates.append(encode_record(self.table.own, with_details=True))
        self._send(address, pb.ProbeAnswer(updates=updates, digest=self.table.digest()))
        self._sync_if_different(address, body.digest, now)

    def _on_help_probe(
        self, requester: Address, body: pb.HelpProbe, now: float
    ) -> None:
        if len(self._help_requests) >= MAX_HELP_REQUESTS:
            self._help_requests = [h for h in self._help_requests if now < h.until]
        if len(self._help_requests) >= MAX_HELP_REQUESTS:
            return
        self._help_requests.append(
            _HelpRequest(body.vm, requester, now + HELP_TIMEOUT_SECONDS)
        )
        self._send((body.host, body.port), self._probe(body.vm))

    def _on_sync(self, address: Address, body: pb.MemberSync) -> None:
        records = self.table.differing_records(body.bucket_digests)
        self._rng.shuffle(records)
        size = UPDATES_PER_BULK_MESSAGE
        for start in range(0, min(len(records), size * BULK_MESSAGES), size):
            updates = [
                encode_record(record, with_details=True)
                for record in records[start : start + size]
            ]
            self._send(address, pb.MemberUpdates(updates=updates, bulk=True))
        if body.digests_wanted:
            self._send_sync(address, digests_wanted=False)

    def _sync_if_different(self, address: Address, digest: int, now: float) -> None:
        """Start a sync if the digests differ and no update came in recently.

        While updates still spread, differing digests are normal.
        """
        if digest in (0, self.table.digest()):
            return
        if not self._is_bootstrapping and now - self._changed_at < SETTLE_SECONDS:
            return
        period = (
            BOOTSTRAP_SYNC_PERIOD_SECONDS
            if self._is_bootstrapping
            else SYNC_PERIOD_SECONDS
        )
        if now - self._synced_at < period:
            return
        self._synced_at = now
        self._is_bootstrapping = False
        self._send_sync(address, digests_wanted=True)

    def _send_sync(self, address: Address, *, digests_wanted: bool) -> None:
        self._event('synced', self.table.own_vm)
        body = pb.MemberSync(
            bucket_digests=self.table.bucket_digests(), digests_wanted=digests_wanted
        )
        self._send(address, body)

    def _apply(
        self, updates: Sequence[pb.MemberUpdate], now: float, *, bulk: bool = False
    ) -> None:
        was_superseded = self.table.superseded
        for update in updates:
            incoming = decode_record(update, self.table)
            if incoming is None:
                self._event('unusable-update', update.vm)
                continue
            current = self.table.by_vm.get(incoming.vm)
            record = self.table.apply(incoming, now)
            if record is None:
                continue
            if record.vm == self.table.own_vm:
                self._event('refuted', record.vm)
            if bulk and current is None:
                self._is_bootstrapping = True
                self._changed_at = now
            else:
                self._queue_update(
                    record, now, with_details=_details_changed(current, record)
                )
        if self.table.superseded and not was_superseded:
            self._event('superseded', self.table.own_vm)

    def _queue_update(
        self, record: MemberRecord, now: float, *, with_details: bool = False
    ) -> None:
        self._changed_at = now
        self._update_queue.push(record.vm, with_details=with_details)

    def _probe(self, vm: str) -> pb.Probe:
        return pb.Probe(updates=self._take_updates(vm), digest=self.table.digest())

    def _take_updates(self, receiver: str = '') -> list[pb.MemberUpdate]:
        """Return queued updates to send.

        If the receiver is not seen as alive, its own record comes first, so that it
        can refute it.
        """
        updates = []
        record = self.table.by_vm.get(receiver)
        if record is not None and record.state is not MemberState.ALIVE:
            updates.append(encode_record(record, with_details=False))
        for update in self._update_queue.take(
            UPDATES_PER_MESSAGE, len(self.table.by_vm)
        ):
            record = self.table.by_vm.get(update.vm)
            if record is not None:
                updates.append(encode_record(record, with_details=update.with_details))
        return updates

    def _sample(self, count: int) -> list[MemberRecord]:
        others = self.table.others(*PROBED_STATES)
        return self._rng.sample(others, min(count, len(others)))

    def _send(self, address: Address, body: Message) -> None:
        self.outgoing.append(Outgoing(address, body))

    def _event(self, name: str, vm: str) -> None:
        self.events.append(MemberEvent(name, vm))


def _details_changed(current: MemberRecord | None, record: MemberRecord) -> bool:
    if current is None or current.incarnation != record.incarnation:
        return True
    return current.details != record.details
