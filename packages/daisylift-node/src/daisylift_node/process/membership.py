"""Joins the membership protocol to the peer socket, the timer and the platform."""

import random
from collections.abc import Callable, Mapping

from loguru import logger
from returns.result import Success

from daisylift.decisions.member_protocol import MemberProtocol
from daisylift.decisions.membership import MemberDetails, MemberRecord, MemberTable
from daisylift.decisions.probing import TICK_SECONDS
from daisylift.decisions.vm_list import is_watcher
from daisylift_node.config import Settings
from daisylift_node.connection.peers import PeerLink, Received, Sender
from daisylift_node.errors import PeerMessageError
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import PlatformClient
from daisylift_node.process.timer import TimerService

VM_LIST_PERIOD_SECONDS = 5.0
BODIES = (
    'probe',
    'probe_answer',
    'help_probe',
    'help_probe_answer',
    'member_updates',
    'member_sync',
)

Clock = Callable[[], float]
VmListListener = Callable[[Mapping[str, str]], None]


class Membership:
    """Owns the protocol of this node and runs it."""

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        link: PeerLink,
        platform: PlatformClient,
        timer: TimerService,
        metrics: Metrics,
        clock: Clock,
        choice: random.Random,
    ) -> None:
        self._protocol = MemberProtocol(
            own=_own_record(settings, incarnation),
            seeds=[(seed.host, seed.port) for seed in settings.peer.seeds],
            rng=choice,
            now=clock(),
        )
        self._link = link
        self._platform = platform
        self._timer = timer
        self._events = metrics.member_events
        self._clock = clock
        self._stopped = False
        self._vm_list_listeners: list[VmListListener] = []

    def listen_to_vm_list(self, listener: VmListListener) -> None:
        """Tell the listener of each reading: the states of the VMs, by id."""
        self._vm_list_listeners.append(listener)

    @property
    def table(self) -> MemberTable:
        """Return what is known of the members."""
        return self._protocol.table

    async def start(self) -> None:
        """Answer peers, and begin to probe them."""
        self._link.listen(self._on_sender)
        for body_name in BODIES:
            self._link.subscribe(body_name, self._on_message)
        self._timer.subscribe(TICK_SECONDS, self._tick)
        self._timer.subscribe(VM_LIST_PERIOD_SECONDS, self._read_vm_list)

    async def stop(self) -> None:
        """Say as the last word that this process has stopped."""
        self._stopped = True
        self._protocol.announce(self._clock(), ordinal=None, stopped=True)
        self._carry_out()

    def say_ordinal(self, ordinal: int | None) -> None:
        """Tell the others which ordinal this node holds now."""
        if self.table.own.details.ordinal != ordinal:
            self._protocol.announce(self._clock(), ordinal=ordinal)

    def say_leaving(self) -> None:
        """Tell the others that this node will stop."""
        ordinal = self.table.own.details.ordinal
        self._protocol.announce(self._clock(), ordinal=ordinal, leaving=True)
        self._carry_out()

    def learn(self, record: MemberRecord) -> None:
        """Take a member that the platform's claims tell of."""
        self._protocol.add_member(record, self._clock())

    async def _tick(self) -> None:
        if not self._stopped:
            self._protocol.tick(self._clock())
            self._carry_out()

    async def _read_vm_list(self) -> None:
        if self._stopped or not is_watcher(self.table):
            return
        match await self._platform.list_vms():
            case Success(vms):
                states = {vm.id: vm.state for vm in vms}
                self._protocol.on_vm_list(states, self._clock())
                self._carry_out()
                for listener in self._vm_list_listeners:
                    listener(states)

    def _on_sender(self, sender: Sender) -> None:
        self._protocol.on_contact(sender.vm, sender.incarnation, self._clock())

    def _on_message(self, received: Received) -> None:
        if not self._stopped:
            sender = received.sender
            self._protocol.on_message(
                sender.vm, sender.address, received.body, self._clock()
            )
            self._carry_out()

    def _carry_out(self) -> None:
        for event in self._protocol.events:
            self._events.labels(event=event.name).inc()
            logger.info('member {}: {}', event.vm, event.name)
        self._protocol.events.clear()
        for message in self._protocol.outgoing:
            try:
                self._link.send(message.address, message.body)
            except PeerMessageError as error:
                logger.warning('not sent: {}', error)
        self._protocol.outgoing.clear()


def _own_record(settings: Settings, incarnation: str) -> MemberRecord:
    details = MemberDetails(
        number=1,
        failure_domain=settings.vm.failure_domain,
        caller_address=(settings.caller.host, settings.caller.port),
        peer_address=(settings.peer.host, settings.peer.port),
    )
    return MemberRecord(settings.vm.id, incarnation, 1, details)
