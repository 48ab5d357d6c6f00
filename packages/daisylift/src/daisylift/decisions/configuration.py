"""The configuration as a fold over the accepted changes."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from daisylift.errors import PolicyError
from daisylift.models import (
    Change,
    ChangeBody,
    Policy,
    PutPolicy,
    SetOrdinalEpoch,
    SetServerDrain,
)

EMPTY_POLICY = Policy(failure_domains=(), roster=(), services=())


@dataclass(frozen=True, slots=True)
class ServerKey:
    """Names one backend server: the service it does the work of, and its name."""

    service: str
    server: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """What is in force at one version.

    ``epochs`` has every ordinal that was ever on the roster; an odd epoch says that
    the ordinal is vacant.
    """

    version: int = 0
    policy: Policy = EMPTY_POLICY
    draining: frozenset[ServerKey] = frozenset()
    epochs: Mapping[int, int] = field(default_factory=dict)

    @property
    def vacant(self) -> frozenset[int]:
        """Return the ordinals that own nothing, because no VM holds them."""
        return frozenset(o for o, epoch in self.epochs.items() if epoch % 2 == 1)

    @property
    def occupied(self) -> frozenset[int]:
        """Return the ordinals that a VM may hold, on the roster or removed from it."""
        return frozenset(o for o, epoch in self.epochs.items() if epoch % 2 == 0)


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
        case SetOrdinalEpoch():
            return _with_epoch(configuration, body)


def server_keys(policy: Policy) -> frozenset[ServerKey]:
    """Return the keys of all backend servers of the policy."""
    return frozenset(
        ServerKey(service=service.name, server=server.name)
        for service in policy.services
        for server in service.servers
    )


def _with_policy(configuration: Configuration, policy: Policy) -> Configuration:
    draining = configuration.draining & server_keys(policy)
    epochs = {entry.ordinal: 0 for entry in policy.roster} | dict(configuration.epochs)
    return replace(configuration, policy=policy, draining=draining, epochs=epochs)


def _with_drain(configuration: Configuration, body: SetServerDrain) -> Configuration:
    key = ServerKey(service=body.service, server=body.server)
    if key not in server_keys(configuration.policy):
        raise PolicyError(f'service {body.service!r} has no server {body.server!r}')
    if body.draining:
        return replace(configuration, draining=configuration.draining | {key})
    return replace(configuration, draining=configuration.draining - {key})


def _with_epoch(configuration: Configuration, body: SetOrdinalEpoch) -> Configuration:
    if body.epoch <= configuration.epochs.get(body.ordinal, -1):
        return configuration
    epochs = dict(configuration.epochs) | {body.ordinal: body.epoch}
    return replace(configuration, epochs=epochs)
