"""Separate loopback addresses for entry VMs.

A port of 127.0.0.1 that was found free, or was released by a stopped VM, may be taken
by an outgoing connection before the VM listens on it. Outgoing connections do not use
ports of other loopback addresses.
"""

import random
import socket

CALLER_PORT = 8548
DIRECTORY_PORT = 8546
READINESS_PORT = 8542
METRICS_PORT = 9464
PEER_PORT = 7540
SERVER_HOST = '127.0.0.2'  # fake servers restart on the same port here


def free_network() -> str:
    """Return the first three octets of an unused network, such as ``127.20.7``."""
    while True:
        network = f'127.{random.randrange(16, 255)}.{random.randrange(255)}'
        with socket.socket() as probe:
            if probe.connect_ex((f'{network}.1', CALLER_PORT)):
                return network
