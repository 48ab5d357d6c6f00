"""The operators' calls, as the schema file defines them."""

import hmac

from google.protobuf.json_format import MessageToDict, ParseDict
from grpclib import GRPCError, Status
from grpclib.server import Stream
from pydantic import ValidationError
from returns.result import Failure, Success

from daisylift.decisions.configuration import apply_body
from daisylift.errors import PolicyError
from daisylift.models import Change, ChangeBody, Policy, PutPolicy, SetServerDrain
from daisylift.schema import operator_pb2 as pb
from daisylift.schema.operator_grpc import OperatorBase
from daisylift_node.process.members import Members
from daisylift_node.process.platform import Conflict, Uncertain
from daisylift_node.version.change_log import parse_change
from daisylift_node.version.configuration import ConfigurationFollower

KEY_METADATA = 'daisylift-key'


def require_key(metadata: object, key: str) -> None:
    """Raise UNAUTHENTICATED unless the metadata carries the shared key."""
    given = metadata.get(KEY_METADATA, '')
    if not hmac.compare_digest(str(given).encode(), key.encode()):
        raise GRPCError(Status.UNAUTHENTICATED, 'the key is missing or wrong')


class OperatorService(OperatorBase):
    """Serves operators; each change goes through the platform's change log."""

    def __init__(
        self, vm: str, key: str, follower: ConfigurationFollower, members: Members
    ) -> None:
        self._vm = vm
        self._key = key
        self._follower = follower
        self._members = members

    async def PutPolicy(self, stream: Stream) -> None:  # noqa: N802
        """Replace the policy."""
        request = await self._receive(stream)
        document = MessageToDict(
            request.policy,
            preserving_proto_field_name=True,
            always_print_fields_with_no_presence=False,
        )
        _add_required_lists(document)
        await stream.send_message(
            await self._change(
                request.header,
                lambda: PutPolicy(policy=Policy.model_validate(document)),
            )
        )

    async def SetServerDrain(self, stream: Stream) -> None:  # noqa: N802
        """Start or end the drain of a backend server."""
        request = await self._receive(stream)
        await stream.send_message(
            await self._change(
                request.header,
                lambda: SetServerDrain(
                    service=request.service,
                    server=request.server,
                    draining=request.draining,
                ),
            )
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
        """Return what this node knows of the fleet."""
        await self._receive(stream)
        members = [
            pb.MemberStatus(
                ordinal=ordinal,
                vm=member.claim.vm,
                failure_domain=member.claim.failure_domain,
                caller_address=member.caller_address,
            )
            for ordinal, member in sorted(self._members.by_ordinal.items())
        ]
        await stream.send_message(
            pb.GetStatusReply(
                vm=self._vm, version=self._follower.current.version, members=members
            )
        )

    async def _receive(self, stream: Stream) -> object:
        require_key(stream.metadata, self._key)
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, 'the request is empty')
        return request

    async def _change(
        self, header: pb.ChangeHeader, make_body: object
    ) -> pb.ChangeReply:
        try:
            body: ChangeBody = make_body()
            change = Change(
                version=header.base_version + 1,
                operation_id=header.operation_id,
                operator=header.operator,
                body=body,
            )
        except ValidationError as error:
            return _invalid(_violations(error))
        await self._follower.catch_up()
        if header.base_version > self._follower.current.version:
            return _conflict(self._follower.current.version)
        if header.base_version == self._follower.current.version:
            try:
                apply_body(self._follower.current, body)
            except PolicyError as error:
                return _invalid([str(error)])
        return await self._append(change)

    async def _append(self, change: Change) -> pb.ChangeReply:
        result = await self._follower.log.append(change)
        match result:
            case Success():
                self._follower.apply([change])
                return pb.ChangeReply(accepted=pb.Accepted(version=change.version))
            case Failure(Conflict(current=current)):
                await self._follower.catch_up()
                found = parse_change(current) if current else None
                known = found.version if found else 0
                return _conflict(max(known, self._follower.current.version))
            case Failure(Uncertain(reason=reason)):
                return _unavailable(reason, may_have_happened=True)
        return _unavailable(str(result.failure()), may_have_happened=False)


def _add_required_lists(document: dict) -> None:
    for field in ('failure_domains', 'roster', 'services'):
        document.setdefault(field, [])
    for service in document['services']:
        service.setdefault('servers', [])
    for entry in document['roster']:
        entry.setdefault('ordinal', 0)


def _violations(error: ValidationError) -> list[str]:
    return [
        f'{".".join(str(part) for part in violation["loc"])}: {violation["msg"]}'
        for violation in error.errors(include_input=False)
    ]


def _invalid(violations: list[str]) -> pb.ChangeReply:
    return pb.ChangeReply(invalid=pb.InvalidChange(violations=violations))


def _conflict(version: int) -> pb.ChangeReply:
    return pb.ChangeReply(conflict=pb.VersionConflict(current_version=version))


def _unavailable(reason: str, *, may_have_happened: bool) -> pb.ChangeReply:
    return pb.ChangeReply(
        unavailable=pb.PlatformUnavailable(
            reason=reason, may_have_happened=may_have_happened
        )
    )
