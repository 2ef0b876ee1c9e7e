"""Who reads the store in whole fleets, in virtual time: by the decisions and gossip alone."""

import random

import pytest

from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.membership.messages import MemberEntry
from turmerictray.router.published import Position, StorePosition
from turmerictray.router.read_limits import ReadLimits
from turmerictray.router.store_readers import ReadReason, StoreReaderSelection

STEP_S = 0.01
POLL_S = 0.1
MAX_STORE_FRACTION = 0.01
"""Fraction of the store's read calls that a fleet may use while nothing is wrong."""

PREFIXES = ("op/", "servers/")
CURRENT = Position(3, StorePosition(0, 7))
FLEETS = [
    pytest.param(9, 4, 2.0, 2000, (8, 0.25), id="9"),
    pytest.param(79, 4, 3.0, 6000, (5, 0.5), id="79"),
    pytest.param(195, 5, 4.0, 16000, (5, 0.5), id="195"),
]
"""Routers, zones, time that a change may take, calls that the store answers a second, and to how
many others a router tells its state in which period."""


class Fleet:
    """Routers that read a store, or hear of it from each other.

    Parameters
    ----------
    routers, zones : int
    limit_s : float
        Time that a change may take.
    gossip : tuple of int and float
        To how many others a router tells its state, and the period.

    Attributes
    ----------
    served : set of int
        Numbers of the routers that the store answers.
    """

    def __init__(
        self,
        routers: int,
        zones: int,
        limit_s: float,
        gossip: tuple[int, float],
    ) -> None:
        self.now, self.calls, self.worst_age_s, self.extra_s = 100.0, 0, 0.0, 0.0
        self._fanout, self._period_s = gossip
        self.served = set(range(routers))
        self._rng = random.Random(1)
        self._limits = ReadLimits.from_apply_limit(limit_s)
        members = [
            MemberEntry(f"r{n}", f"z{n % zones}", f"tcp://r{n}", 1, 20) for n in range(routers)
        ]
        self.readers = [
            StoreReaderSelection(
                NodeId(m.node), ZoneId(m.zone), lambda: self.now, limits=self._limits
            )
            for m in members
        ]
        for readers in self.readers:
            readers.update_members(members)
            readers.record_confirmation(self.now, "elsewhere")
        self._poll_at = [self.now + self._rng.random() * POLL_S for _ in members]
        self._tell_at = [self.now + self._rng.random() * self._period_s for _ in members]
        self._read_at = [dict.fromkeys(PREFIXES, self.now) for _ in members]

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            for number, readers in enumerate(self.readers):
                self._step(number, readers)

    def _step(self, number: int, readers: StoreReaderSelection) -> None:
        if self.now >= self._poll_at[number]:
            self._poll_at[number] += POLL_S
            if readers.should_read(CURRENT) and not readers.is_designated():
                self.extra_s += POLL_S
            if number in self.served:
                self.worst_age_s = max(self.worst_age_s, readers.age_s())
        if readers.reason is not ReadReason.NONE:
            self._read(number, readers)
        if self.now >= self._tell_at[number]:
            self._tell_at[number] += self._period_s
            self._tell(number, readers)

    def _read(self, number: int, readers: StoreReaderSelection) -> None:
        for prefix, due_at in self._read_at[number].items():
            if self.now < due_at:
                continue
            self.calls += 1
            if number in self.served:
                readers.record_store_read(prefix)
            else:
                readers.record_store_failure(prefix)
            self._read_at[number][prefix] = self.now + self._limits.watch_s

    def _tell(self, number: int, readers: StoreReaderSelection) -> None:
        confirmed_at, origin = readers.confirmation()
        others = [other for other in self.readers if other is not readers]
        for other in self._rng.sample(others, min(self._fanout, len(others))):
            other.record_confirmation(confirmed_at, origin)


@pytest.mark.parametrize(("routers", "zones", "limit_s", "reads_per_s", "gossip"), FLEETS)
def test_fleet_spares_the_store(routers, zones, limit_s, reads_per_s, gossip):
    """Guards against routers that read the store although the designated ones do."""
    fleet, seconds = Fleet(routers, zones, limit_s, gossip), 12.0
    fleet.run(seconds)
    assert fleet.calls / seconds <= MAX_STORE_FRACTION * reads_per_s
    assert fleet.extra_s / seconds < 0.5
    assert fleet.worst_age_s <= limit_s


@pytest.mark.parametrize(("routers", "zones", "limit_s", "reads_per_s", "gossip"), FLEETS)
def test_only_router_that_the_store_serves_goes_on_reading(
    routers, zones, limit_s, reads_per_s, gossip
):
    """Guards against a router that takes its own reads, told back by others, for theirs."""
    fleet = Fleet(routers, zones, limit_s, gossip)
    others = [n for n, readers in enumerate(fleet.readers) if not readers.is_designated()]
    fleet.served = {others[-1]}
    fleet.run(20.0)
    assert fleet.worst_age_s <= limit_s
    ages_s = [readers.age_s() for readers in fleet.readers]
    assert max(ages_s) <= limit_s
