"""Parsers for the types of arguments, with error messages for invalid ones."""

import ipaddress

from absl import flags

from daisylift_admin.client import NodeAddress

MAX_PORT = 65_535


class NodeAddressParser(flags.ArgumentParser):
    """Parses ``IP:PORT``."""

    syntactic_help = 'IP:PORT'

    def parse(self, argument: str | NodeAddress) -> NodeAddress:
        """Return the address; raise ValueError with the reason if it is invalid."""
        if isinstance(argument, NodeAddress):
            return argument
        host, _, port = argument.rpartition(':')
        try:
            ipaddress.ip_address(host.strip('[]'))
        except ValueError as error:
            raise ValueError(f'{argument!r} is not IP:PORT') from error
        if not port.isdigit() or not 1 <= int(port) <= MAX_PORT:
            raise ValueError(f'{port!r} is not a port from 1 to {MAX_PORT}')
        return NodeAddress(host=host.strip('[]'), port=int(port))

    def flag_type(self) -> str:
        """Return the name of the type, used in help texts."""
        return 'IP:PORT'
