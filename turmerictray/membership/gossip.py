"""Selection of the recipients and contents of a router's gossip messages in each period."""

import random
from dataclasses import dataclass, field

from turmerictray.membership.messages import MemberEntry, Pulse
from turmerictray.membership.table import MemberTable

FANOUT = 8
"""Number of recipients per period. A fixed number keeps a router's traffic independent of the size
of the fleet."""

_LARGE_FANOUT = 5
"""Number of recipients per period in a fleet that is larger than :data:`FANOUT`. There a scheduler
places the requests and knows the engines' load without gossip; the messages only distribute which
routers are alive and how far each has read the store."""

_SAMPLE_SIZE = 6
"""Entries of other routers, at about 90 bytes each, in one message of a small fleet."""

_SAMPLE_SIZE_LARGE = 1
"""Entries of other routers in one message of a large fleet."""

_ROUNDS_PER_SAMPLE = 4
"""In a small fleet, one message in this many carries entries of other routers. All peers exchange
messages directly there, so only routers that join need the entries."""

_MAX_PULSES = 30
"""Heartbeats per message in a large fleet, at about 30 bytes each. With this many, no live router
of a few hundred is considered down."""

_MAX_FULL_TABLE_RECIPIENTS = 16
"""Maximum number of routers that receive the full table in a period; the rest wait for the next."""

_MAX_FULL_TABLE_ENTRIES = 600
"""Maximum number of entries in a message that carries the full table."""


@dataclass(frozen=True)
class Batch:
    """Contents of one message and the routers that receive it.

    Attributes
    ----------
    recipients : list of MemberEntry
    members : list of MemberEntry
        Entries of other routers.
    pulses : list of Pulse
        Heartbeats of other routers.
    """

    recipients: list[MemberEntry]
    members: list[MemberEntry]
    pulses: list[Pulse] = field(default_factory=list)


class Gossip:
    """Distributes starts and shutdowns of routers at once, and other entries gradually.

    Routers that start together know only a few seeds. A router that knows few others receives the
    full table from the first router that learns of it, and each update is forwarded in several
    periods (Demers et al., 1987). In a fleet of any size, all routers therefore know each other
    within a few periods.

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

    def is_due(self, size: int, has_updates: bool = False) -> bool:
        """Whether to send in this period.

        In a fleet that is larger than the fanout, routers learn of each other from the entries in
        every message. Messages are longer there and are sent in every second period, for the same
        traffic, unless there are updates to send.

        Parameters
        ----------
        has_updates : bool
            Whether there are updates to send besides those of the member table.
        """
        self._periods += 1
        has_updates = has_updates or self._table.has_unsent_updates()
        return has_updates or not _is_large(size) or self._periods % 2 == 0

    def batches(self, size: int, now: float) -> list[Batch]:
        """Return this period's messages: for some peers, and for routers that know few others."""
        full_table_recipients = self._table.take_full_table_recipients(_MAX_FULL_TABLE_RECIPIENTS)
        fanout = _LARGE_FANOUT if _is_large(size) else FANOUT
        recipients = self._table.select_recipients(now, fanout, self._rng)
        full_table_nodes = {entry.node for entry in full_table_recipients}
        recipients = [entry for entry in recipients if entry.node not in full_table_nodes]
        members = self._table.take_updates() + self._sample_members(size, now)
        pulses = self._table.pulses(now, _MAX_PULSES, self._rng) if _is_large(size) else []
        batches = [Batch(recipients, members, pulses)]
        if full_table_recipients:
            batches.append(
                Batch(
                    full_table_recipients,
                    self._table.sample(now, _MAX_FULL_TABLE_ENTRIES, self._rng),
                )
            )
        return batches

    def _sample_members(self, size: int, now: float) -> list[MemberEntry]:
        self._rounds += 1
        if _is_large(size):
            return self._table.sample(now, _SAMPLE_SIZE_LARGE, self._rng)
        if self._rounds % _ROUNDS_PER_SAMPLE == 0:
            return self._table.sample(now, _SAMPLE_SIZE, self._rng)
        return []


def _is_large(size: int) -> bool:
    """Whether a fleet of this size has more routers than one sends to in a period."""
    return size > FANOUT + 1
