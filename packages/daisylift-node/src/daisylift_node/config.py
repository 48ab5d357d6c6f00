"""The settings of a node, read from an INI file and validated."""

import configparser
import ipaddress
import socket
from pathlib import Path
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    HttpUrl,
    SecretStr,
    ValidationError,
)

from daisylift.models.policy import MAX_PORT, Name
from daisylift_node.errors import SettingsError

MIN_KEY_CHARACTERS = 16


def _validate_ip_address(host: str) -> str:
    return str(ipaddress.ip_address(host))


def _validate_key(key: SecretStr) -> SecretStr:
    text = key.get_secret_value()
    if len(text) < MIN_KEY_CHARACTERS:
        raise ValueError(f'needs at least {MIN_KEY_CHARACTERS} characters')
    if not (text.isascii() and text.isprintable()):
        raise ValueError('may hold printable ASCII only')
    return key


Host = Annotated[str, AfterValidator(_validate_ip_address)]
Port = Annotated[int, Field(ge=1, le=MAX_PORT)]
Key = Annotated[SecretStr, AfterValidator(_validate_key)]


class SettingsSection(BaseModel):
    """A section; unknown keys are an error."""

    model_config = ConfigDict(frozen=True, extra='forbid')


class VmSettings(SettingsSection):
    """The identity of this VM."""

    id: Name = Field(default_factory=lambda: socket.gethostname().lower())
    failure_domain: Name


class ListenSettings(SettingsSection):
    """An address to listen on."""

    host: Host
    port: Port


class KeyedListenSettings(ListenSettings):
    """An address to listen on for clients that have the shared key."""

    key: Key


def _split_addresses(text: object) -> object:
    if not isinstance(text, str):
        return text
    addresses = (word.rpartition(':') for word in text.replace(',', ' ').split())
    return [{'host': host.strip('[]'), 'port': port} for host, _, port in addresses]


class PeerSettings(KeyedListenSettings):
    """The address for peers.

    ``seeds`` are the addresses of some other nodes, contacted if the platform is down;
    in the file, a list of HOST:PORT.
    """

    seeds: Annotated[tuple[ListenSettings, ...], BeforeValidator(_split_addresses)] = ()


class PlatformSettings(SettingsSection):
    """The URL of the platform's object API and the timeout of a call."""

    url: HttpUrl
    timeout_seconds: Annotated[float, Field(gt=0.0, le=60.0)] = 2.0


class StopSettings(SettingsSection):
    """The phases of a planned stop.

    The node announces the stop for ``announce_seconds``, then waits up to
    ``finish_seconds`` for requests in flight.
    """

    announce_seconds: Annotated[float, Field(ge=0.0, le=600.0)] = 3.0
    finish_seconds: Annotated[float, Field(ge=0.0, le=3600.0)] = 30.0


class LogSettings(SettingsSection):
    """Level and format of the log."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    format: Literal['text', 'json'] = 'text'


class Settings(SettingsSection):
    """All settings of a node."""

    vm: VmSettings
    caller: ListenSettings
    operations: ListenSettings
    operator: KeyedListenSettings
    peer: PeerSettings
    platform: PlatformSettings
    stop: StopSettings = StopSettings()
    log: LogSettings = LogSettings()


def load_settings(path: Path) -> Settings:
    """Read and validate the file.

    Raises SettingsError with section, key and reason.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding='utf-8') as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError(f'{path}: {_one_line(error)}') from error
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return Settings.model_validate(sections)
    except ValidationError as error:
        raise SettingsError(f'{path}: {_first_violation(error)}') from error


def _first_violation(error: ValidationError) -> str:
    violation = error.errors(include_input=False)[0]
    section, *key = (str(part) for part in violation['loc'])
    location = f'[{section}] {".".join(key)}' if key else f'[{section}]'
    return f'{location}: {violation["msg"]}'


def _one_line(error: Exception) -> str:
    return ' '.join(str(error).split())
