"""The settings of an entry VM on a platform that stores all persistent state.

They are read from an INI file and validated. Sections: ``vm``, ``listen``, ``peer``,
``store``, ``domains`` (failure domain = region), ``limits``, ``bounds``, ``pace`` and
``log``.
"""

import configparser
import ipaddress
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from daisylift_node.errors import SettingsError
from daisylift_node.version.server_paces import PaceMode

MAX_PORT = 65535
MAX_LINK_MBPS = 1e7
MAX_CORES = 1e5
STORE_SECTION = 'store'  # only settings of this kind have this section
DEFAULT_CALLER_TTL_SECONDS = 2.0  # short: callers drop lost VMs soon, lookups are cheap


class Section(BaseModel):
    """A section; unknown keys are ignored, as newer versions may define them."""

    model_config = ConfigDict(frozen=True, extra='ignore')


class Address(BaseModel):
    """An IPv4 address and a port."""

    model_config = ConfigDict(frozen=True)

    host: str
    port: int = Field(ge=1, le=MAX_PORT)

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def _parse_address(text: object) -> object:
    if not isinstance(text, str):
        return text
    host, _, port = text.strip().rpartition(':')
    return {'host': _check_ipv4_address(host), 'port': port}


def _check_ipv4_address(text: str) -> str:
    return str(ipaddress.IPv4Address(text))


AddressText = Annotated[Address, BeforeValidator(_parse_address)]


HostText = Annotated[str, BeforeValidator(_check_ipv4_address)]


class VmSection(Section):
    """The identity and location of this entry VM, as it registers itself."""

    id: str = Field(pattern='^[!-~]{1,253}$')
    host: HostText
    failure_domain: str = Field(min_length=1)
    region: str = Field(min_length=1)


class ListenSection(Section):
    """The addresses for callers, for readiness and for lookups of entry VMs."""

    caller: AddressText
    readiness: AddressText
    directory: AddressText
    metrics_port: int = Field(default=9464, ge=1, le=MAX_PORT)


class PeerSection(Section):
    """The port for other entry VMs, used for both UDP and TCP."""

    port: int = Field(ge=1, le=MAX_PORT)


class StoreSection(Section):
    """The platform's object store.

    ``heartbeat_ms`` is the interval in which backend servers write their registration.
    """

    address: AddressText
    heartbeat_ms: float = Field(default=1500.0, gt=0)


class LimitsSection(Section):
    """The resources of the VM that this process may use."""

    memory_mb: float = Field(gt=0)
    file_descriptors: int = Field(gt=0)
    link_mbps: float = Field(default=0.0, ge=0, le=MAX_LINK_MBPS)
    cores: float = Field(default=0.0, ge=0, le=MAX_CORES)
    core_share: float = Field(default=1.0, gt=0, le=1)


class BoundsSection(Section):
    """The limits agreed with operators, under the names that operators use."""

    stability_window_ms: float = Field(default=3000.0, gt=0)
    drain_ms: float = Field(default=2500.0, gt=0)
    grace_s: float = Field(default=6.0, gt=0)
    budget_ratio: float = Field(default=0.2, ge=0)
    budget_window_s: float = Field(default=10.0, gt=0)
    budget_extra_attempts: float = Field(default=50.0, ge=0)
    cold_multiplier: float = Field(default=1.5, gt=0)
    cold_slack: float = Field(default=5.0, ge=0)
    ttl_max_s: float = Field(default=5.0, gt=0)
    max_region_shift: float = Field(default=0.15, gt=0, le=1)
    quota_window_s: float = Field(default=5.0, gt=0)
    quota_excess: float = Field(default=0.1, ge=0)
    quota_slack: float = Field(default=20.0, ge=0)


class PaceSection(Section):
    """Which servers begin with less than their usual load when they start or recover.

    ``servers``: ``auto`` paces all once a server has reported that it shares its
    machine, ``on`` paces all, ``off`` none.
    """

    servers: PaceMode = PaceMode.AUTO


class LogSection(Section):
    """The lowest level that is logged."""

    level: str = Field(default='INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$')


class EntrySettings(Section):
    """All settings of an entry VM."""

    vm: VmSection
    listen: ListenSection
    peer: PeerSection
    store: StoreSection
    domains: dict[str, str]
    limits: LimitsSection
    bounds: BoundsSection = BoundsSection()
    pace: PaceSection = PaceSection()
    log: LogSection = LogSection()


def is_entry_settings(path: Path) -> bool:
    """Return whether the file has a store section; False if it cannot be read."""
    try:
        return f'[{STORE_SECTION}]' in path.read_text(encoding='utf-8').split()
    except (OSError, UnicodeDecodeError):
        return False  # loading the settings reports what is wrong with the file


def load_entry_settings(path: Path) -> EntrySettings:
    """Read and validate the file.

    Raises SettingsError with section, key and reason.
    """
    parser = configparser.ConfigParser(interpolation=None, delimiters=('=',))
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        with path.open(encoding='utf-8') as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        reason = ' '.join(str(error).split())
        raise SettingsError(f'{path}: {reason}') from error
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return EntrySettings.model_validate(sections)
    except ValidationError as error:
        violation = error.errors(include_input=False)[0]
        location = '.'.join(str(part) for part in violation['loc'])
        raise SettingsError(f'{path}: {location}: {violation["msg"]}') from error
