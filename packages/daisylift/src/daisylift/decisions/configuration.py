"""The configuration as a fold over the accepted changes."""

from dataclasses import dataclass, replace

from daisylift.errors import PolicyError
from daisylift.models import Change, ChangeBody, Policy, PutPolicy, SetServerDrain

EMPTY_POLICY = Policy(failure_domains=(), roster=(), services=())


@dataclass(frozen=True, slots=True)
class ServerKey:
    """Names one backend server: the service it does the work of, and its name."""

    service: str
    server: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """What is in force at one version."""

    version: int = 0
    policy: Policy = EMPTY_POLICY
    draining: frozenset[ServerKey] = frozenset()


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """Return the configuration after the change, which must be the next one."""
    if change.version != configuration.version + 1:
        raise PolicyError(
            f'change {change.version} does not follow version {configuration.version}'
        )
    after = apply_body(configuration, change.body)
    return replace(after, version=change.version)


def apply_body(configuration: Configuration, body: ChangeBody) -> Configuration:
    """Return the configuration with the body applied, at an unchanged version."""
    match body:
        case PutPolicy(policy=policy):
            return _with_policy(configuration, policy)
        case SetServerDrain():
            return _with_drain(configuration, body)


def server_keys(policy: Policy) -> frozenset[ServerKey]:
    """Return the keys of all backend servers of the policy."""
    return frozenset(
        ServerKey(service=service.name, server=server.name)
        for service in policy.services
        for server in service.servers
    )


def _with_policy(configuration: Configuration, policy: Policy) -> Configuration:
    draining = configuration.draining & server_keys(policy)
    return replace(configuration, policy=policy, draining=draining)


def _with_drain(configuration: Configuration, body: SetServerDrain) -> Configuration:
    key = ServerKey(service=body.service, server=body.server)
    if key not in server_keys(configuration.policy):
        raise PolicyError(f'service {body.service!r} has no server {body.server!r}')
    if body.draining:
        return replace(configuration, draining=configuration.draining | {key})
    return replace(configuration, draining=configuration.draining - {key})
