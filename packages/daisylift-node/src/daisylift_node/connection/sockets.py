"""Options that let a connection notice a peer that has gone silent."""

import socket

KEEPALIVE_IDLE_SECONDS = 1  # then the kernel asks; a live kernel answers by itself
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def watch_for_silence(connected: socket.socket, unacknowledged_ms: int) -> None:
    """End the connection when its peer's machine no longer answers.

    ``unacknowledged_ms`` bounds how long sent bytes and probes may stay unacknowledged.
    Probes cover the time in which nothing is sent, as while a request runs at the peer.
    """
    probe_while_idle(connected, True)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, unacknowledged_ms),
    ):
        connected.setsockopt(socket.IPPROTO_TCP, option, value)


def probe_while_idle(connected: socket.socket, enabled: bool) -> None:
    """Let the kernel ask the peer's kernel whether it is there, or stop asking."""
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(enabled))
