"""Table of the routers of the fleet, and of those that are believed alive."""

import math
import random
from dataclasses import dataclass

import msgspec

from turmerictray.core.ids import NodeId
from turmerictray.membership.messages import MemberEntry, Pulse

ALIVE_S = 3.0
"""Seconds without a new heartbeat after which a router is considered down. This allows for six
consecutive lost messages."""

_ALIVE_EXTRA_PER_ROUTER_S = 0.05
"""Addition to :data:`ALIVE_S` for each router in the table. In a large fleet, heartbeats arrive
through other routers, and half of them are older than what is known. At about 250 heartbeats/s,
twelve of each router are expected in this time."""

SILENT_S = 1.0
"""Seconds without a new heartbeat after which a router is no longer relied on where a replacement
does no harm; too soon to take it for down."""

_SILENT_EXTRA_PER_ROUTER_S = 0.012
"""Addition to :data:`SILENT_S` for each router in the table; heartbeats of a large fleet are
rarer."""

_UPDATE_ROUNDS = 4
"""Rounds in which a router forwards the start or shutdown of another one. With five recipients per
round, an update reaches 300 routers in four rounds, and each receives it about twenty times."""

_MAX_UPDATES = 128
"""Maximum number of updates in one message, about 10 KB."""

_FULL_TABLE_INTERVAL_S = 1.0
"""Minimum interval between two transfers of the full table to the same router."""

_FORGET_AFTER_S = 60.0
"""Seconds for which messages are still sent to a router that is down, so that the sides of a
network partition reconnect. After longer partitions they reconnect through the seeds."""


def silent_timeout_s(router_count: int) -> float:
    """Return the seconds without a new heartbeat after which a router counts as silent."""
    return SILENT_S + _SILENT_EXTRA_PER_ROUTER_S * router_count


@dataclass
class _Member:
    """Newest entry of a router.

    Attributes
    ----------
    entry : MemberEntry
    updated_at : float
        Monotonic time of its last new heartbeat, in seconds.
    received_at : float
        Monotonic time of the last message from the router itself, in seconds; 0 for none.
    """

    entry: MemberEntry
    updated_at: float
    received_at: float


class MemberTable:
    """Newest known entry of each router, by name.

    Entries are ordered by incarnation, then by heartbeat counter, so an entry that arrives late or
    through another router never makes a stopped router count as alive again.

    Parameters
    ----------
    node : NodeId
        The local router, which is not in the table.
    """

    def __init__(self, node: NodeId) -> None:
        self.node = node
        self._members: dict[str, _Member] = {}
        self._new_nodes: list[str] = []
        self._full_table_nodes: list[str] = []
        self._full_table_sent_at: dict[str, float] = {}
        self._updates: dict[str, int] = {}

    def update(self, entry: MemberEntry, now: float, direct: bool) -> bool:
        """Merge a received entry into the table.

        Parameters
        ----------
        entry : MemberEntry
        now : float
            Monotonic time in seconds.
        direct : bool
            Whether the entry was received from the router that it describes.

        Returns
        -------
        bool
            Whether the entry is of a new router, or of a new incarnation of a known one.
        """
        if entry.node == self.node:
            return False
        member = self._members.get(entry.node)
        if direct and (member is None or not member.received_at):
            self._new_nodes.append(entry.node)
        if member is None:
            received_at = now if direct else 0.0
            self._members[entry.node] = _Member(entry, now, received_at)
            self._updates[entry.node] = _UPDATE_ROUNDS
            return True
        if direct:
            member.received_at = now
        if (entry.incarnation, entry.heartbeat) <= (
            member.entry.incarnation,
            member.entry.heartbeat,
        ):
            return False
        is_restart = entry.incarnation > member.entry.incarnation
        if is_restart or entry.leaving != member.entry.leaving:
            self._updates[entry.node] = _UPDATE_ROUNDS
        member.entry = entry
        member.updated_at = now
        return is_restart

    def alive(self, now: float) -> list[MemberEntry]:
        """Return the routers with a recent heartbeat that are not shutting down."""
        return [
            member.entry
            for member in self._members.values()
            if now - member.updated_at < self._alive_timeout_s() and not member.entry.leaving
        ]

    def silent(self, now: float) -> frozenset[str]:
        """Return the live routers whose heartbeat has stood still for a while."""
        timeout_s = silent_timeout_s(len(self._members))
        return frozenset(
            entry.node
            for entry in self.alive(now)
            if now - self._members[entry.node].updated_at > timeout_s
        )

    def heard_at(self, now: float) -> float:
        """Return since when at least half of the live routers were heard; infinite if none is.

        Whatever path their heartbeats took counts.
        """
        times = sorted(self._members[entry.node].updated_at for entry in self.alive(now))
        return times[len(times) // 2] if times else math.inf

    def _alive_timeout_s(self) -> float:
        return ALIVE_S + _ALIVE_EXTRA_PER_ROUTER_S * len(self._members)

    def silence_s(self, node: str, now: float) -> float:
        """Return the seconds since the last message from a router itself."""
        member = self._members.get(node)
        return now - member.received_at if member is not None else now

    def size(self, now: float) -> int:
        """Return the number of routers believed alive, including the local one."""
        return len(self.alive(now)) + 1

    def select_recipients(
        self, now: float, max_count: int, rng: random.Random
    ) -> list[MemberEntry]:
        """Return at most ``max_count`` recipients: new routers, live ones, and one that is down.

        A starting router knows only the seeds. When a large fleet starts at once, a router whose
        message is not answered would have to wait until a seed selects it at random.
        """
        self._forget(now)
        alive = {entry.node: entry for entry in self.alive(now)}
        down = [member.entry for node, member in self._members.items() if node not in alive]
        chosen = self._take_new_members(max_count // 3)
        for entry in chosen:
            alive.pop(entry.node, None)
        live = list(alive.values())
        capacity = max_count - 1 - len(chosen)
        chosen += live if len(live) <= capacity else rng.sample(live, capacity)
        return chosen + ([rng.choice(down)] if down else [])

    def _take_new_members(self, max_count: int) -> list[MemberEntry]:
        taken, self._new_nodes = self._new_nodes[:max_count], self._new_nodes[max_count:]
        return [self._members[node].entry for node in taken if node in self._members]

    def note_member_count(self, node: str, member_count: int, now: float) -> None:
        """Record how many routers a router knows; one that knows few will get the full table."""
        if 2 * member_count > len(self._members) or 2 * member_count >= self.size(now):
            return
        if now >= self._full_table_sent_at.get(node, -math.inf) + _FULL_TABLE_INTERVAL_S:
            self._full_table_sent_at[node] = now
            self._full_table_nodes.append(node)

    def take_full_table_recipients(self, max_count: int) -> list[MemberEntry]:
        """Remove and return at most ``max_count`` routers that should receive the full table."""
        taken, self._full_table_nodes = (
            self._full_table_nodes[:max_count],
            self._full_table_nodes[max_count:],
        )
        return [self._members[node].entry for node in taken if node in self._members]

    def has_unsent_updates(self) -> bool:
        """Whether there are updates to send in this period."""
        return bool(self._updates or self._full_table_nodes)

    def take_updates(self) -> list[MemberEntry]:
        """Return the entries of routers that have started or are leaving, for the next message."""
        nodes = sorted(self._updates, key=self._updates.get, reverse=True)[:_MAX_UPDATES]
        for node in nodes:
            self._updates[node] -= 1
            if not self._updates[node]:
                del self._updates[node]
        return [self._members[node].entry for node in nodes if node in self._members]

    def sample(self, now: float, max_count: int, rng: random.Random) -> list[MemberEntry]:
        """Return the entries of at most ``max_count`` live routers, chosen at random."""
        alive = self.alive(now)
        return alive if len(alive) <= max_count else rng.sample(alive, max_count)

    def pulses(self, now: float, max_count: int, rng: random.Random) -> list[Pulse]:
        """Return the heartbeats of at most ``max_count`` live routers, chosen at random."""
        found = self.sample(now, max_count, rng)
        return [Pulse(entry.node, entry.incarnation, entry.heartbeat) for entry in found]

    def update_heartbeat(self, pulse: Pulse, now: float) -> None:
        """Merge a heartbeat; ignored if its router or incarnation is not in the table."""
        member = self._members.get(pulse.node)
        if member is None or pulse.incarnation != member.entry.incarnation:
            return
        if pulse.heartbeat > member.entry.heartbeat:
            member.entry = msgspec.structs.replace(member.entry, heartbeat=pulse.heartbeat)
            member.updated_at = now

    def _forget(self, now: float) -> None:
        oldest = now - _FORGET_AFTER_S
        self._members = {
            n: member for n, member in self._members.items() if member.updated_at > oldest
        }
        self._full_table_sent_at = {
            n: at for n, at in self._full_table_sent_at.items() if n in self._members
        }
