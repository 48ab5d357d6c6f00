"""Tests of the operators' command against a fake node with prepared replies."""

import io
import json

import pytest
from grpclib.server import Server, Stream

from daisylift.schema import operator_pb2 as pb
from daisylift.schema.operator_grpc import OperatorBase
from daisylift_admin import core
from daisylift_admin.cli import KEY_VARIABLE
from daisylift_admin.client import NodeAddress, OperatorClient
from daisylift_admin.commands import ChangeOptions, run_command
from daisylift_admin.context import Environment
from daisylift_admin.errors import AdminError
from daisylift_admin.output import JsonFormatter, TextFormatter
from daisylift_admin.status import ExitStatus
from tests.fakes.fleet import free_ports


class ScriptedOperator(OperatorBase):
    """Replies to drain requests with the given reply and records the requests."""

    def __init__(self, reply: pb.ChangeReply) -> None:
        self.reply = reply
        self.requests = []

    async def SetServerDrain(self, stream: Stream) -> None:
        self.requests.append(await stream.recv_message())
        await stream.send_message(self.reply)

    async def GetStatus(self, stream: Stream) -> None:
        await stream.recv_message()
        await stream.send_message(pb.GetStatusReply(vm='vm-0', version=7))


ScriptedOperator.__abstractmethods__ = frozenset()


async def run_against(reply: pb.ChangeReply, words: list[str], options=None):
    operator = ScriptedOperator(reply)
    (port,) = free_ports(1)
    server = Server([operator])
    await server.start('127.0.0.1', port)
    try:
        async with OperatorClient(NodeAddress('127.0.0.1', port), 'key') as client:
            result = await run_command(words, client, options or ChangeOptions())
    finally:
        server.close()
        await server.wait_closed()
    return result, operator.requests


ACCEPTED = pb.ChangeReply(accepted=pb.Accepted(version=8))
DRAIN = ['server', 'drain', 'till', 'till-1']


async def test_change_is_based_on_the_current_version():
    reply, requests = await run_against(ACCEPTED, DRAIN)
    assert reply.accepted.version == 8
    assert requests[0].header.base_version == 7
    assert requests[0].header.operation_id


async def test_given_version_and_operation_id_are_used():
    options = ChangeOptions(base_version=3, operation_id='op-1')
    _, requests = await run_against(ACCEPTED, DRAIN, options)
    assert requests[0].header.base_version == 3
    assert requests[0].header.operation_id == 'op-1'


@pytest.mark.parametrize(
    ('reply', 'status', 'message'),
    [
        (
            pb.ChangeReply(conflict=pb.VersionConflict(current_version=9)),
            ExitStatus.CONFLICT,
            'now 9',
        ),
        (
            pb.ChangeReply(invalid=pb.InvalidChange(violations=['no such server'])),
            ExitStatus.INVALID,
            'no such server',
        ),
        (
            pb.ChangeReply(
                unavailable=pb.PlatformUnavailable(
                    reason='lost', may_have_happened=True
                )
            ),
            ExitStatus.UNAVAILABLE,
            'same --operation_id',
        ),
        (
            pb.ChangeReply(unavailable=pb.PlatformUnavailable(reason='down')),
            ExitStatus.UNAVAILABLE,
            'nothing was changed',
        ),
    ],
)
async def test_refused_change_has_its_own_status(reply, status, message):
    with pytest.raises(AdminError, match=message) as caught:
        await run_against(reply, DRAIN)
    assert caught.value.status is status


def run(*arguments: str, key: str = 'a-key') -> tuple[ExitStatus, str]:
    environment = Environment(
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        variables={KEY_VARIABLE: key} if key else {},
    )
    status = core.main(['daisylift', *arguments], environment)
    return status, environment.stderr.getvalue()


@pytest.mark.parametrize(
    ('arguments', 'message'),
    [
        (['--node=somewhere:1', 'status'], 'is not IP:PORT'),
        (['--node=127.0.0.1:0', 'status'], 'is not a port from 1 to 65535'),
        (['--base_version=-1', 'status'], 'base_version'),
        (['dance'], "unknown command 'dance'"),
        (['policy', 'put', 'nowhere.json'], 'nowhere.json: No such file'),
    ],
)
def test_bad_call_is_one_error_line(arguments, message):
    status, stderr = run(*arguments)
    assert status is ExitStatus.USAGE
    assert message in stderr
    assert stderr.startswith('daisylift: error: ')


def test_missing_key_is_reported():
    status, stderr = run('status', key='')
    assert status is ExitStatus.USAGE
    assert KEY_VARIABLE in stderr


@pytest.mark.parametrize('key', ['ключ', 'a\nkey'])
def test_unusable_key_is_reported_without_showing_it(key):
    status, stderr = run('status', key=key)
    assert status is ExitStatus.USAGE
    assert 'printable ASCII' in stderr
    assert key not in stderr


def test_no_node_is_unavailable():
    (port,) = free_ports(1)
    status, stderr = run(f'--node=127.0.0.1:{port}', 'status')
    assert status is ExitStatus.UNAVAILABLE
    assert 'no answer from the node' in stderr


def test_formatters_for_terminal_and_pipe():
    assert TextFormatter().format(ACCEPTED) == 'accepted as version 8\n'
    assert json.loads(JsonFormatter().format(ACCEPTED)) == {
        'accepted': {'version': '8'}
    }


def test_json_shows_the_member_at_ordinal_zero():
    reply = pb.GetStatusReply(vm='vm-0', members=[pb.MemberStatus(vm='vm-0')])
    document = json.loads(JsonFormatter().format(reply))
    assert document['members'][0]['ordinal'] == 0
