"""Sockets that are reset when they are closed.

A reset drops what has not been sent or acknowledged, and the peer can't take it for a normal end.
"""

import socket
import struct

import urllib3

RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
"""Socket option, as level, name and value, with which a socket is reset when it is closed, also if
its process is killed."""

CALL_SOCKET_OPTIONS = [
    *urllib3.connection.HTTPConnection.default_socket_options,
    RESET_ON_CLOSE,
]
"""Socket options of urllib3's connections to targets.

Without a reset, a call that is given up behind a partition reaches the target after it.
"""


def set_reset_on_close(sock: socket.socket, resets: bool) -> None:
    """Set whether closing a socket resets its connection."""
    level, name, _ = RESET_ON_CLOSE
    sock.setsockopt(level, name, struct.pack("ii", resets, 0))
