"""A TCP relay whose links can be cut, delayed, silenced and reset, as networks are."""

import asyncio
import socket
import struct
import threading
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

_CHUNK = 65536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Way(Enum):
    """A direction of a link."""

    THERE = "there"
    BACK = "back"


class _Connection:
    """One relayed connection; ``live`` is cleared for good when it is silenced."""

    def __init__(self, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self.writers = (near, far)
        self.live = asyncio.Event()
        self.live.set()

    def reset(self) -> None:
        """Break it at both ends with a reset."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()


@dataclass
class Link:
    """One directed link: connections to ``port`` are relayed to ``target_port``.

    Attributes
    ----------
    gates : dict of Way to Event
        Bytes of a direction pass while its gate is set.
    delay_s : float
        Added to each piece of bytes, both ways.
    connections : set
        The open ones.
    """

    source: str
    target: str
    port: int
    target_port: int
    gates: dict[Way, asyncio.Event]
    delay_s: float = 0.0
    connections: set[_Connection] = field(default_factory=set)

    def joins(self, sources: set[str], targets: set[str]) -> bool:
        """Whether the link is between any of ``sources`` and any of ``targets``, either way."""
        there = self.source in sources and self.target in targets
        return there or (self.target in sources and self.source in targets)


class Network:
    """All relayed links of a local fleet, served by one background thread."""

    def __init__(self) -> None:
        self.links: list[Link] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="relay", daemon=True)
        self._thread.start()

    def add(self, source: str, target: str, target_port: int, host: str = "127.0.0.1") -> int:
        """Relay ``source``'s connections to ``target``.

        Returns
        -------
        int
            The loopback port ``source`` connects to instead of ``target_port`` on ``host``.
        """
        return self._run(self._open(source, target, target_port, host))

    def cut(self, sources: set[str], targets: set[str], ways: tuple[Way, ...] = tuple(Way)) -> None:
        """Hold back the bytes between any of ``sources`` and any of ``targets``.

        Bytes are held instead of connections closed, as a network partition does to TCP: both ends
        notice only silence, and what was sent during the cut arrives late when it heals.
        """
        self._each(sources, targets, lambda link: [link.gates[way].clear() for way in ways])

    def delay(self, sources: set[str], targets: set[str], delay_s: float) -> None:
        """Make bytes late."""
        self._each(sources, targets, lambda link: setattr(link, "delay_s", delay_s))

    def silence(self, sources: set[str], targets: set[str]) -> None:
        """Let nothing through on the open connections any more; new ones work."""
        self._each(sources, targets, lambda link: [c.live.clear() for c in link.connections])

    def reset(self, sources: set[str], targets: set[str]) -> None:
        """Break the open connections."""
        self._each(sources, targets, lambda link: [c.reset() for c in list(link.connections)])

    def heal(self) -> None:
        """Let everything through again, late bytes first; silenced connections stay so."""
        names = {link.source for link in self.links} | {link.target for link in self.links}
        self.mend(names, names)

    def mend(self, sources: set[str], targets: set[str]) -> None:
        """Undo cuts and delays between any of ``sources`` and any of ``targets``."""

        def open_all(link: Link) -> None:
            link.delay_s = 0.0
            for gate in link.gates.values():
                gate.set()

        self._each(sources, targets, open_all)

    def close(self) -> None:
        """Stop relaying; open connections end."""
        self._run(self._end_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=2)

    async def _end_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _run(self, coro):
        return asyncio.run_coroutine_threadsafe(coro, self._loop).result(timeout=5)

    def _each(self, sources: set[str], targets: set[str], change) -> None:
        async def apply() -> None:
            for link in self.links:
                if link.joins(sources, targets):
                    change(link)

        self._run(apply())

    async def _open(self, source: str, target: str, target_port: int, host: str) -> int:
        gates = {way: asyncio.Event() for way in Way}
        for gate in gates.values():
            gate.set()
        link = Link(source, target, 0, target_port, gates)

        async def accept(reader, writer) -> None:
            with suppress(asyncio.CancelledError):  # The network is being closed.
                await self._join(link, host, reader, writer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        link.port = server.sockets[0].getsockname()[1]
        self.links.append(link)
        return link.port

    async def _join(self, link: Link, host: str, reader, writer) -> None:
        await link.gates[Way.THERE].wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(host, link.target_port)
        except OSError:
            # The other end is down: the caller's connection ends as it would without a relay.
            writer.transport.abort()
            return
        conn = _Connection(writer, far_writer)
        link.connections.add(conn)
        try:
            await asyncio.gather(
                self._pipe(link, conn, Way.THERE, reader, far_writer),
                self._pipe(link, conn, Way.BACK, far_reader, writer),
            )
        finally:
            link.connections.discard(conn)

    async def _pipe(self, link: Link, conn: _Connection, way: Way, reader, writer) -> None:
        try:
            while data := await reader.read(_CHUNK):
                await asyncio.sleep(link.delay_s)
                await conn.live.wait()
                await link.gates[way].wait()
                writer.write(data)
                await writer.drain()
        except ConnectionResetError:
            # Passed on as it came: closed in order, a broken answer would look as if it had ended.
            conn.reset()
        except OSError:
            pass
        finally:
            writer.close()
