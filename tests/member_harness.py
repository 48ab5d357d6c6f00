"""Runs several membership protocols on a virtual clock, with network faults."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from daisylift.decisions.member_protocol import Address, MemberProtocol
from daisylift.decisions.membership import MemberDetails, MemberRecord
from daisylift.decisions.probing import TICK_SECONDS
from daisylift.decisions.vm_list import watches_platform

LIST_READ_TICKS = 20
LISTS_KEPT = 200


@dataclass(slots=True)
class Process:
    """The process of a node; while frozen, it queues the messages that arrive."""

    vm: str
    incarnation: str
    address: Address
    protocol: MemberProtocol
    frozen: bool = False
    waiting: list['PendingMessage'] = field(default_factory=list)
    seen_listed: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class PendingMessage:
    """A message in transit."""

    at: float
    sender: str
    incarnation: str
    source: Address
    to: Address
    body: object


@dataclass(slots=True)
class MemberHarness:
    """The processes, the network and the platform's VM list of a test."""

    rng: random.Random
    loss: float = 0.0
    duplication: float = 0.0
    delay_seconds: float = 0.0
    list_lag_seconds: float = 0.0
    now: float = 1000.0
    processes: dict[str, Process] = field(default_factory=dict)
    cut_off: set[str] = field(default_factory=set)
    listed: dict[str, str] = field(default_factory=dict)
    removed: set[str] = field(default_factory=set)
    pending: list[PendingMessage] = field(default_factory=list)
    check: Callable[[], None] = lambda: None
    _lists: deque[tuple[float, dict[str, str]]] = field(
        default_factory=lambda: deque(maxlen=LISTS_KEPT)
    )
    _starts: int = 0
    _ticks: int = 0

    def start(self, vm: str, domain: str) -> None:
        """Start a process on a VM; a restart gets a higher incarnation."""
        self._starts += 1
        self.listed.setdefault(vm, 'running')
        address = ('127.0.0.1', 1000 + int(vm.removeprefix('vm-')))
        incarnation = f'{self._starts:016x}'
        details = MemberDetails(1, domain, address, address)
        seeds = [p.address for p in self.processes.values() if p.vm != vm]
        self.processes[vm] = Process(
            vm,
            incarnation,
            address,
            MemberProtocol(
                MemberRecord(vm, incarnation, 1, details), seeds, self.rng, self.now
            ),
        )

    def kill(self, vm: str) -> None:
        """End a process without notice; its VM stays listed."""
        del self.processes[vm]

    def remove(self, vm: str) -> None:
        """Remove a VM from the platform's list; its process must have ended."""
        self.listed.pop(vm, None)
        self.removed.add(vm)

    def leave(self, vm: str) -> None:
        """Let a process announce that it will stop."""
        process = self.processes[vm]
        process.protocol.announce(self.now, ordinal=None, leaving=True)
        self._collect(process)

    def stop(self, vm: str) -> None:
        """Let a process announce that it has stopped, and end it."""
        process = self.processes[vm]
        process.protocol.announce(self.now, ordinal=None, stopped=True)
        self._collect(process)
        del self.processes[vm]

    def run(self, seconds: float) -> None:
        """Advance the clock tick by tick and run ``check`` after each tick."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self._ticks += 1
            self._lists.append((self.now, dict(self.listed)))
            self._deliver()
            for process in list(self.processes.values()):
                if not process.frozen:
                    self._run_process(process)
            self.check()

    def _run_process(self, process: Process) -> None:
        for message in process.waiting:
            self._receive(process, message)
        process.waiting.clear()
        process.protocol.tick(self.now)
        self._collect(process)
        if self._ticks % LIST_READ_TICKS == 0 and watches_platform(
            process.protocol.table
        ):
            listed = self._delayed_list()
            process.seen_listed.update(listed)
            process.protocol.on_vm_list(listed, self.now)
            self._collect(process)

    def _delayed_list(self) -> dict[str, str]:
        until = self.now - self.list_lag_seconds
        seen = [listed for at, listed in self._lists if at <= until]
        return seen[-1] if seen else self._lists[0][1]

    def _collect(self, process: Process) -> None:
        for message in process.protocol.outgoing:
            copies = 2 if self.rng.random() < self.duplication else 1
            for _ in range(copies):
                if self.rng.random() >= self.loss:
                    self._send(process, message.address, message.body)
        process.protocol.outgoing.clear()

    def _send(self, process: Process, to: Address, body: object) -> None:
        delay = self.rng.random() * self.delay_seconds
        copy = type(body).FromString(body.SerializeToString())
        self.pending.append(
            PendingMessage(
                self.now + delay,
                process.vm,
                process.incarnation,
                process.address,
                to,
                copy,
            )
        )

    def _deliver(self) -> None:
        """Deliver all due messages, including replies that are due immediately."""
        while due := [message for message in self.pending if message.at <= self.now]:
            self.pending = [
                message for message in self.pending if message.at > self.now
            ]
            for message in due:
                self._deliver_to_receiver(message)

    def _deliver_to_receiver(self, message: PendingMessage) -> None:
        for process in self.processes.values():
            if process.address != message.to or process.vm == message.sender:
                continue
            if (process.vm in self.cut_off) != (message.sender in self.cut_off):
                continue
            if process.frozen:
                process.waiting.append(message)
            else:
                self._receive(process, message)

    def _receive(self, process: Process, message: PendingMessage) -> None:
        protocol = process.protocol
        protocol.on_contact(message.sender, message.incarnation, self.now)
        protocol.on_message(message.sender, message.source, message.body, self.now)
        self._collect(process)
