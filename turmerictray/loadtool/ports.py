"""Free ports on 127.0.0.1 that no other launcher of local fleets assigns at the same time."""

import random
import socket

_PORT_RANGE = (10240, 32768)
"""Below the ephemeral range (32768 and up on Linux). A port within that range could be assigned to
an outgoing connection of the load before the intended process binds it, which then fails with
"address already in use"."""

_BLOCK_SIZE = 32


class PortBlocks:
    """Assigns ports from blocks that this process reserves until it ends.

    A port is free from its assignment until the started process binds it, so that another launcher
    could assign it too. A launcher therefore reserves whole blocks, by holding a socket that is
    bound to the first port of each.
    """

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._unassigned: list[int] = []

    def free_port(self) -> int:
        """Return a free TCP port that was not returned before.

        Raises
        ------
        RuntimeError
            If all blocks are reserved.
        """
        while True:
            if not self._unassigned:
                self._reserve_block()
            port = self._unassigned.pop()
            if _is_free(port):
                return port

    def _reserve_block(self) -> None:
        starts = list(range(*_PORT_RANGE, _BLOCK_SIZE))
        random.shuffle(starts)
        for start in starts:
            guard = socket.socket()
            try:
                guard.bind(("127.0.0.1", start))
            except OSError:
                guard.close()
                continue
            self._guards.append(guard)
            self._unassigned = list(range(start + 1, start + _BLOCK_SIZE))
            return
        raise RuntimeError(f"no free block of ports from {_PORT_RANGE[0]} to {_PORT_RANGE[1]}")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


_blocks = PortBlocks()


def free_port() -> int:
    """Return a free TCP port on 127.0.0.1 that was not returned before."""
    return _blocks.free_port()
