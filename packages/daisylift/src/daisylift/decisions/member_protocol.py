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
from daisylift.decisions.member_messages import record_of, update_of
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
from daisylift.decisions.vm_list import VmListReader
from daisylift.schema import peer_pb2 as pb

UPDATES_PER_MESSAGE = 4
UPDATES_PER_BULK_MESSAGE = 8
BULK_MESSAGES = 16
NEWS_FANOUT = 2
LEAVING_FANOUT = 32
SEED_TICKS = 8
FORGET_TICKS = 240
QUIET_SECONDS = 3.0
SYNC_PERIOD_SECONDS = 5.0
FILL_PERIOD_SECONDS = 0.5
HELP_SECONDS = 0.6
MAX_HELPS = 16

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
class _Help:
    vm: str
    asker: Address
    until: float


class MemberProtocol:
    """Keeps this node's member table consistent with those of the other nodes."""

    def __init__(
        self,
        own: MemberRecord,
        seeds: Sequence[Address],
        choice: random.Random,
        now: float,
    ) -> None:
        self.table = MemberTable(own)
        self.outgoing: list[Outgoing] = []
        self.events: list[MemberEvent] = []
        self._seeds = tuple(seeds)
        self._choice = choice
        self._prober = Prober(choice)
        self._news = GossipUpdateQueue()
        self._vm_list = VmListReader()
        self._helps: list[_Help] = []
        self._ticks = 0
        self._filling = True
        self._changed_at = now
        self._synced_at = now - SYNC_PERIOD_SECONDS
        self._note(own, now, with_details=True)

    def tick(self, now: float) -> None:
        """Run the periodic work; call this every ``TICK_SECONDS``."""
        self._ticks += 1
        for step in self._prober.tick(now, self.table):
            self._take_step(step, now)
        if self._news.has_unsent():
            body = pb.MemberUpdates(updates=self._news_updates())
            for record in self._sample(NEWS_FANOUT):
                self._send(record.details.peer_address, body)
        if self._ticks % SEED_TICKS == 1 and not self.table.others(MemberState.ALIVE):
            self._probe_seeds()
        if self._ticks % FORGET_TICKS == 0:
            self.table.forget(now)

    def say(
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
        own = self.table.say(now, ordinal=ordinal, leaving=leaving, stopped=stopped)
        self._note(own, now, with_details=True)
        if not leaving and not stopped:
            return
        body = pb.MemberUpdates(updates=[update_of(own, with_details=True)])
        for record in self._sample(LEAVING_FANOUT):
            self._send(record.details.peer_address, body)

    def learn(self, record: MemberRecord, now: float) -> None:
        """Add a member that was found in the platform's claims."""
        if self.table.apply(record, now) is not None:
            self._changed_at = now

    def on_vm_list(self, state_by_vm: Mapping[str, str], now: float) -> None:
        """Apply the platform's VM list, which maps VM ids to states."""
        for record in self._vm_list.apply(self.table, state_by_vm, now):
            self._event(f'listed-{record.state.value}', record.vm)
            self._note(record, now)

    def on_heard(self, vm: str, incarnation: str, now: float) -> None:
        """Record that a message from a member was accepted, of whatever kind."""
        self._prober.record_message(vm, incarnation)
        if not self._helps:
            return
        for help_ in self._helps:
            if help_.vm == vm and now < help_.until:
                self._send(help_.asker, pb.HelpProbeAnswer(vm=vm))
        self._helps = [h for h in self._helps if h.vm != vm and now < h.until]

    def on_message(self, vm: str, address: Address, body: Message, now: float) -> None:
        """Handle a membership message from a VM."""
        match body:
            case pb.Probe():
                self._on_probe(vm, address, body, now)
            case pb.ProbeAnswer():
                self._apply(body.updates, now)
                self._compare(address, body.digest, now)
            case pb.HelpProbe():
                self._on_help_probe(address, body, now)
            case pb.HelpProbeAnswer():
                self._prober.record_confirmation(body.vm)
            case pb.MemberUpdates():
                self._apply(body.updates, now, bulk=body.bulk)
            case pb.MemberSync():
                self._on_sync(address, body)

    def _take_step(self, step: ProbeStep, now: float) -> None:
        match step:
            case SendProbe(target):
                self._send(target.details.peer_address, self._probe(target.vm))
            case RequestHelperProbes(target, helpers):
                host, port = target.details.peer_address
                body = pb.HelpProbe(vm=target.vm, host=host, port=port)
                for helper in helpers:
                    self._send(helper.details.peer_address, body)
            case Suspect(vm, incarnation):
                record = self.table.suspect(vm, incarnation, now)
                if record is not None:
                    self._event('suspected', vm)
                    self._note(record, now)
            case ProcessDelayed():
                self._event('late', self.table.own_vm)

    def _probe_seeds(self) -> None:
        own = update_of(self.table.own, with_details=True)
        for seed in self._seeds:
            self._send(seed, pb.Probe(updates=[own]))

    def _on_probe(self, vm: str, address: Address, body: pb.Probe, now: float) -> None:
        is_stranger = vm not in self.table.by_vm
        self._apply(body.updates, now)
        updates = self._news_updates(about=vm)
        if is_stranger:
            updates.append(update_of(self.table.own, with_details=True))
        self._send(address, pb.ProbeAnswer(updates=updates, digest=self.table.digest()))
        self._compare(address, body.digest, now)

    def _on_help_probe(self, asker: Address, body: pb.HelpProbe, now: float) -> None:
        if len(self._helps) >= MAX_HELPS:
            self._helps = [h for h in self._helps if now < h.until]
        if len(self._helps) >= MAX_HELPS:
            return
        self._helps.append(_Help(body.vm, asker, now + HELP_SECONDS))
        self._send((body.host, body.port), self._probe(body.vm))

    def _on_sync(self, address: Address, body: pb.MemberSync) -> None:
        records = self.table.differing(body.bucket_digests)
        self._choice.shuffle(records)
        size = UPDATES_PER_BULK_MESSAGE
        for start in range(0, min(len(records), size * BULK_MESSAGES), size):
            updates = [
                update_of(record, with_details=True)
                for record in records[start : start + size]
            ]
            self._send(address, pb.MemberUpdates(updates=updates, bulk=True))
        if body.digests_wanted:
            self._sync(address, digests_wanted=False)

    def _compare(self, address: Address, digest: int, now: float) -> None:
        """Start a sync if the digests differ and no update came in recently.

        While updates still spread, differing digests are normal.
        """
        if digest in (0, self.table.digest()):
            return
        if not self._filling and now - self._changed_at < QUIET_SECONDS:
            return
        period = FILL_PERIOD_SECONDS if self._filling else SYNC_PERIOD_SECONDS
        if now - self._synced_at < period:
            return
        self._synced_at = now
        self._filling = False
        self._sync(address, digests_wanted=True)

    def _sync(self, address: Address, *, digests_wanted: bool) -> None:
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
            told = record_of(update, self.table)
            if told is None:
                self._event('unusable-update', update.vm)
                continue
            known = self.table.by_vm.get(told.vm)
            record = self.table.apply(told, now)
            if record is None:
                continue
            if record.vm == self.table.own_vm:
                self._event('refuted', record.vm)
            if bulk and known is None:
                self._filling = True
                self._changed_at = now
            else:
                self._note(record, now, with_details=_has_news(known, record))
        if self.table.superseded and not was_superseded:
            self._event('superseded', self.table.own_vm)

    def _note(
        self, record: MemberRecord, now: float, *, with_details: bool = False
    ) -> None:
        self._changed_at = now
        self._news.push(record.vm, with_details=with_details)

    def _probe(self, vm: str) -> pb.Probe:
        return pb.Probe(updates=self._news_updates(vm), digest=self.table.digest())

    def _news_updates(self, about: str = '') -> list[pb.MemberUpdate]:
        """Return queued updates to send.

        If the receiver is not seen as alive, its own record comes first, so that it
        can refute it.
        """
        updates = []
        record = self.table.by_vm.get(about)
        if record is not None and record.state is not MemberState.ALIVE:
            updates.append(update_of(record, with_details=False))
        for news in self._news.take(UPDATES_PER_MESSAGE, len(self.table.by_vm)):
            record = self.table.by_vm.get(news.vm)
            if record is not None:
                updates.append(update_of(record, with_details=news.with_details))
        return updates

    def _sample(self, count: int) -> list[MemberRecord]:
        others = self.table.others(*PROBED_STATES)
        return self._choice.sample(others, min(count, len(others)))

    def _send(self, address: Address, body: Message) -> None:
        self.outgoing.append(Outgoing(address, body))

    def _event(self, name: str, vm: str) -> None:
        self.events.append(MemberEvent(name, vm))


def _has_news(known: MemberRecord | None, record: MemberRecord) -> bool:
    if known is None or known.incarnation != record.incarnation:
        return True
    return known.details != record.details
