"""The operators' gRPC service, as defined by the schema file."""

from collections.abc import Callable

from google.protobuf.json_format import MessageToDict, ParseDict
from google.protobuf.message import Message
from grpclib import GRPCError, Status
from grpclib.server import Stream
from pydantic import ValidationError

from daisylift.models import (
    Change,
    ChangeBody,
    ControlShift,
    EvacuateRegion,
    Policy,
    PutPolicy,
    SetEntryDrain,
    SetServerDrain,
    SetSiteDrain,
    StartShift,
)
from daisylift.schema import operator_pb2 as pb
from daisylift.schema.operator_grpc import OperatorBase
from daisylift_node.connection.keys import require_key
from daisylift_node.process.members import Members
from daisylift_node.process.permits import PermitPool
from daisylift_node.process.replies import (
    change_reply,
    malformed_reply,
    shift_status,
)
from daisylift_node.version.block_loader import MAX_BLOCKS_PER_CALL, BlockLoader
from daisylift_node.version.change_writer import ChangeWriter
from daisylift_node.version.configuration import ConfigurationFollower
from daisylift_node.version.shift_driver import ShiftDriver

ACTION_NAMES = {
    pb.SHIFT_ACTION_ABORT: 'abort',
    pb.SHIFT_ACTION_RESUME: 'resume',
    pb.SHIFT_ACTION_REVERSE: 'reverse',
}


class OperatorService(OperatorBase):
    """Serves operators; each change is written to the platform's change log."""

    def __init__(
        self,
        vm: str,
        key: str,
        follower: ConfigurationFollower,
        members: Members,
        writer: ChangeWriter,
        permits: PermitPool,
        shifts: ShiftDriver,
        blocks: BlockLoader,
    ) -> None:
        self._permits = permits
        self._vm = vm
        self._key = key
        self._follower = follower
        self._members = members
        self._writer = writer
        self._shifts = shifts
        self._blocks = blocks

    async def PutPolicy(self, stream: Stream) -> None:  # noqa: N802
        """Replace the policy."""
        await self._change(stream, _put_policy)

    async def SetServerDrain(self, stream: Stream) -> None:  # noqa: N802
        """Start or end the drain of a backend server."""
        await self._change(
            stream,
            lambda request: SetServerDrain(
                service=request.service,
                server=request.server,
                draining=request.draining,
            ),
        )

    async def SetEntryDrain(self, stream: Stream) -> None:  # noqa: N802
        """Start or end the drain of an entry VM."""
        await self._change(
            stream,
            lambda request: SetEntryDrain(
                ordinal=request.ordinal, draining=request.draining
            ),
        )

    async def SetSiteDrain(self, stream: Stream) -> None:  # noqa: N802
        """Start or end the drain of a failure domain or a region."""
        await self._change(
            stream,
            lambda request: SetSiteDrain(
                sites=self._sites_of(request), draining=request.draining
            ),
        )

    async def StartShift(self, stream: Stream) -> None:  # noqa: N802
        """Start to move a share of a service's traffic."""
        await self._change(stream, _start_shift)

    async def ControlShift(self, stream: Stream) -> None:  # noqa: N802
        """Abort, resume or reverse a shift."""
        await self._change(
            stream,
            lambda request: ControlShift(
                shift=request.shift, action=ACTION_NAMES.get(request.action, '')
            ),
        )

    async def EvacuateRegion(self, stream: Stream) -> None:  # noqa: N802
        """Start to move all traffic away from a lost region."""
        await self._change(
            stream, lambda request: EvacuateRegion(region=request.region)
        )

    async def LoadBlocks(self, stream: Stream) -> None:  # noqa: N802
        """Load client blocks."""
        require_key(stream.metadata, self._key)
        first = None
        blocks: list[tuple[str, str]] = []
        async for message in stream:
            first = first or message
            blocks.extend((block.block, block.home) for block in message.blocks)
            if len(blocks) > MAX_BLOCKS_PER_CALL:
                raise GRPCError(
                    Status.RESOURCE_EXHAUSTED,
                    f'more than {MAX_BLOCKS_PER_CALL} blocks in one call',
                )
        if first is None:
            raise GRPCError(Status.INVALID_ARGUMENT, 'the request is empty')
        try:
            outcome = await self._blocks.load(
                self._follower.current,
                blocks,
                first.header.base_version,
                first.header.operation_id,
                first.header.operator,
                replace_all=first.replace_all,
            )
        except ValidationError as error:
            await stream.send_message(malformed_reply(error))
            return
        await stream.send_message(change_reply(outcome))

    async def GetShifts(self, stream: Stream) -> None:  # noqa: N802
        """Return the shifts, with the reason for each one that is on hold."""
        await self._receive(stream)
        current = self._follower.current
        holds = self._shifts.hold_by_shift
        shifts = [
            shift_status(shift, holds.get(name))
            for name, shift in current.shifts.items()
        ]
        await stream.send_message(
            pb.GetShiftsReply(version=current.version, shifts=shifts)
        )

    async def GetPolicy(self, stream: Stream) -> None:  # noqa: N802
        """Return the policy in force at this node."""
        await self._receive(stream)
        current = self._follower.current
        policy = pb.Policy()
        ParseDict(current.policy.model_dump(mode='json', exclude_unset=True), policy)
        await stream.send_message(
            pb.GetPolicyReply(version=current.version, policy=policy)
        )

    async def GetStatus(self, stream: Stream) -> None:  # noqa: N802
        """Return the state of the fleet as this node knows it."""
        await self._receive(stream)
        members = [
            pb.MemberStatus(
                ordinal=ordinal,
                vm=member.claim.vm,
                failure_domain=member.claim.failure_domain,
                caller_address=member.caller_address,
                state=member.state.value,
                confirmed_version=self._permits.confirmed(ordinal),
            )
            for ordinal, member in sorted(self._members.by_ordinal.items())
        ]
        await stream.send_message(
            pb.GetStatusReply(
                vm=self._vm, version=self._follower.current.version, members=members
            )
        )

    async def _receive(self, stream: Stream) -> Message:
        require_key(stream.metadata, self._key)
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, 'the request is empty')
        return request

    async def _change(
        self, stream: Stream, make_body: Callable[[Message], ChangeBody]
    ) -> None:
        request = await self._receive(stream)
        try:
            change = _make_change(request.header, make_body(request))
        except ValidationError as error:
            await stream.send_message(malformed_reply(error))
            return
        outcome = await self._writer.submit(change)
        await stream.send_message(change_reply(outcome))

    def _sites_of(self, request: pb.SetSiteDrainRequest) -> tuple[str, ...]:
        if request.WhichOneof('scope') != 'region':
            return (request.failure_domain,)
        region_by_site = self._follower.current.index.region_by_site
        sites = tuple(s for s, r in region_by_site.items() if r == request.region)
        return sites or (request.region,)


def _make_change(header: pb.ChangeHeader, body: ChangeBody) -> Change:
    return Change(
        version=header.base_version + 1,
        operation_id=header.operation_id,
        operator=header.operator,
        body=body,
    )


def _put_policy(request: pb.PutPolicyRequest) -> PutPolicy:
    document = MessageToDict(
        request.policy,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=False,
    )
    _add_required_lists(document)
    return PutPolicy(policy=Policy.model_validate(document))


def _add_required_lists(document: dict) -> None:
    for field in ('failure_domains', 'roster', 'services'):
        document.setdefault(field, [])
    for service in document['services']:
        service.setdefault('servers', [])
    for entry in document['roster']:
        entry.setdefault('ordinal', 0)


def _start_shift(request: pb.StartShiftRequest) -> StartShift:
    target = request.target_share if request.HasField('target_share') else 1.0
    return StartShift(
        shift=request.shift,
        service=request.service,
        sources=tuple(request.sources),
        destinations=tuple(request.destinations),
        target=target,
    )
