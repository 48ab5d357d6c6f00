"""Tests of decoding the store's documents and headers; invalid ones are refused."""

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from daisylift.decisions.server_stats import LoadReport
from daisylift.models.desired_state import Destination, RequestKind
from daisylift.models.registered_server import EntryMember
from daisylift_node.platform import PlatformDialect, PlatformDocuments
from daisylift_node.version.documents import DocumentError

DOCUMENTS = PlatformDocuments()
SERVER = {
    'service': 'catalogue',
    'address': '10.1.64.3:8447',
    'zone': 'arusha-a',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_remaining_ms': 1500,
    'sequence': 4,
    'born': 1_778_858_963_007,
}
RULE: dict[str, Any] = {
    'name': 'r-1',
    'kind': 'safe',
    'target_latency_ms': 200,
    'priority': 2,
    'sticky': True,
    'match': {'path_prefix': '/x/'},
    'action': {
        'service': 'catalogue',
        'timeout_ms': 1000,
        'attempts': 2,
        'home_regions': ['arusha'],
    },
}
CONFIG: dict[str, Any] = {
    'version': '0000001a',
    'limits': {
        'header_bytes': 16384,
        'body_bytes': 1000,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'listeners': [{'host': 'A.example', 'rules': [RULE]}],
    'clusters': [
        {
            'name': 'catalogue',
            'health_path': '/health',
            'max_connections': 330,
            'cold_start_s': 3.0,
            'cold_per_s': 19.0,
        }
    ],
}


def test_a_server_is_decoded() -> None:
    server = DOCUMENTS.server('i-1', SERVER)
    assert (server.host, server.port) == ('10.1.64.3', 8447)
    assert server.failure_domain == 'arusha-a'
    assert server.cold_seconds == 1.5
    assert not server.leaving
    assert server.started_at_ms == 1_778_858_963_007


def test_a_draining_server_is_leaving() -> None:
    assert DOCUMENTS.server('i-1', {**SERVER, 'state': 'draining'}).leaving


@pytest.mark.parametrize(
    'body',
    [
        None,
        [],
        'text',
        {},
        {**SERVER, 'slots': '6'},
        {**SERVER, 'slots': 0},
        {**SERVER, 'slots': 65_536},
        {**SERVER, 'slots': 10**30},
        {**SERVER, 'slots': True},
        {**SERVER, 'cold_remaining_ms': -1},
        {**SERVER, 'cold_remaining_ms': 1e300},
        {**SERVER, 'cold_remaining_ms': float('inf')},
        {**SERVER, 'cold_remaining_ms': float('nan')},
        {**SERVER, 'born': -1},
        {**SERVER, 'born': 1.5},
        {**SERVER, 'sequence': 'x'},
        {**SERVER, 'sequence': -1},
        {**SERVER, 'version': 7},
        {**SERVER, 'zone': ''},
        {**SERVER, 'service': '\ud800'},
        {**SERVER, 'state': 'asleep'},
        {**SERVER, 'address': 'nowhere'},
        {**SERVER, 'address': ':80'},
        {**SERVER, 'address': '10.1.64.3:'},
        {**SERVER, 'address': '10.1.64.3:0'},
        {**SERVER, 'address': '10.1.64.3:65536'},
        {**SERVER, 'address': '10.1.64.3:-1'},
        {**SERVER, 'address': '10.1.64.3: 80'},
        {**SERVER, 'address': '10.1.64.3:808\u00b2'},
        {**SERVER, 'address': '10.1.64.3:\u0661\u0662'},
        {**SERVER, 'address': f'10.1.64.3:{"9" * 5000}'},
        {**SERVER, 'address': '10.1.64.300:80'},
        {**SERVER, 'address': '10.1.64.3\x00:80'},
        {**SERVER, 'address': f'{"a" * 300}:80'},
        {**SERVER, 'address': 'host.example:80'},
        {**SERVER, 'service': ''},
        *(
            {name: value for name, value in SERVER.items() if name != missing}
            for missing in SERVER
            if missing != 'born'
        ),
    ],
)
def test_an_invalid_registration_is_refused(body: Any) -> None:
    with pytest.raises(DocumentError):
        DOCUMENTS.server('i-1', body)


@pytest.mark.parametrize('name', ['', ' ', 'a b', 'a\r\nb', 'a\x00', '\xe9', '\ud800'])
def test_a_server_whose_id_cannot_be_sent_is_refused(name: str) -> None:
    with pytest.raises(DocumentError):
        DOCUMENTS.server(name, SERVER)


def test_a_server_that_names_no_start_is_decoded() -> None:
    body = {name: value for name, value in SERVER.items() if name != 'born'}
    assert DOCUMENTS.server('i-1', body).started_at_ms == 0


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=5,
)


@given(st.text(), st.dictionaries(st.sampled_from(sorted(SERVER)), JSON_VALUES))
def test_a_registration_is_decoded_or_refused(
    name: str, odd: dict[str, object]
) -> None:
    try:
        server = DOCUMENTS.server(name, {**SERVER, **odd})
    except DocumentError:
        return
    assert server.incarnation_id
    assert 0 < server.port < 2**16
    assert 0 < server.slots < 2**16
    assert 0.0 <= server.cold_seconds <= 86_400.0


def test_a_desired_state_is_decoded() -> None:
    state = DOCUMENTS.desired_state(CONFIG)
    assert state.version == 0x1A
    (route,) = state.routes
    assert route.host == 'a.example'
    assert route.kind is RequestKind.SAFE
    assert route.destinations == (Destination('catalogue', 1),)
    assert (route.timeout_seconds, route.target_seconds) == (1.0, 0.2)
    assert route.home_regions == {'arusha'}
    assert state.limits.body_bytes == 1000
    assert state.services_by_name['catalogue'].cold_requests_per_second == 19.0


def test_a_split_keeps_its_weights() -> None:
    split = [{'service': 'a', 'weight': 90}, {'service': 'b', 'weight': 10}]
    action = {'traffic_split': split, 'timeout_ms': 1000, 'attempts': 2}
    rule = {**RULE, 'action': action}
    config = {**CONFIG, 'listeners': [{'host': 'a', 'rules': [rule]}]}
    (route,) = DOCUMENTS.desired_state(config).routes
    assert route.destinations == (Destination('a', 90), Destination('b', 10))


def test_an_unknown_kind_is_treated_as_unsafe() -> None:
    config = {**CONFIG, 'listeners': [{'host': 'a', 'rules': [{**RULE, 'kind': 'x'}]}]}
    (route,) = DOCUMENTS.desired_state(config).routes
    assert route.kind is RequestKind.UNSAFE


@pytest.mark.parametrize(
    'body',
    [
        None,
        {},
        {**CONFIG, 'version': 'xyz'},
        {**CONFIG, 'version': ''},
        {**CONFIG, 'version': '-1'},
        {**CONFIG, 'version': '0x1'},
        {**CONFIG, 'version': '1_0'},
        {**CONFIG, 'version': '\u0661'},
        {**CONFIG, 'version': '1\n'},
        {**CONFIG, 'version': 'f' * 5000},
        {**CONFIG, 'limits': {'header_bytes': 0}},
        {**CONFIG, 'limits': {'header_bytes': 10**18}},
        {**CONFIG, 'limits': {'idle_timeout_ms': 1e300}},
        {**CONFIG, 'listeners': [{}]},
    ],
)
def test_an_invalid_desired_state_is_refused(body: Any) -> None:
    with pytest.raises(DocumentError):
        DOCUMENTS.desired_state(body)


def test_members_survive_a_round_trip() -> None:
    member = EntryMember('a', 5, 'arusha-a', 'arusha', 'h:80', '10.1.0.4', 7540)
    assert DOCUMENTS.member('a', DOCUMENTS.member_body(member)) == member
    weak = replace(member, link_mbps=5.0, cores=0.989)
    assert DOCUMENTS.member('a', DOCUMENTS.member_body(weak)) == weak


def test_headers_of_the_node_replace_those_of_the_caller() -> None:
    headers = [
        (b'Host', b'a.example'),
        (b'DEADLINE-MILLISECONDS', b'9000'),
        (b'Target-Instance', b'i-evil'),
        (b'X-Other', b'1'),
    ]
    sent = PlatformDialect().request_headers(headers, 'i-1', 0.25)
    assert (b'Deadline-Milliseconds', b'250') in sent
    assert (b'Target-Instance', b'i-1') in sent
    assert (b'X-Other', b'1') in sent
    assert len(sent) == 4


@pytest.mark.parametrize('text', ['soon', '', 'nan', 'inf', '-inf'])
def test_an_invalid_time_limit_is_none(text: str) -> None:
    terms = PlatformDialect().read_request({'Deadline-Milliseconds': text})
    assert terms.remaining_seconds is None


@pytest.mark.parametrize('load', ['', '1,2', 'a,b,c'])
def test_an_invalid_load_is_none(load: str) -> None:
    assert PlatformDialect().read_response(200, {'server-load': load}).load is None


def test_a_load_names_the_slowdown_of_the_machine() -> None:
    load = PlatformDialect().read_response(200, {'server-load': '1,2,6,130'}).load
    assert load == LoadReport(running=1, waiting=2, slots=6, slowdown=1.3)


# A slowdown that cannot be read took the rest of the report with it.
@pytest.mark.parametrize('more', ['', ',', ',x', ',-5', ',0', ',1e3', ',,7', ',nan'])
def test_a_load_without_a_readable_slowdown_keeps_its_other_figures(more: str) -> None:
    load = PlatformDialect().read_response(200, {'server-load': f'1,2,6{more}'}).load
    assert load == LoadReport(running=1, waiting=2, slots=6)


def test_a_load_with_figures_of_newer_servers_is_not_dropped() -> None:
    load = PlatformDialect().read_response(200, {'server-load': '1,2,6,130,9'}).load
    assert load == LoadReport(running=1, waiting=2, slots=6, slowdown=1.3)


def test_responses_of_requests_that_did_not_run_are_recognized() -> None:
    dialect = PlatformDialect()
    assert dialect.read_response(503, {'not-executed': '1'}).was_not_run
    assert dialect.read_response(421, {}).was_not_run
    assert not dialect.read_response(503, {}).was_not_run
