"""What a connection's peer has not acknowledged yet."""

import fcntl
import socket
import sys
import termios

_COUNT_BYTES = 4


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the bytes sent on ``sock`` that the kernel of its peer has not acknowledged.

    Raises
    ------
    OSError
        The socket is closed.
    """
    count = bytearray(_COUNT_BYTES)
    fcntl.ioctl(sock, termios.TIOCOUTQ, count)
    return int.from_bytes(count, sys.byteorder)
