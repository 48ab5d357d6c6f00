"""Connects the membership protocol to the peer socket, timer and platform."""

import random
from collections.abc import Callable, Mapping

from loguru import logger
from returns.result import Success

from daisylift.decisions.member_protocol import MemberProtocol
from daisylift.decisions.membership import MemberDetails, MemberRecord, MemberTable
from daisylift.decisions.probing import TICK_SECONDS
from daisylift.decisions.vm_list import watches_platform
from daisylift_node.config import Settings
from daisylift_node.connection.peers import PeerLink, Received, Sender
from daisylift_node.errors import PeerMessageError
from daisylift_node.process.metrics import Metrics
from daisylift_node.process.platform import PlatformClient
from daisylift_node.process.timer import TimerService

VM_LIST_PERIOD_SECONDS = 5.0
MESSAGE_NAMES = (
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
    """Runs the membership protocol of this node."""

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        link: PeerLink,
        platform: PlatformClient,
        timer: TimerService,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._protocol = MemberProtocol(
            own=_own_record(settings, incarnation),
            seeds=[(seed.host, seed.port) for seed in settings.peer.seeds],
            rng=rng,
            now=clock(),
        )
        self._link = link
        self._platform = platform
        self._timer = timer
        self._events = metrics.member_events
        self._clock = clock
        self._stopped = False
        self._vm_list_listeners: list[VmListListener] = []

    def subscribe_to_vm_list(self, listener: VmListListener) -> None:
        """Call the listener with the VM states by VM id after each read of the list."""
        self._vm_list_listeners.append(listener)

    @property
    def table(self) -> MemberTable:
        """Return the current table of members."""
        return self._protocol.table

    async def start(self) -> None:
        """Start to answer peers and to probe them."""
        self._link.listen(self._on_sender)
        for body_name in MESSAGE_NAMES:
            self._link.subscribe(body_name, self._on_message)
        self._timer.subscribe(TICK_SECONDS, self._tick)
        self._timer.subscribe(VM_LIST_PERIOD_SECONDS, self._read_vm_list)

    async def stop(self) -> None:
        """Announce that this process has stopped, as its last update."""
        self._stopped = True
        self._protocol.announce(self._clock(), ordinal=None, stopped=True)
        self._process_output()

    def announce_ordinal(self, ordinal: int | None) -> None:
        """Announce the ordinal that this node holds now, if it changed."""
        if self.table.own.details.ordinal != ordinal:
            self._protocol.announce(self._clock(), ordinal=ordinal)

    def announce_leaving(self) -> None:
        """Announce that this node is about to stop."""
        ordinal = self.table.own.details.ordinal
        self._protocol.announce(self._clock(), ordinal=ordinal, leaving=True)
        self._process_output()

    def add_claimed_member(self, record: MemberRecord) -> None:
        """Add a member that was found in the platform's claims."""
        self._protocol.add_member(record, self._clock())

    async def _tick(self) -> None:
        if not self._stopped:
            self._protocol.tick(self._clock())
            self._process_output()

    async def _read_vm_list(self) -> None:
        if self._stopped or not watches_platform(self.table):
            return
        match await self._platform.list_vms():
            case Success(vms):
                states = {vm.id: vm.state for vm in vms}
                self._protocol.on_vm_list(states, self._clock())
                self._process_output()
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
            self._process_output()

    def _process_output(self) -> None:
        for event in self._protocol.events:
            self._events.labels(event=event.name).inc()
            logger.info('member {}: {}', event.vm, event.name)
        self._protocol.events.clear()
        for message in self._protocol.outgoing:
            try:
                self._link.send(message.address, message.body)
            except PeerMessageError as error:
                logger.warning('membership message not sent: {}', error)
        self._protocol.outgoing.clear()


def _own_record(settings: Settings, incarnation: str) -> MemberRecord:
    details = MemberDetails(
        number=1,
        failure_domain=settings.vm.failure_domain,
        caller_address=(settings.caller.host, settings.caller.port),
        peer_address=(settings.peer.host, settings.peer.port),
    )
    return MemberRecord(settings.vm.id, incarnation, 1, details)
