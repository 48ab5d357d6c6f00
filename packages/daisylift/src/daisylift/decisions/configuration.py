"""Application of accepted changes to the configuration, one version at a time.

A change updates only the part it concerns. The policy is validated as a whole once,
when it is put, and everything derived from it alone is kept in its index.
"""

from dataclasses import replace

from daisylift.decisions.policy_changes import with_policy
from daisylift.decisions.shift_changes import with_shift_change
from daisylift.decisions.state import (
    EMPTY_POLICY,
    BlockPages,
    ChangeProblem,
    ChangeRefusedError,
    Configuration,
    Operation,
    Operations,
    PolicyIndex,
    ServerKey,
    with_effective_drains,
)
from daisylift.errors import PolicyError
from daisylift.models import (
    Change,
    ChangeBody,
    PutPolicy,
    SetBlockPages,
    SetEntryDrain,
    SetOrdinalEpoch,
    SetServerDrain,
    fingerprint,
)

__all__ = [
    'EMPTY_POLICY',
    'BlockPages',
    'ChangeProblem',
    'ChangeRefusedError',
    'Configuration',
    'Operation',
    'Operations',
    'PolicyIndex',
    'ServerKey',
    'apply_body',
    'apply_change',
    'server_keys',
]


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """Return the configuration after the change.

    Raise PolicyError unless the change is of the next version.
    """
    if change.version != configuration.version + 1:
        raise PolicyError(
            f'change {change.version} does not follow version {configuration.version}'
        )
    after = apply_body(configuration, change.body)
    operation = Operation(version=change.version, fingerprint=fingerprint(change.body))
    return replace(
        after,
        version=change.version,
        operations=after.operations.with_operation(change.operation_id, operation),
    )


def apply_body(configuration: Configuration, body: ChangeBody) -> Configuration:
    """Return the configuration with the body applied and the version unchanged.

    Raise ChangeRefusedError when the body does not fit the configuration.
    """
    match body:
        case PutPolicy(policy=policy):
            return _with_epochs(with_policy(configuration, policy))
        case SetServerDrain():
            return _with_server_drain(configuration, body)
        case SetEntryDrain():
            return _with_entry_drain(configuration, body)
        case SetOrdinalEpoch():
            return _with_epoch(configuration, body)
        case SetBlockPages():
            return _with_block_pages(configuration, body)
    return with_shift_change(configuration, body)


def server_keys(configuration: Configuration) -> frozenset[ServerKey]:
    """Return the keys of all backend servers of the policy."""
    return frozenset(configuration.index.domain_by_server)


def _with_epochs(configuration: Configuration) -> Configuration:
    epochs = {entry.ordinal: 0 for entry in configuration.policy.roster}
    return replace(configuration, epochs=epochs | dict(configuration.epochs))


def _with_epoch(configuration: Configuration, body: SetOrdinalEpoch) -> Configuration:
    if body.epoch <= configuration.epochs.get(body.ordinal, -1):
        return configuration
    epochs = dict(configuration.epochs) | {body.ordinal: body.epoch}
    return replace(configuration, epochs=epochs)


def _with_server_drain(
    configuration: Configuration, body: SetServerDrain
) -> Configuration:
    key = ServerKey(service=body.service, server=body.server)
    if key not in configuration.index.domain_by_server:
        raise ChangeRefusedError(
            ChangeProblem.UNKNOWN_NAME,
            f'service {body.service!r} has no server {body.server!r}',
        )
    drains = configuration.server_drains
    drains = drains | {key} if body.draining else drains - {key}
    return with_effective_drains(replace(configuration, server_drains=drains))


def _with_entry_drain(
    configuration: Configuration, body: SetEntryDrain
) -> Configuration:
    if body.ordinal not in configuration.index.ordinals:
        raise ChangeRefusedError(
            ChangeProblem.UNKNOWN_NAME, f'the roster has no ordinal {body.ordinal}'
        )
    drains = configuration.entry_drains
    drains = drains | {body.ordinal} if body.draining else drains - {body.ordinal}
    return replace(configuration, entry_drains=drains)


def _with_block_pages(
    configuration: Configuration, body: SetBlockPages
) -> Configuration:
    current_sites = configuration.blocks.sites
    if body.sites[: len(current_sites)] != current_sites:
        raise ChangeRefusedError(
            ChangeProblem.WRONG_STATE, 'sites of block pages may only be appended'
        )
    for site in body.sites[len(current_sites) :]:
        if site not in configuration.index.region_by_site:
            raise ChangeRefusedError(
                ChangeProblem.UNKNOWN_NAME, f'site {site!r} is not defined'
            )
    pages = dict(configuration.blocks.digest_by_start)
    for start, digest in body.pages.items():
        if digest is None:
            pages.pop(start, None)
            continue
        pages[start] = digest
    return replace(configuration, blocks=BlockPages(body.sites, pages))
