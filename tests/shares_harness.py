"""Simulates nodes, messages, store and VM list to test the decisions on slot shares.

Only the pure decision code of a node runs. The test controls time, delivery, faults
and the order of all steps. Backend servers are modelled as a list of running requests.
"""

from daisylift.decisions.configuration import Configuration, ServerKey, apply_change
from daisylift.decisions.leases import LeaseAsk, LeaseGrant, LeaseReturn
from daisylift.decisions.ordinals import (
    AlreadyHeld,
    RecordEpoch,
    StoredClaim,
    Take,
    Vacate,
    choose_claim,
    choose_maintenance,
)
from daisylift.decisions.permit import UNKNOWN_OUTCOME_GRACE_SECONDS, LeaseKey
from daisylift.models import (
    Change,
    ChangeBody,
    Claim,
    SetOrdinalEpoch,
    Vacancy,
)
from tests.shares_harness_node import (
    ConfirmedVersion,
    Message,
    Node,
    RunningRequest,
    TwoRequestsOnOneSlotError,
)


class SharesHarness:
    """The state of the simulation and the steps that a test can take."""

    def __init__(self) -> None:
        self.time = 100.0
        self.log: list[Configuration] = [Configuration()]
        self.stored: dict[int, StoredClaim] = {}
        self.revision = 0
        self.store_is_up = True
        self.listed: set[str] = set()
        self.existing: set[str] = set()
        self.nodes: dict[str, Node] = {}
        self.messages: list[tuple[str, str, Message]] = []
        self.running: list[RunningRequest] = []
        self.starts = 0
        self.borrowed_starts = 0
        self._incarnations = 0

    # Time, VMs and the VM list.

    def append(self, body: ChangeBody) -> None:
        """Append a change to the log of the configuration."""
        version = len(self.log)
        change = Change(version=version, operation_id=f'op-{version}', body=body)
        self.log.append(apply_change(self.log[-1], change))

    def pass_time(self, seconds: float) -> None:
        """Advance the time; requests past their deadline end at the servers."""
        self.time += seconds
        self.running = [r for r in self.running if r.deadline > self.time]

    def start_vm(self, vm: str, domain: str) -> None:
        """Start a VM with one process; it is listed immediately."""
        self.existing.add(vm)
        self.listed.add(vm)
        self.start_process(vm, domain)

    def start_process(self, vm: str, domain: str, rate: float = 1.0) -> None:
        """Start a process on the VM, replacing any that ran there."""
        self._incarnations += 1
        number = self._incarnations
        self.nodes[vm] = Node(vm, f'{number:016x}', domain, rate, 1000.0 * number)

    def kill(self, vm: str) -> None:
        """End the process; its requests continue at the servers."""
        del self.nodes[vm]

    def lose_vm(self, vm: str) -> None:
        """End the VM and its process; the VM stays listed."""
        self.existing.discard(vm)
        self.nodes.pop(vm, None)

    def refresh_list(self) -> None:
        """Update the VM list to the VMs that exist."""
        self.listed = set(self.existing)

    def now(self, node: Node) -> float:
        """Return the time of the node's monotonic clock."""
        return self.time * node.clock_rate + node.clock_offset

    # Configuration.

    def follow(self, node: Node) -> None:
        """Let the node apply the next version."""
        version = node.ledger.configuration.version + 1
        if version < len(self.log):
            node.ledger.set_configuration(self.log[version], self.now(node))

    def catch_up(self, node: Node, *, skip: bool = False) -> None:
        """Let the node read the log to its end, or ``skip`` there by a checkpoint."""
        if skip:
            node.ledger.set_configuration(self.log[-1], self.now(node))
        while node.ledger.configuration.version < len(self.log) - 1:
            self.follow(node)

    # Ordinals.

    def plan_claim(self, node: Node) -> None:
        """Let a node without an ordinal read the store and plan a write."""
        if not self.store_is_up or node.claim is not None:
            return
        self._observe(node)
        step = choose_claim(
            node.ledger.configuration,
            self._visible(node),
            node.absences,
            node.fence(),
            vm=node.vm,
            incarnation=node.incarnation,
            failure_domain=node.domain,
            now=self.now(node),
        )
        match step:
            case AlreadyHeld(claim=claim):
                node.claim = claim
                node.claim_version = self.stored[claim.ordinal].version
                node.plan = None
            case Take() | None:
                node.plan = step

    def plan_upkeep(self, node: Node) -> None:
        """Let a node record epochs, or plan to vacate the claims of gone VMs."""
        if not self.store_is_up or node.ledger.ordinal is None:
            return
        self._observe(node)
        steps = choose_maintenance(
            node.ledger.configuration,
            self._visible(node),
            node.absences,
            node.fence(),
            self.now(node),
        )
        for step in steps:
            match step:
                case RecordEpoch(ordinal=ordinal, epoch=epoch):
                    self.append(SetOrdinalEpoch(ordinal=ordinal, epoch=epoch))
                case Vacate():
                    node.plan = step

    def write(self, node: Node, *, lose_answer: bool = False) -> None:
        """Execute the write that the node planned, possibly long ago."""
        step, node.plan = node.plan, None
        if step is None or not self.store_is_up:
            return
        if isinstance(step, Take):
            node.take = step
            node.taken_at = self.now(node)
        current = self.stored.get(step.ordinal, StoredClaim(step.ordinal))
        if current.version != step.version:
            return
        record = self._record(node, step)
        self._store(record)
        if isinstance(record, Claim) and not lose_answer:
            node.claim = record
            node.claim_version = self.revision

    def activate(self, node: Node) -> None:
        """Let a node with a claim read the log to its end, and then use its share."""
        claim = node.claim
        if claim is None or node.ledger.ordinal is not None or not self.store_is_up:
            return
        self.catch_up(node)
        if node.ledger.configuration.epochs.get(claim.ordinal, 0) < claim.epoch:
            self.append(SetOrdinalEpoch(ordinal=claim.ordinal, epoch=claim.epoch))
            self.catch_up(node)
        predecessor = node.take.predecessor if node.take is not None else None
        held = {}
        if node.take is not None and not node.take.is_fenced:
            seconds = node.fence().fence_seconds
            services = node.ledger.configuration.policy.services
            held = {s.name: node.taken_at + seconds for s in services}
        node.ledger.set_ordinal(claim.ordinal, claim.epoch, held)
        if predecessor is not None and node.take.is_fenced:
            node.lender.inherit(predecessor, node.taken_at)

    def release(self, node: Node) -> None:
        """Stop as planned: hand over the slots in use or lent, and end the process."""
        if node.claim is None or not self.store_is_up:
            return
        current = self.stored[node.claim.ordinal]
        if current.version != node.claim_version:
            return
        confirmed = node.ledger.confirmed_version(self.now(node))
        if confirmed is None:
            return
        record = node.claim.model_copy(
            update={
                'released': True,
                'confirmed_version': confirmed,
                'handed_over': node.lender.slots_to_hand_over(self.now(node)),
            }
        )
        self._store(record)
        self.kill(node.vm)

    # Requests.

    def take_all(self, node: Node) -> None:
        """Take all available permits for requests that have not started yet."""
        for service in node.ledger.configuration.policy.services:
            for server in service.servers:
                key = ServerKey(service.name, server.name)
                while (permit := node.ledger.take(key, self.now(node))) is not None:
                    node.permits.append(permit)

    def start(self, node: Node, seconds: float = 0.0) -> None:
        """Start a request with the oldest permit, or release an expired permit."""
        if not node.permits:
            return
        permit = node.permits.pop(0)
        if not permit.may_start(self.now(node)):
            node.ledger.release(permit, self.now(node))
            return
        length = min(seconds or permit.timeout_seconds, permit.timeout_seconds)
        deadline = self.time + length
        self.starts += 1
        self.borrowed_starts += permit.lease is not None
        self.running.append(
            RunningRequest(
                permit.server, permit.slot, deadline, permit, node.incarnation
            )
        )

    def fill(self, node: Node) -> None:
        """Start a request on every slot that the node considers usable."""
        self.take_all(node)
        while node.permits:
            self.start(node)

    def end(self, node: Node) -> None:
        """End the requests of the node and release their permits."""
        for running in [r for r in self.running if r.node == node.incarnation]:
            self.running.remove(running)
            node.ledger.release(running.permit, self.now(node))

    def give_up(self, node: Node) -> None:
        """Let the node abort its requests, which continue to run at the servers."""
        for running in [r for r in self.running if r.node == node.incarnation]:
            seconds = running.deadline - self.time + UNKNOWN_OUTCOME_GRACE_SECONDS
            now = self.now(node)
            node.ledger.release(running.permit, now, uncertain_until=now + seconds)
            running.node = 'given up'

    def check(self) -> None:
        """Raise if two requests use one slot, or could if their nodes continued now.

        Frozen nodes count too, with the time that they would read when resumed.
        """
        users: dict[tuple[ServerKey, int], str] = {}
        for running in self.running:
            _record_user(
                users, running.server, running.slot, f'request of {running.node}'
            )
        for node in self.nodes.values():
            now = self.now(node)
            for permit in node.permits:
                if permit.may_start(now):
                    _record_user(
                        users, permit.server, permit.slot, f'permit of {node.vm}'
                    )
            for server, mask in _free_masks(node, now):
                for slot in range(mask.bit_length()):
                    if mask >> slot & 1:
                        _record_user(users, server, slot, node.vm)

    # Messages.

    def send(self, sender: Node, receiver: str, message: Message) -> None:
        """Queue a message for delivery."""
        self.messages.append((sender.vm, receiver, message))

    def tell_confirmed(self, node: Node) -> None:
        """Let a node send its confirmed version to all other nodes."""
        version = node.ledger.confirmed_version(self.now(node))
        if version is None:
            return
        for vm in self.nodes:
            if vm != node.vm:
                self.send(node, vm, ConfirmedVersion(node.ledger.ordinal, version))

    def ask(self, node: Node, lender: Node, service: str, count: int) -> None:
        """Let a node request slots from another one."""
        ordinal = lender.ledger.ordinal
        if ordinal is not None and lender is not node:
            ask = node.borrower.request(ordinal, service, count, self.now(node))
            self.send(node, lender.vm, ask)

    def renew(self, node: Node) -> None:
        """Let a node request the renewal of all its leases."""
        for lease in _leases(node):
            ask = node.borrower.request_renewal(lease, self.now(node))
            if ask is not None:
                self._send_to_ordinal(node, lease.lender, ask)

    def give_back(self, node: Node) -> None:
        """Let a node return the borrowed slots that it does not use."""
        for lease in _leases(node):
            returned = node.borrower.give_back(lease)
            if returned.masks:
                self._send_to_ordinal(node, lease.lender, returned)

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver a message; ``keep`` leaves it queued, so that it is delivered again.

        A frozen node loses the message.
        """
        sender, receiver, message = self.messages[position]
        node = self.nodes.get(receiver)
        if not keep or (node is not None and node.frozen):
            del self.messages[position]
        if node is None or node.frozen:
            return
        answer = self._handle(node, message)
        if answer is not None:
            self.messages.append((receiver, sender, answer))

    def _handle(self, node: Node, message: Message) -> Message | None:
        now = self.now(node)
        match message:
            case ConfirmedVersion(ordinal=ordinal, version=version):
                if ordinal != node.ledger.ordinal:
                    node.ledger.record_confirmed(ordinal, version)
            case LeaseAsk():
                return node.lender.grant(message, now, spare=message.count)
            case LeaseGrant():
                return node.borrower.accept(message, now)
            case LeaseReturn():
                node.lender.accept_return(message)
        return None

    def _send_to_ordinal(self, node: Node, ordinal: int, message: Message) -> None:
        for other in self.nodes.values():
            if other.ledger.ordinal == ordinal:
                self.send(node, other.vm, message)

    def _observe(self, node: Node) -> None:
        seen = self._visible(node).values()
        node.absences.observe(self.listed, seen, self.now(node))

    def _visible(self, node: Node) -> dict[int, StoredClaim]:
        roster = node.ledger.configuration.policy.roster
        missing = {e.ordinal: StoredClaim(e.ordinal) for e in roster}
        return missing | self.stored

    def _record(self, node: Node, step: Take | Vacate) -> Claim | Vacancy:
        if isinstance(step, Vacate):
            return Vacancy(ordinal=step.ordinal, epoch=step.epoch)
        return Claim(
            ordinal=step.ordinal,
            epoch=step.epoch,
            vm=node.vm,
            incarnation=node.incarnation,
            failure_domain=node.domain,
            caller_host='127.0.0.1',
            caller_port=1,
            peer_host='127.0.0.1',
            peer_port=1,
        )

    def _store(self, record: Claim | Vacancy) -> None:
        self.revision += 1
        self.stored[record.ordinal] = StoredClaim(record.ordinal, self.revision, record)


def _leases(node: Node) -> list[LeaseKey]:
    return list(dict.fromkeys(slots.lease for slots in node.ledger.borrowed()))


def _free_masks(node: Node, now: float) -> list[tuple[ServerKey, int]]:
    node.ledger.expire(now)
    node.lender.expire(now)
    masks = list(node.ledger.idle_masks('till', now))
    return masks + [(s.server, s.free(now)) for s in node.ledger.borrowed('till')]


def _record_user(
    users: dict[tuple[ServerKey, int], str], server: ServerKey, slot: int, user: str
) -> None:
    other = users.setdefault((server, slot), user)
    if other is not user:
        raise TwoRequestsOnOneSlotError(f'{server} slot {slot}: {other} and {user}')
