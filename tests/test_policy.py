"""Tests of the policy model."""

import pytest
from pydantic import ValidationError

from daisylift.models import Policy
from tests.utils import policy_document


def test_example_policy_is_valid():
    policy = Policy.model_validate(policy_document())
    assert policy.services_by_name()['till'].servers[0].slots == 4


@pytest.mark.parametrize(
    ('field', 'value', 'message'),
    [
        ('failure_domain', 'nowhere', "failure domain 'nowhere' is not defined"),
        ('host', 'till.example', 'does not appear to be an IPv4 or IPv6 address'),
        ('slots', 0, 'greater than or equal to 1'),
        ('colour', 'red', 'Extra inputs are not permitted'),
    ],
)
def test_bad_server_is_refused(field, value, message):
    document = policy_document()
    document['services'][0]['servers'][0][field] = value
    with pytest.raises(ValidationError, match=message):
        Policy.model_validate(document)


def test_address_given_twice_is_refused():
    document = policy_document()
    servers = document['services'][0]['servers']
    servers.append(servers[0] | {'name': 'till-again'})
    with pytest.raises(ValidationError, match='address .* is given twice'):
        Policy.model_validate(document)


def test_server_given_twice_is_refused():
    document = policy_document()
    servers = document['services'][0]['servers']
    servers.append(dict(servers[0]))
    with pytest.raises(ValidationError, match='given twice'):
        Policy.model_validate(document)
