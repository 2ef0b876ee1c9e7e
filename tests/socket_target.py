"""A target on a raw socket, without an HTTP library in between."""

import socket
import threading
from contextlib import suppress


class SocketTarget:
    """Accepts connections on loopback; each is served on a thread of its own."""

    def __init__(self) -> None:
        self._server = socket.create_server(("127.0.0.1", 0), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """``host:port``."""
        return "{}:{}".format(*self._server.getsockname())

    def serve(self, conn: socket.socket) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Accept no more connections."""
        # While another thread waits in accept(), close() alone does not stop listening.
        with suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()
