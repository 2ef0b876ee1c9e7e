"""Whom a router sends to in a period, and which other routers it tells them of."""

import random
from dataclasses import dataclass, field

from turmerictray.membership.messages import MemberEntry, Pulse
from turmerictray.membership.table import MemberTable

FANOUT = 8
"""Routers that one sends to in a period; the bytes of a router don't grow with the fleet."""

_LARGE_FANOUT = 5
"""The same in a fleet that is larger than the fanout. Requests are placed by the scheduler there,
which knows the engines' work without these messages; they carry who is alive and how far each has
read the store."""

_KNOWN_ENTRIES = 6
_KNOWN_ENTRIES_LARGE = 1
_KNOWN_EVERY = 4
"""Every so many messages carry entries of other routers, at about 90 bytes each, while all peers
are heard directly and the entries only serve routers that join."""

_PULSES = 30
"""Signs of life in a message of a large fleet, at about 30 bytes each: enough that no router of a
few hundred is taken for dead while it lives."""

_MOST_WHOLE = 16
"""Routers that are sent the whole table in a period; more wait for the next one."""

_WHOLE_TABLE = 600


@dataclass(frozen=True)
class Batch:
    """The same message for several routers.

    Attributes
    ----------
    contacts : list of MemberEntry
    known : list of MemberEntry
        What they are told of other routers.
    pulses : list of Pulse
    """

    contacts: list[MemberEntry]
    known: list[MemberEntry]
    pulses: list[Pulse] = field(default_factory=list)


class Gossip:
    """Spreads news of routers that start or leave at once, and word of all others by and by.

    Routers that start together know only a few seeds. A router that knows few others is sent the
    whole table by the first that hears of it, and news is passed on to peers in several periods
    (Demers et al., 1987), so that all of a fleet of any size know each other within a few periods.

    Parameters
    ----------
    table : MemberTable
    rng : random.Random
    """

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        self._periods = 0
        self._rounds = 0

    def is_due(self, size: int, has_news: bool = False) -> bool:
        """Whether to send in this period.

        In a fleet that is larger than the fanout, routers hear of each other by the entries in
        every message; the messages are longer and come half as often, for the same bytes, unless
        there is news.

        Parameters
        ----------
        has_news : bool
            There is news beside that of the table.
        """
        self._periods += 1
        has_news = has_news or self._table.has_news()
        return has_news or not _is_large(size) or self._periods % 2 == 0

    def batches(self, size: int, now: float) -> list[Batch]:
        """The messages of this period: for routers that know few others, and for some peers."""
        knowing_few = self._table.take_knowing_few(_MOST_WHOLE)
        fanout = _LARGE_FANOUT if _is_large(size) else FANOUT
        contacts = self._table.contacts(now, fanout, self._rng)
        helped = {entry.node for entry in knowing_few}
        contacts = [entry for entry in contacts if entry.node not in helped]
        known = self._table.take_news() + self._some(size, now)
        pulses = self._table.pulses(now, _PULSES, self._rng) if _is_large(size) else []
        batches = [Batch(contacts, known, pulses)]
        if knowing_few:
            batches.append(Batch(knowing_few, self._table.sample(now, _WHOLE_TABLE, self._rng)))
        return batches

    def _some(self, size: int, now: float) -> list[MemberEntry]:
        self._rounds += 1
        if _is_large(size):
            return self._table.sample(now, _KNOWN_ENTRIES_LARGE, self._rng)
        if self._rounds % _KNOWN_EVERY == 0:
            return self._table.sample(now, _KNOWN_ENTRIES, self._rng)
        return []


def _is_large(size: int) -> bool:
    """Whether a fleet of this size is larger than what one sends to in a period."""
    return size > FANOUT + 1
