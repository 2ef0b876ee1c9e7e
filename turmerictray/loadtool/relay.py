"""A TCP relay that injects network faults: partitions, delays, stalled and reset connections."""

import asyncio
import socket
import threading
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

from turmerictray.transport.reset import set_reset_on_close

_CHUNK_BYTES = 65536


class Direction(Enum):
    """Direction of the bytes on a link: from its source to its target, or back."""

    FORWARD = "there"
    BACKWARD = "back"


class _Connection:
    """A relayed connection.

    ``forwarding`` is cleared when the connection is stalled, and never set again.
    """

    def __init__(self, client: asyncio.StreamWriter, server: asyncio.StreamWriter) -> None:
        self.writers = (client, server)
        self.forwarding = asyncio.Event()
        self.forwarding.set()

    def reset(self) -> None:
        """Reset the connection at both ends."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                set_reset_on_close(sock, True)
            writer.transport.abort()


@dataclass
class Link:
    """A link from ``source`` to ``target``: relays connections on ``port`` to ``target_port``.

    Attributes
    ----------
    gates : dict of Direction to Event
        Bytes of a direction are forwarded while its event is set.
    delay_s : float
        Delay of each chunk of bytes, in both directions.
    connections : set
        The open connections.
    server : asyncio.Server or None
        Listens on ``port``.
    port_holder : socket.socket or None
        Keeps ``port`` from being taken by another process once ``server`` is closed.
    """

    source: str
    target: str
    port: int
    target_port: int
    gates: dict[Direction, asyncio.Event]
    delay_s: float = 0.0
    connections: set[_Connection] = field(default_factory=set)
    server: asyncio.Server | None = None
    port_holder: socket.socket | None = None

    def connects(self, sources: set[str], targets: set[str]) -> bool:
        """Return whether the link connects any of ``sources`` and ``targets``, either way."""
        forward = self.source in sources and self.target in targets
        return forward or (self.target in sources and self.source in targets)


class Network:
    """The relayed links of a local fleet, served by one background thread."""

    def __init__(self) -> None:
        self.links: list[Link] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="relay", daemon=True)
        self._thread.start()

    def add_link(self, source: str, target: str, target_port: int, host: str = "127.0.0.1") -> int:
        """Add a link that relays connections from ``source`` to ``target``.

        Returns
        -------
        int
            The loopback port that ``source`` must use instead of ``target_port`` on ``host``.
        """
        return self._run(self._open_link(source, target, target_port, host))

    def partition(
        self,
        sources: set[str],
        targets: set[str],
        directions: tuple[Direction, ...] = tuple(Direction),
    ) -> None:
        """Stop the bytes between any of ``sources`` and any of ``targets``.

        Connections stay open, as TCP connections do in a network partition: the ends receive
        nothing, and bytes sent during the partition arrive once the link is restored, unless their
        sender has reset the connection by then.
        """
        self._apply_to_links(
            sources,
            targets,
            lambda link: [link.gates[direction].clear() for direction in directions],
        )

    def delay(self, sources: set[str], targets: set[str], delay_s: float) -> None:
        """Delay each chunk of bytes by ``delay_s`` seconds, in both directions."""
        self._apply_to_links(sources, targets, lambda link: setattr(link, "delay_s", delay_s))

    def stall_connections(self, sources: set[str], targets: set[str]) -> None:
        """Stop forwarding on the open connections for good; new connections work."""
        self._apply_to_links(
            sources, targets, lambda link: [c.forwarding.clear() for c in link.connections]
        )

    def reset_connections(self, sources: set[str], targets: set[str]) -> None:
        """Reset the open connections."""
        self._apply_to_links(
            sources, targets, lambda link: [c.reset() for c in list(link.connections)]
        )

    def refuse_connections(self, target: str) -> None:
        """Refuse new connections to a target for good, as the host of an exited process does.

        They are refused once this returns. Open connections are relayed as before.
        """

        async def close() -> None:
            for link in self.links:
                if link.target == target:
                    _stop_listening(link.server)

        self._run(close())

    def restore_all(self) -> None:
        """End all partitions and delays.

        Delayed bytes arrive first; stalled connections stay stalled.
        """
        names = {link.source for link in self.links} | {link.target for link in self.links}
        self.restore_links(names, names)

    def restore_links(self, sources: set[str], targets: set[str]) -> None:
        """End partitions and delays between any of ``sources`` and any of ``targets``."""

        def restore(link: Link) -> None:
            link.delay_s = 0.0
            for gate in link.gates.values():
                gate.set()

        self._apply_to_links(sources, targets, restore)

    def close(self) -> None:
        """Stop relaying and end the open connections."""
        self._run(self._cancel_tasks())
        for link in self.links:
            link.port_holder.close()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=2)

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _run(self, coro):
        return asyncio.run_coroutine_threadsafe(coro, self._loop).result(timeout=5)

    def _apply_to_links(self, sources: set[str], targets: set[str], change) -> None:
        async def apply() -> None:
            for link in self.links:
                if link.connects(sources, targets):
                    change(link)

        self._run(apply())

    async def _open_link(self, source: str, target: str, target_port: int, host: str) -> int:
        gates = {direction: asyncio.Event() for direction in Direction}
        for gate in gates.values():
            gate.set()
        link = Link(source, target, 0, target_port, gates)

        async def accept(reader, writer) -> None:
            with suppress(asyncio.CancelledError):  # The network is being closed.
                await self._relay_connection(link, host, reader, writer)

        link.port_holder = _hold_port()
        link.port = link.port_holder.getsockname()[1]
        link.server = await asyncio.start_server(accept, "127.0.0.1", link.port, reuse_port=True)
        self.links.append(link)
        return link.port

    async def _relay_connection(self, link: Link, host: str, reader, writer) -> None:
        await link.gates[Direction.FORWARD].wait()
        try:
            server_reader, server_writer = await asyncio.open_connection(host, link.target_port)
        except OSError:
            # The target is down: end the connection as the target's host would without a relay.
            writer.transport.abort()
            return
        conn = _Connection(writer, server_writer)
        link.connections.add(conn)
        try:
            await asyncio.gather(
                self._forward(link, conn, Direction.FORWARD, reader, server_writer),
                self._forward(link, conn, Direction.BACKWARD, server_reader, writer),
            )
        finally:
            link.connections.discard(conn)

    async def _forward(
        self, link: Link, conn: _Connection, direction: Direction, reader, writer
    ) -> None:
        client, server = conn.writers
        sender = client if direction is Direction.FORWARD else server
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(link.delay_s)
                await conn.forwarding.wait()
                await link.gates[direction].wait()
                if sender.is_closing():
                    # The reader is told of a reset one pass of the loop after it was noticed.
                    await asyncio.sleep(0)
                if _is_reset(reader, sender):
                    raise ConnectionResetError
                writer.write(data)
                await writer.drain()
        except ConnectionResetError:
            # A reset must stay a reset: after an orderly close, a truncated answer looks complete.
            conn.reset()
        except OSError:
            pass
        finally:
            writer.close()


def _hold_port() -> socket.socket:
    """Return a socket that is bound to a free port and doesn't listen.

    The port can be shared by a socket that listens, but is given to no other process.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


def _stop_listening(server: asyncio.Server) -> None:
    # A process that is forked at this moment has a copy of the socket, which the close leaves open.
    for sock in server.sockets:
        sock.shutdown(socket.SHUT_RDWR)
    server.close()


def _is_reset(reader: asyncio.StreamReader, sender: asyncio.StreamWriter) -> bool:
    """Return whether the sender of what was read has reset its connection since."""
    if isinstance(reader.exception(), ConnectionResetError):
        return True
    # After the end of its data the transport doesn't watch a connection any more.
    sock = sender.get_extra_info("socket")
    return sock.fileno() < 0 or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
