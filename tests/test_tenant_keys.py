"""Tests of keys of tenants: who is accepted, and what a server gets to see of it."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict

from daisylift.decisions.tenant_keys import (
    Credential,
    KeyRefusal,
    TenantKeys,
    digest_key,
)
from daisylift.models.desired_state import Tenant
from daisylift_node.platform import PlatformDialect, PlatformDocuments
from daisylift_node.request.dialect import CallerIdentity
from daisylift_node.version.documents import DocumentError
from tests.test_platform_documents import CONFIG

DIALECT = PlatformDialect()
VISIBLE = ''.join(map(chr, range(33, 127)))
ODD_TEXT = st.text(f'{VISIBLE} \t\n\x00\xe9\u2028\ud800', max_size=9)
ODD_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | ODD_TEXT,
    lambda children: st.lists(children) | st.dictionaries(ODD_TEXT, children),
    max_leaves=5,
)
TENANT: dict[str, Any] = {
    'name': 'huka270',
    'keys': ['k-one', 'k-two'],
    'priority': 1,
    'requests_per_s': 489,
    'burst': 100.5,
    'home_regions': ['arusha'],
}


def decoded(*tenants: Any) -> dict[str, Tenant]:
    config = {**CONFIG, 'tenants': list(tenants)}
    return PlatformDocuments().desired_state(config).tenants_by_name


def credential(*values: str) -> Credential | None:
    return DIALECT.read_credential(CIMultiDict(('Authorization', v) for v in values))


def test_a_tenant_is_decoded_and_its_keys_are_not_kept() -> None:
    (tenant,) = decoded(TENANT).values()
    assert tenant.key_digests == {digest_key('k-one'), digest_key('k-two')}
    assert (tenant.priority, tenant.requests_per_second, tenant.burst) == (
        1,
        489,
        100.5,
    )
    assert tenant.home_regions == {'arusha'}
    assert 'k-one' not in repr(tenant)


def test_a_tenant_without_limit_priority_and_keys_is_decoded() -> None:
    tenants = decoded({'name': 'a'}, {'name': 'b', 'keys': [], 'requests_per_s': 0})
    for tenant in tenants.values():
        assert tenant == Tenant(tenant.name)


def test_no_tenants_need_no_keys() -> None:
    assert decoded() == {}
    for credentials in (None, credential('Bearer k'), credential('x')):
        assert TenantKeys().authenticate(credentials, is_public=False) is None


@pytest.mark.parametrize(
    'odd',
    [
        {'name': ''},
        {'name': 'a\r\nTenant: b'},
        {'name': 'a\n'},
        {'name': ' a'},
        {'name': '\xe9'},
        {'name': 'a' * 254},
        {'keys': 'k-one'},
        {'keys': ['']},
        {'keys': [7]},
        {'keys': ['\ud800']},
        {'priority': '1'},
        {'priority': True},
        {'requests_per_s': -1},
        {'requests_per_s': float('nan')},
        {'burst': float('inf')},
        {'home_regions': 'arusha'},
    ],
)
def test_an_odd_tenant_is_refused_without_telling_a_key(odd: dict[str, Any]) -> None:
    with pytest.raises(DocumentError) as refusal:
        decoded({**TENANT, **odd})
    assert 'k-' not in str(refusal.value)
    assert 'k-' not in str(refusal.value.__cause__)


def test_two_tenants_of_one_name_are_refused() -> None:
    with pytest.raises(DocumentError):
        decoded(TENANT, TENANT)


@given(st.dictionaries(st.sampled_from(sorted(TENANT)), ODD_VALUES))
def test_a_tenant_is_decoded_or_refused(odd: dict[str, object]) -> None:
    try:
        (tenant,) = decoded({**TENANT, **odd}).values()
    except DocumentError:
        return
    assert tenant.requests_per_second is None or 0 < tenant.requests_per_second <= 1e9


KEYS = TenantKeys(decoded(TENANT, {'name': 'other', 'keys': ['k-three']}).values())


@pytest.mark.parametrize(
    'text',
    ['Bearer k-one', 'bearer k-two', 'BEARER  k-one', 'bEaReR k-one ', ' Bearer k-one'],
)
def test_a_key_is_accepted_in_any_spelling_of_the_scheme(text: str) -> None:
    found = KEYS.authenticate(credential(text), is_public=False)
    assert isinstance(found, Tenant)
    assert found.name == 'huka270'


@pytest.mark.parametrize(
    'text',
    [
        '',
        'Bearer',
        'Bearer ',
        'k-one',
        'Bearerk-one',
        'Bearer\tk-one',
        'Basic k-one',
        'Bearer k-one k-one',
        'Bearer k-one, Bearer k-one',
        'Bearer k\xf6ne',
        'Bearer k-\udcff',
    ],
)
def test_a_malformed_key_is_refused(text: str) -> None:
    found = credential(text)
    assert KEYS.authenticate(found, is_public=False) is KeyRefusal.MALFORMED
    assert KEYS.authenticate(found, is_public=True) is None


def test_a_missing_unknown_or_doubled_key_is_refused() -> None:
    assert KEYS.authenticate(None, is_public=False) is KeyRefusal.MISSING
    assert KEYS.authenticate(None, is_public=True) is None
    doubled = credential('Bearer k-one', 'Bearer k-one')
    assert KEYS.authenticate(doubled, is_public=False) is KeyRefusal.MALFORMED
    for is_public in (False, True):
        unknown = credential('Bearer k-onf')
        assert KEYS.authenticate(unknown, is_public) is KeyRefusal.UNKNOWN


def test_a_public_route_knows_the_tenant_of_a_key() -> None:
    found = KEYS.authenticate(credential('Bearer k-three'), is_public=True)
    assert isinstance(found, Tenant)
    assert found.name == 'other'


def test_a_key_of_two_tenants_is_accepted_for_neither() -> None:
    keys = TenantKeys(
        decoded(
            TENANT,
            {'name': 'b', 'keys': ['k-one', 'k-b']},
            {'name': 'c', 'keys': ['k-one']},
        ).values()
    )
    assert len(keys.ambiguous_digests) == 1
    shared = keys.authenticate(credential('Bearer k-one'), is_public=False)
    assert shared is KeyRefusal.UNKNOWN
    assert keys.authenticate(credential('Bearer k-b'), is_public=False) is not None


@given(
    st.sets(st.text(VISIBLE, min_size=1)),
    st.text(VISIBLE, min_size=1),
)
def test_only_keys_that_a_tenant_holds_are_accepted(
    held: set[str], presented: str
) -> None:
    keys = TenantKeys(decoded({'name': 'a', 'keys': sorted(held)}).values())
    found = keys.authenticate(credential(f'Bearer {presented}'), is_public=False)
    assert isinstance(found, Tenant) == (presented in held)


ODD_CASE = st.sampled_from([b'authorization', b'tenant']).flatmap(
    lambda name: st.tuples(*(st.booleans() for _ in name)).map(
        lambda upper: bytes(
            c - 32 if is_upper and c > 96 else c
            for c, is_upper in zip(name, upper, strict=True)
        )
    )
)


@given(st.lists(st.tuples(ODD_CASE, st.binary(max_size=20))), st.booleans())
def test_the_key_and_the_callers_tenant_reach_no_server(
    identity_headers: list[tuple[bytes, bytes]], has_tenant: bool
) -> None:
    """Callers spell these headers oddly, send them twice, or claim another tenant."""
    headers = [*identity_headers, (b'X-Tenant', b'kept')]
    identity = CallerIdentity('huka270' if has_tenant else None)
    sent = DIALECT.request_headers(headers, 'i-1', 1.0, identity)
    names = [name.lower() for name, _ in sent]
    assert b'authorization' not in names
    assert names.count(b'tenant') == has_tenant
    assert ((b'Tenant', b'huka270') in sent) == has_tenant
    assert (b'X-Tenant', b'kept') in sent


def test_without_tenants_headers_pass_as_before() -> None:
    headers = [(b'Authorization', b'Basic x'), (b'Tenant', b'y')]
    sent = DIALECT.request_headers(headers, 'i-1', 1.0)
    assert sent[:2] == headers
