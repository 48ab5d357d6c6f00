"""Socket options that detect a peer that no longer responds."""

import socket

KEEPALIVE_IDLE_SECONDS = 1  # until the first probe, which the peer's kernel answers
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def enable_silence_detection(connected: socket.socket, unacknowledged_ms: int) -> None:
    """Let the kernel end the connection when the peer's machine no longer responds.

    ``unacknowledged_ms`` limits how long sent bytes and probes may stay unacknowledged.
    Probes cover times in which nothing is sent, such as while the peer runs a request.
    """
    set_keepalive_probes(connected, True)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, unacknowledged_ms),
    ):
        connected.setsockopt(socket.IPPROTO_TCP, option, value)


def set_keepalive_probes(connected: socket.socket, enabled: bool) -> None:
    """Enable or disable the kernel's keep-alive probes on an idle connection."""
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(enabled))
