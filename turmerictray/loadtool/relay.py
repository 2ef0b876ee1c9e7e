"""A TCP relay that can be cut, standing for the network between two processes.

A cut holds bytes back instead of closing connections, as a network partition does to TCP: both
ends notice only silence, and what was sent during the cut arrives late when it heals.
"""

import asyncio
import threading
from dataclasses import dataclass

_CHUNK = 65536


@dataclass
class Link:
    """One directed link: connections to ``port`` are relayed to ``target_port``."""

    source: str
    target: str
    port: int
    target_port: int
    gate: asyncio.Event


class Network:
    """All relayed links of a local fleet, served by one background thread."""

    def __init__(self) -> None:
        self.links: list[Link] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="relay", daemon=True)
        self._thread.start()

    def add(self, source: str, target: str, target_port: int) -> int:
        """Relay ``source``'s connections to ``target``.

        Returns
        -------
        int
            The loopback port ``source`` connects to instead of ``target_port``.
        """
        return self._run(self._open(source, target, target_port))

    def cut(self, sources: set[str], targets: set[str]) -> None:
        """Hold back everything between any of ``sources`` and any of ``targets``, both ways."""
        self._run(self._set(sources, targets, is_open=False))

    def heal(self) -> None:
        """Let everything through again, late bytes first."""
        names = {link.source for link in self.links} | {link.target for link in self.links}
        self._run(self._set(names, names, is_open=True))

    def close(self) -> None:
        """Stop relaying."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=2)

    def _run(self, coro):
        return asyncio.run_coroutine_threadsafe(coro, self._loop).result(timeout=5)

    async def _open(self, source: str, target: str, target_port: int) -> int:
        gate = asyncio.Event()
        gate.set()
        link = Link(source, target, 0, target_port, gate)

        async def accept(reader, writer) -> None:
            await self._join(link, reader, writer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        link.port = server.sockets[0].getsockname()[1]
        self.links.append(link)
        return link.port

    async def _set(self, sources: set[str], targets: set[str], is_open: bool) -> None:
        for link in self.links:
            ends = (link.source, link.target)
            crosses = (ends[0] in sources and ends[1] in targets) or (
                ends[1] in sources and ends[0] in targets
            )
            if crosses and is_open:
                link.gate.set()
            elif crosses:
                link.gate.clear()

    async def _join(self, link: Link, reader, writer) -> None:
        await link.gate.wait()
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", link.target_port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pipe(link, reader, up_writer), self._pipe(link, up_reader, writer)
        )

    async def _pipe(self, link: Link, reader, writer) -> None:
        try:
            while data := await reader.read(_CHUNK):
                await link.gate.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
