"""The commands: each sends a request to a node and returns the reply."""

import json
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from google.protobuf.json_format import ParseDict, ParseError
from google.protobuf.message import Message

from daisylift.schema import operator_pb2 as pb
from daisylift_admin.client import OperatorClient
from daisylift_admin.errors import AdminError
from daisylift_admin.status import ExitStatus

BLOCKS_PER_MESSAGE = 1000

SHIFT_ACTIONS = {
    'abort': pb.SHIFT_ACTION_ABORT,
    'resume': pb.SHIFT_ACTION_RESUME,
    'reverse': pb.SHIFT_ACTION_REVERSE,
}


@dataclass(frozen=True, slots=True)
class ChangeOptions:
    """Options of a change; None selects the default."""

    base_version: int | None = None
    operation_id: str | None = None
    target_share: float | None = None


async def run_command(
    words: list[str], client: OperatorClient, options: ChangeOptions
) -> Message:
    """Run the command given by the words and return the node's reply.

    Raises AdminError if the command is unknown or fails.
    """
    handler = HANDLERS_BY_NOUN.get(words[0])
    reply = await handler(words[1:], client, options) if handler else None
    if reply is None:
        raise AdminError(
            f'unknown command {" ".join(words)!r}; see --help', ExitStatus.USAGE
        )
    return reply


async def _policy(
    words: list[str], client: OperatorClient, options: ChangeOptions
) -> Message | None:
    match words:
        case ['show']:
            return await client.get_policy()
        case ['put', file]:
            return await _put_policy(Path(file), client, options)
    return None


async def _server(
    words: list[str], client: OperatorClient, options: ChangeOptions
) -> Message | None:
    match words:
        case ['drain', service, server]:
            return await _set_drain(client, options, service, server, draining=True)
        case ['undrain', service, server]:
            return await _set_drain(client, options, service, server, draining=False)
    return None


async def _entry_vm(
    words: list[str], client: OperatorClient, options: ChangeOptions
) -> Message | None:
    match words:
        case ['drain' | 'undrain' as verb, ordinal]:
            return await _set_entry_drain(client, options, ordinal, verb)
    return None


async def _domain(
    words: list[str], client: OperatorClient, options: ChangeOptions
) -> Message | None:
    match words:
        case ['drain' | 'undrain' as verb, domain]:
            request = pb.SetSiteDrainRequest(
                failure_domain=domain, draining=verb == 'drain'
            )
            return await _submit(client, options, client.set_site_drain, request)
    return None


async def _region(
    words: list[str], client: OperatorClient, options: ChangeOptions
) -> Message | None:
    match words:
        case ['drain' | 'undrain' as verb, region]:
            request = pb.SetSiteDrainRequest(region=region, draining=verb == 'drain')
            return await _submit(client, options, client.set_site_drain, request)
        case ['evacuate', region]:
            request = pb.EvacuateRegionRequest(region=region)
            return await _submit(client, options, client.evacuate_region, request)
    return None


async def _shift(
    words: list[str], client: OperatorClient, options: ChangeOptions
) -> Message | None:
    match words:
        case ['start', shift, service, sources, destinations]:
            return await _start_shift(
                client, options, shift, service, sources, destinations
            )
        case ['abort' | 'resume' | 'reverse' as verb, shift]:
            request = pb.ControlShiftRequest(shift=shift, action=SHIFT_ACTIONS[verb])
            return await _submit(client, options, client.control_shift, request)
        case ['show']:
            return await client.get_shifts()
    return None


async def _blocks(
    words: list[str], client: OperatorClient, options: ChangeOptions
) -> Message | None:
    match words:
        case ['load', file]:
            return await _load_blocks(Path(file), client, options)
    return None


async def _status(
    words: list[str], client: OperatorClient, _: ChangeOptions
) -> Message | None:
    return None if words else await client.get_status()


HANDLERS_BY_NOUN = {
    'policy': _policy,
    'server': _server,
    'entry-vm': _entry_vm,
    'domain': _domain,
    'region': _region,
    'shift': _shift,
    'blocks': _blocks,
    'status': _status,
}


async def _submit(
    client: OperatorClient,
    options: ChangeOptions,
    call: Callable[[Message], Awaitable[pb.ChangeReply]],
    request: Message,
) -> pb.ChangeReply:
    request.header.CopyFrom(await _change_header(client, options))
    return _check_accepted(await call(request))


async def _put_policy(
    file: Path, client: OperatorClient, options: ChangeOptions
) -> pb.ChangeReply:
    request = pb.PutPolicyRequest(policy=_read_policy(file))
    return await _submit(client, options, client.put_policy, request)


async def _set_entry_drain(
    client: OperatorClient, options: ChangeOptions, ordinal: str, verb: str
) -> pb.ChangeReply:
    if not ordinal.isdecimal():
        raise AdminError(f'{ordinal!r} is not an ordinal', ExitStatus.USAGE)
    request = pb.SetEntryDrainRequest(ordinal=int(ordinal), draining=verb == 'drain')
    return await _submit(client, options, client.set_entry_drain, request)


async def _start_shift(
    client: OperatorClient,
    options: ChangeOptions,
    shift: str,
    service: str,
    sources: str,
    destinations: str,
) -> pb.ChangeReply:
    request = pb.StartShiftRequest(
        shift=shift,
        service=service,
        sources=sources.split(','),
        destinations=destinations.split(','),
        target_share=options.target_share,
    )
    return await _submit(client, options, client.start_shift, request)


async def _set_drain(
    client: OperatorClient,
    options: ChangeOptions,
    service: str,
    server: str,
    *,
    draining: bool,
) -> pb.ChangeReply:
    request = pb.SetServerDrainRequest(
        service=service, server=server, draining=draining
    )
    return await _submit(client, options, client.set_server_drain, request)


async def _load_blocks(
    file: Path, client: OperatorClient, options: ChangeOptions
) -> pb.ChangeReply:
    blocks = _read_blocks(file)
    requests = [
        pb.LoadBlocksRequest(blocks=blocks[first : first + BLOCKS_PER_MESSAGE])
        for first in range(0, len(blocks), BLOCKS_PER_MESSAGE)
    ]
    requests[0].header.CopyFrom(await _change_header(client, options))
    return _check_accepted(await client.load_blocks(requests))


def _read_blocks(file: Path) -> list[pb.ClientBlock]:
    """Read a file of lines with a block and its home site."""
    try:
        lines = file.read_text(encoding='utf-8').splitlines()
    except OSError as error:
        raise AdminError(f'{file}: {error.strerror}', ExitStatus.USAGE) from error
    blocks = []
    for number, line in enumerate(lines, start=1):
        words = line.split()
        if len(words) != 2:
            raise AdminError(
                f'{file}: line {number} is not BLOCK SITE', ExitStatus.INVALID
            )
        blocks.append(pb.ClientBlock(block=words[0], home=words[1]))
    if not blocks:
        raise AdminError(f'{file}: there are no blocks', ExitStatus.INVALID)
    return blocks


def _read_policy(file: Path) -> pb.Policy:
    try:
        return ParseDict(json.loads(file.read_text(encoding='utf-8')), pb.Policy())
    except OSError as error:
        raise AdminError(f'{file}: {error.strerror}', ExitStatus.USAGE) from error
    except (ValueError, ParseError) as error:
        raise AdminError(f'{file}: {error}', ExitStatus.INVALID) from error


async def _change_header(
    client: OperatorClient, options: ChangeOptions
) -> pb.ChangeHeader:
    version = options.base_version
    if version is None:
        version = (await client.get_status()).version
    return pb.ChangeHeader(
        base_version=version,
        operation_id=options.operation_id or uuid.uuid4().hex,
    )


def _check_accepted(reply: pb.ChangeReply) -> pb.ChangeReply:
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
            raise AdminError(
                _unavailable_message(reply.unavailable), ExitStatus.UNAVAILABLE
            )
    raise AdminError('the node sent an empty reply')


def _unavailable_message(unavailable: pb.PlatformUnavailable) -> str:
    if unavailable.may_have_happened:
        return (
            f'the platform did not confirm the change ({unavailable.reason}); '
            'repeat it with the same --operation_id'
        )
    return f'the platform is not available ({unavailable.reason}); nothing was changed'
