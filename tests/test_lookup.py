"""Tests of lookups: typed refusals, equal answers on all nodes, never empty."""

import ipaddress

import pytest

from daisylift.decisions.blocks import EMPTY_TABLE, merged_pages, parse_range
from daisylift.decisions.configuration import Configuration, apply_change
from daisylift.models import (
    Change,
    Claim,
    Policy,
    PutPolicy,
    SetBlockPages,
    SetEntryDrain,
)
from daisylift_node.process.members import Member
from daisylift_node.process.metrics import Metrics
from daisylift_node.request.lookup import LookupAnswer, LookupHandler
from daisylift_node.request.problem import Reason, Refusal
from daisylift_node.request.request_ids import RequestIdIssuer
from daisylift_node.version.steering import Steering
from tests.utils import policy_document

DOMAINS = ('arusha-1', 'arusha-2', 'dar-1')


class FakeMembers:
    own = None

    def __init__(self) -> None:
        self.by_ordinal = {n: member(n) for n in range(len(DOMAINS))}


def member(ordinal: int) -> Member:
    return Member(
        Claim(
            ordinal=ordinal,
            vm=f'vm-{ordinal}',
            incarnation='1',
            failure_domain=DOMAINS[ordinal],
            caller_host='127.0.0.1',
            caller_port=7000 + ordinal,
            peer_host='127.0.0.1',
            peer_port=7100 + ordinal,
        )
    )


def configured(*bodies) -> Configuration:
    configuration = Configuration()
    policy = PutPolicy(policy=Policy.model_validate(policy_document()))
    for body in (policy, *bodies):
        version = configuration.version + 1
        change = Change(version=version, operation_id=f'op-{version}', body=body)
        configuration = apply_change(configuration, change)
    return configuration


def handler(configuration: Configuration, members=None) -> LookupHandler:
    steering = Steering(members or FakeMembers())
    steering.set_configuration(configuration)
    table = EMPTY_TABLE.with_pages(
        merged_pages(EMPTY_TABLE, [parse_range('10.0.0.0/8', 2)])
    )
    steering.set_blocks(table)
    steering.refresh_entries()
    issuer = RequestIdIssuer(members or FakeMembers(), b'key')
    return LookupHandler(steering, issuer, Metrics())


BLOCKS = SetBlockPages(sites=DOMAINS, pages={'4.0a000000': '0' * 32})


def test_block_is_steered_to_its_home_and_nearest_vms_come_first():
    answer = handler(configured(BLOCKS)).answer('till', '10.1.2.3')
    assert isinstance(answer, LookupAnswer)
    assert answer.site == 'dar-1'
    assert [m.claim.ordinal for m in answer.entry_vms][0] == 2
    assert len(answer.entry_vms) == 3
    assert answer.version == 2


@pytest.mark.parametrize(
    ('service', 'client', 'reason'),
    [
        ('nothing', '10.0.0.1', Reason.UNKNOWN_SERVICE),
        ('till', 'x' * 5000, Reason.BAD_REQUEST),
        ('till', '', Reason.BAD_REQUEST),
        ('till', '10.0.0.256', Reason.BAD_REQUEST),
    ],
)
def test_bad_input_gets_a_typed_refusal(service, client, reason):
    answer = handler(configured(BLOCKS)).answer(service, client)
    assert isinstance(answer, Refusal)
    assert answer.reason is reason


def test_nothing_is_answered_before_a_configuration_is_in_force():
    answer = handler(Configuration()).answer('till', '10.0.0.1')
    assert answer.reason is Reason.NOT_READY


def test_two_nodes_give_the_same_answers():
    one, other = handler(configured(BLOCKS)), handler(configured(BLOCKS))
    for number in range(0, 1 << 32, 1 << 23):
        client = str(ipaddress.IPv4Address(number))
        assert one.answer('till', client) == other.answer('till', client)


def test_drained_entry_vms_are_dropped_but_never_all():
    members = FakeMembers()
    drains = [SetEntryDrain(ordinal=n, draining=True) for n in range(3)]
    answer = handler(configured(BLOCKS, drains[2]), members).answer('till', '10.0.0.1')
    assert 2 not in [m.claim.ordinal for m in answer.entry_vms]
    answer = handler(configured(BLOCKS, *drains), members).answer('till', '10.0.0.1')
    assert len(answer.entry_vms) == 3


def test_block_may_be_given_in_place_of_an_address():
    answer = handler(configured(BLOCKS)).answer('till', '10.7.0.0/16')
    assert answer.site == 'dar-1'
