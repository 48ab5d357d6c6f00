"""A gRPC client for the operators' interface of a node."""

from dataclasses import dataclass
from types import TracebackType
from typing import Self

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from daisylift.headers import KEY_METADATA
from daisylift.schema import operator_pb2 as pb
from daisylift.schema.operator_grpc import OperatorStub
from daisylift_admin.errors import AdminError
from daisylift_admin.status import ExitStatus

CALL_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """The address at which a node serves operators."""

    host: str
    port: int


class OperatorClient:
    """An open channel to one node."""

    def __init__(self, address: NodeAddress, key: str) -> None:
        self._address = address
        self._channel = Channel(address.host, address.port)
        self._stub = OperatorStub(self._channel)
        self._metadata = {KEY_METADATA: key}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._channel.close()

    async def put_policy(self, request: pb.PutPolicyRequest) -> pb.ChangeReply:
        """Replace the policy."""
        return await self._call(self._stub.PutPolicy, request)

    async def set_server_drain(
        self, request: pb.SetServerDrainRequest
    ) -> pb.ChangeReply:
        """Start or end the drain of a backend server."""
        return await self._call(self._stub.SetServerDrain, request)

    async def set_entry_drain(self, request: pb.SetEntryDrainRequest) -> pb.ChangeReply:
        """Start or end the drain of an entry VM."""
        return await self._call(self._stub.SetEntryDrain, request)

    async def set_site_drain(self, request: pb.SetSiteDrainRequest) -> pb.ChangeReply:
        """Start or end the drain of a failure domain or a region."""
        return await self._call(self._stub.SetSiteDrain, request)

    async def start_shift(self, request: pb.StartShiftRequest) -> pb.ChangeReply:
        """Start a traffic shift."""
        return await self._call(self._stub.StartShift, request)

    async def control_shift(self, request: pb.ControlShiftRequest) -> pb.ChangeReply:
        """Abort, resume or reverse a shift."""
        return await self._call(self._stub.ControlShift, request)

    async def evacuate_region(
        self, request: pb.EvacuateRegionRequest
    ) -> pb.ChangeReply:
        """Start to move all traffic away from a lost region."""
        return await self._call(self._stub.EvacuateRegion, request)

    async def load_blocks(self, requests: list[pb.LoadBlocksRequest]) -> pb.ChangeReply:
        """Load client blocks, streaming the given messages."""
        return await self._call(self._stub.LoadBlocks, requests)

    async def get_shifts(self) -> pb.GetShiftsReply:
        """Return the shifts and their progress."""
        return await self._call(self._stub.GetShifts, pb.GetShiftsRequest())

    async def get_policy(self) -> pb.GetPolicyReply:
        """Return the current policy of the node."""
        return await self._call(self._stub.GetPolicy, pb.GetPolicyRequest())

    async def get_status(self) -> pb.GetStatusReply:
        """Return the node's view of the fleet."""
        return await self._call(self._stub.GetStatus, pb.GetStatusRequest())

    async def _call(self, method: object, request: object) -> object:
        try:
            return await method(
                request, metadata=self._metadata, timeout=CALL_TIMEOUT_SECONDS
            )
        except GRPCError as error:
            raise AdminError(f'the node refused: {error.message}') from error
        except (TimeoutError, OSError, StreamTerminatedError) as error:
            host, port = self._address.host, self._address.port
            raise AdminError(
                f'no answer from the node at {host}:{port}: {error}',
                status=ExitStatus.UNAVAILABLE,
            ) from error
