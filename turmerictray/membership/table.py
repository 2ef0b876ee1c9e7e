"""Which routers exist and which of them are believed alive."""

import random
from dataclasses import dataclass

from turmerictray.core.ids import NodeId
from turmerictray.membership.messages import MemberEntry

ALIVE_S = 3.0
"""A router that nobody has heard of for this long counts as down: six messages lost in a row."""

_ALIVE_PER_ROUTER_S = 0.04
"""News of a router comes by a detour in a large fleet, where each message brings a few entries;
with a hundred a second this is four times the mean time between two of the same router."""

_FORGOTTEN_S = 60.0
"""A router that is down is still tried for this long, so that two sides of a cut find each other
again; longer ones come back by the seeds."""


@dataclass
class _Known:
    entry: MemberEntry
    news_at: float
    heard_at: float


class MemberTable:
    """Members by name, with the newest entry of each.

    An entry is newer by its incarnation, then by its beat, so what comes late or by a detour never
    brings a stopped router back to life.

    Parameters
    ----------
    node : NodeId
        This router, which is not a member of its own table.
    """

    def __init__(self, node: NodeId) -> None:
        self.node = node
        self._known: dict[str, _Known] = {}
        self._newcomers: list[str] = []

    def learn(self, entry: MemberEntry, now: float, direct: bool) -> bool:
        """Take an entry; true when it tells of a router, or of a start, not known before.

        Parameters
        ----------
        direct : bool
            It comes from the router itself.
        """
        if entry.node == self.node:
            return False
        known = self._known.get(entry.node)
        if direct and (known is None or not known.heard_at):
            self._newcomers.append(entry.node)
        if known is None:
            heard_at = now if direct else 0.0
            self._known[entry.node] = _Known(entry, now, heard_at)
            return True
        if direct:
            known.heard_at = now
        if (entry.incarnation, entry.beat) <= (known.entry.incarnation, known.entry.beat):
            return False
        fresh = entry.incarnation > known.entry.incarnation
        known.entry = entry
        known.news_at = now
        return fresh

    def alive(self, now: float) -> list[MemberEntry]:
        """Routers with news within the last few seconds that are not shutting down."""
        return [
            known.entry
            for known in self._known.values()
            if now - known.news_at < self._alive_s() and not known.entry.leaving
        ]

    def _alive_s(self) -> float:
        return ALIVE_S + _ALIVE_PER_ROUTER_S * len(self._known)

    def unheard_s(self, node: str, now: float) -> float:
        """Seconds since a router itself was heard."""
        known = self._known.get(node)
        return now - known.heard_at if known is not None else now

    def size(self, now: float) -> int:
        """How many routers are believed alive, this one included."""
        return len(self.alive(now)) + 1

    def contacts(self, now: float, most: int, rng: random.Random) -> list[MemberEntry]:
        """At most ``most`` routers to send to: newcomers, live ones, and one that may be back.

        A router that starts knows only the seeds; all of a large fleet start at once, and without
        an answer they would wait until a seed's random choice falls on them.
        """
        self._forget(now)
        alive = self.alive(now)
        silent = [known.entry for known in self._known.values() if known.entry not in alive]
        chosen = self._take_newcomers(most - 1)
        rest = [entry for entry in alive if entry not in chosen]
        room = most - 1 - len(chosen)
        chosen += rest if len(rest) <= room else rng.sample(rest, room)
        return chosen + ([rng.choice(silent)] if silent else [])

    def _take_newcomers(self, most: int) -> list[MemberEntry]:
        taken, self._newcomers = self._newcomers[:most], self._newcomers[most:]
        return [self._known[node].entry for node in taken if node in self._known]

    def sample(self, now: float, most: int, rng: random.Random) -> list[MemberEntry]:
        """At most ``most`` live routers, for another one's table."""
        alive = self.alive(now)
        return alive if len(alive) <= most else rng.sample(alive, most)

    def _forget(self, now: float) -> None:
        horizon = now - _FORGOTTEN_S
        self._known = {n: known for n, known in self._known.items() if known.news_at > horizon}
