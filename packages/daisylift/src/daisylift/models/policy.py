"""Steering policy: which services are served, where, and with how many slots."""

import ipaddress
from collections.abc import Iterable
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, field_validator, model_validator

MAX_NAME_LENGTH = 64
MAX_SLOTS = 1024
MAX_CONNECTIONS = 100_000
MAX_PORT = 65_535
MAX_TIMEOUT_SECONDS = 3600.0
MAX_ANSWER_TTL_SECONDS = 3600.0

Name = Annotated[
    str,
    Field(pattern=r'^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$', max_length=MAX_NAME_LENGTH),
]
Share = Annotated[float, Field(gt=0.0, le=1.0)]


class StrictModel(BaseModel):
    """An immutable model that rejects unknown fields."""

    model_config = ConfigDict(frozen=True, extra='forbid')


class FailureDomain(StrictModel):
    """A part of a region that fails as a unit; lookups steer to it as a site."""

    name: Name
    region: Name


class RosterEntry(StrictModel):
    """A position for an entry VM; a VM claims it by its ordinal."""

    ordinal: Annotated[int, Field(ge=0)]
    failure_domain: Name


class BackendServer(StrictModel):
    """A server that runs the requests of one service."""

    name: Name
    host: str
    port: Annotated[int, Field(ge=1, le=MAX_PORT)]
    failure_domain: Name
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, Field(ge=1, le=MAX_CONNECTIONS)]

    @property
    def address(self) -> str:
        """Return the address the server listens on.

        Addresses must be unique within a service, as a server listed under two names
        would get twice its slots.
        """
        return f'{self.host}:{self.port}'

    @field_validator('host')
    @classmethod
    def _host_is_ip_address(cls, host: str) -> str:
        return str(ipaddress.ip_address(host))


class Service(StrictModel):
    """A service that callers name in lookups and requests.

    ``shift_cap`` is the largest share of the service's traffic that may move within
    ``shift_period_seconds``. Callers may cache lookup answers for
    ``answer_ttl_seconds``.
    """

    name: Name
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD')
    timeout_seconds: Annotated[float, Field(gt=0.0, le=MAX_TIMEOUT_SECONDS)] = 5.0
    queue_timeout_seconds: Annotated[float, Field(ge=0.0, le=60.0)] = 0.2
    retry_budget: Annotated[float, Field(ge=0.0, le=1.0)] = 0.1
    shift_cap: Share = 0.1
    shift_period_seconds: Annotated[float, Field(ge=1.0, le=86_400.0)] = 10.0
    answer_ttl_seconds: Annotated[float, Field(ge=0.0, le=MAX_ANSWER_TTL_SECONDS)] = 2.0
    cold_start_seconds: Annotated[float, Field(ge=0.0, le=3600.0)] = 10.0
    servers: tuple[BackendServer, ...]

    @model_validator(mode='after')
    def _servers_are_distinct(self) -> Self:
        _require_distinct((server.name for server in self.servers), 'server')
        _require_distinct((server.address for server in self.servers), 'address')
        return self


class Link(StrictModel):
    """Byte budget for one direction of the link between two regions."""

    source: Name
    destination: Name
    bytes_per_second: Annotated[int, Field(ge=1)]


class Policy(StrictModel):
    """The complete policy set by operators, validated as a whole."""

    failure_domains: tuple[FailureDomain, ...]
    roster: tuple[RosterEntry, ...]
    services: tuple[Service, ...]
    links: tuple[Link, ...] = ()
    evacuation_cap: Share = 0.25

    @model_validator(mode='after')
    def _references_are_known(self) -> Self:
        _require_distinct((d.name for d in self.failure_domains), 'failure domain')
        _require_distinct((s.name for s in self.services), 'service')
        _require_distinct((r.ordinal for r in self.roster), 'roster ordinal')
        domains = {domain.name for domain in self.failure_domains}
        regions = {domain.region for domain in self.failure_domains}
        for entry in self.roster:
            _require_known(entry.failure_domain, domains, 'failure domain')
        for service in self.services:
            for server in service.servers:
                _require_known(server.failure_domain, domains, 'failure domain')
        for link in self.links:
            _require_known(link.source, regions, 'region')
            _require_known(link.destination, regions, 'region')
        return self

    def services_by_name(self) -> dict[str, Service]:
        """Return the services keyed by name."""
        return {service.name: service for service in self.services}

    def regions_by_failure_domain(self) -> dict[str, str]:
        """Return the region of each failure domain, keyed by its name."""
        return {domain.name: domain.region for domain in self.failure_domains}


def _require_distinct(names: Iterable[object], what: str) -> None:
    seen = set()
    for name in names:
        if name in seen:
            raise ValueError(f'{what} {name!r} is given twice')
        seen.add(name)


def _require_known(name: str, known: set[str], what: str) -> None:
    if name not in known:
        raise ValueError(f'{what} {name!r} is not defined')
