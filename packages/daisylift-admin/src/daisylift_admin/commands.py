"""The commands: each makes one request and returns the reply."""

import json
import uuid
from dataclasses import dataclass
from pathlib import Path

from google.protobuf.json_format import ParseDict, ParseError
from google.protobuf.message import Message

from daisylift.schema import operator_pb2 as pb
from daisylift_admin.client import OperatorClient
from daisylift_admin.errors import AdminError
from daisylift_admin.status import ExitStatus


@dataclass(frozen=True, slots=True)
class ChangeOptions:
    """What the operator said of a change; None lets the program choose."""

    base_version: int | None = None
    operation_id: str | None = None


async def run_command(
    words: list[str], client: OperatorClient, options: ChangeOptions
) -> Message:
    """Run the command that the words name."""
    match words:
        case ['policy', 'show']:
            return await client.get_policy()
        case ['policy', 'put', file]:
            return await _put_policy(Path(file), client, options)
        case ['server', 'drain', service, server]:
            return await _set_drain(client, options, service, server, draining=True)
        case ['server', 'undrain', service, server]:
            return await _set_drain(client, options, service, server, draining=False)
        case ['status']:
            return await client.get_status()
    raise AdminError(
        f'unknown command {" ".join(words)!r}; see --help', ExitStatus.USAGE
    )


async def _put_policy(
    file: Path, client: OperatorClient, options: ChangeOptions
) -> pb.ChangeReply:
    policy = _read_policy(file)
    header = await _header(client, options)
    request = pb.PutPolicyRequest(header=header, policy=policy)
    return _accepted(await client.put_policy(request))


async def _set_drain(
    client: OperatorClient,
    options: ChangeOptions,
    service: str,
    server: str,
    *,
    draining: bool,
) -> pb.ChangeReply:
    request = pb.SetServerDrainRequest(
        header=await _header(client, options),
        service=service,
        server=server,
        draining=draining,
    )
    return _accepted(await client.set_server_drain(request))


def _read_policy(file: Path) -> pb.Policy:
    try:
        return ParseDict(json.loads(file.read_text(encoding='utf-8')), pb.Policy())
    except OSError as error:
        raise AdminError(f'{file}: {error.strerror}', ExitStatus.USAGE) from error
    except (ValueError, ParseError) as error:
        raise AdminError(f'{file}: {error}', ExitStatus.INVALID) from error


async def _header(client: OperatorClient, options: ChangeOptions) -> pb.ChangeHeader:
    version = options.base_version
    if version is None:
        version = (await client.get_status()).version
    return pb.ChangeHeader(
        base_version=version,
        operation_id=options.operation_id or uuid.uuid4().hex,
    )


def _accepted(reply: pb.ChangeReply) -> pb.ChangeReply:
    match reply.WhichOneof('outcome'):
        case 'accepted':
            return reply
        case 'conflict':
            raise AdminError(
                'another change came first; the version is now '
                f'{reply.conflict.current_version}',
                ExitStatus.CONFLICT,
            )
        case 'invalid':
            raise AdminError('; '.join(reply.invalid.violations), ExitStatus.INVALID)
        case 'unavailable':
            raise AdminError(_unavailable(reply.unavailable), ExitStatus.UNAVAILABLE)
    raise AdminError('the node sent an empty reply')


def _unavailable(unavailable: pb.PlatformUnavailable) -> str:
    if unavailable.may_have_happened:
        return (
            f'the platform did not confirm the change ({unavailable.reason}); '
            'repeat it with the same --operation_id'
        )
    return f'the platform is not available ({unavailable.reason}); nothing was changed'
