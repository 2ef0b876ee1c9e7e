"""Recent usage per team, over the whole fleet.

Teams are compared by their usage in the last seconds, each token counting half after a half-life.
Heavy usage ten seconds or an hour ago does not delay a waiting team, nor does usage while no other
team had demand: a team that starts waiting starts level with the others.
"""

import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from heapq import nsmallest

from turmerictray.core.ids import NodeId, TeamId

HALF_LIFE_S = 3.0
"""Time in which the weight of a token halves: long enough to bridge the gaps between a team's
requests, of which several arrive per second, and short enough that a team starved for a few seconds
becomes first within that time."""

_WAITING_TTL_S = 2.0
"""Validity of a peer's report of waiting teams: eight consecutive reports may be lost."""

_MAX_USAGE_REFRESH_S = 0.25
"""Interval of full searches for the highest usage. In between it is only raised by a team with
more, and stays when a request costs less than charged. With thousands of teams, a search for each
request would be too slow."""

_RESCALE_AFTER_HALF_LIVES = 40.0
"""Half-lives after which weights are rescaled to one, well before they overflow."""


class ExcessUsage:
    """Usage of teams above that of the least served other team that waits.

    Only the two least served waiting teams are compared with; comparing each team with all others
    made the cost of a decision quadratic in their number.

    Parameters
    ----------
    usage : RecentUsage
    lowest : list of TeamId
        The two waiting teams with the lowest usage, or as many as there are.
    scale : float
        Current weight of a token.
    """

    def __init__(self, usage: "RecentUsage", lowest: list[TeamId], scale: float) -> None:
        self._usage = usage
        self._lowest = lowest
        self._scale = scale

    def of(self, team: TeamId) -> float:
        """Return the tokens per weight that ``team`` is ahead; 0 where no other team waits."""
        other = next((other for other in self._lowest if other != team), None)
        if other is None:
            return 0.0
        ahead = self._usage.normalised(team) - self._usage.normalised(other)
        return max(0.0, ahead) / self._scale


class RecentUsage:
    """Decayed usage per team, of this router and its peers.

    Parameters
    ----------
    node : NodeId
    clock : callable
        Returns monotonic seconds.

    Notes
    -----
    Instead of decaying all counts as time passes, later additions get a higher weight (forward
    decay, Cormode et al., 2009): the order of teams then does not depend on the clock, and no work
    is done while there is no usage.
    """

    def __init__(self, node: NodeId, clock: Callable[[], float] = time.monotonic) -> None:
        self.node = node
        self.weights: dict[TeamId, float] = {}
        self._peer_waiting: dict[str, tuple[float, frozenset[TeamId]]] = {}
        self._clock = clock
        self._scale_started_at = clock()
        self._recent: dict[TeamId, float] = defaultdict(float)
        self._local: dict[TeamId, float] = defaultdict(float)
        self._peer_counters: dict[tuple[str, int], dict[TeamId, float]] = {}
        self._waiting_locally: Counter[TeamId] = Counter()
        self._last_served_level = 0.0
        self._max_usage = 0.0
        self._max_usage_valid_until = 0.0

    def charge(self, team: TeamId, tokens: float) -> None:
        """Add a request's cost when it is sent."""
        # Never lowered: requests to a plain service cost next to nothing and are counted here as
        # well.
        self._last_served_level = max(self._last_served_level, self.normalised(team))
        self._local[team] += tokens
        self._add(team, tokens)

    def settle(self, team: TeamId, charged: float, cost: float) -> None:
        """Replace the charged cost by the true cost."""
        if cost != charged:
            self._local[team] += cost - charged
            self._add(team, cost - charged)

    def merge(self, node: str, incarnation: int, counters: dict[TeamId, float]) -> None:
        """Merge a peer's cumulative counters (idempotent).

        Usage that a peer counted before its first report is not recent.
        """
        if node == self.node:
            return
        is_first_report = (node, incarnation) not in self._peer_counters
        if is_first_report:
            self._peer_counters = {
                key: counts for key, counts in self._peer_counters.items() if key[0] != node
            }
        known = self._peer_counters.setdefault((node, incarnation), {})
        for team, value in counters.items():
            gain = value - known.get(team, 0.0)
            if gain > 0:
                known[team] = value
                if not is_first_report:
                    self._add(team, gain)

    def note_waiting(self, node: str, teams: Iterable[TeamId]) -> None:
        """Record which teams currently wait for capacity at a peer."""
        self._peer_waiting[node] = (self._clock(), frozenset(teams))

    def _waiting_on_peers(self) -> set[TeamId]:
        # A peer that has crashed or is partitioned never withdraws its report. If its report did
        # not expire, its teams would count as waiting and unserved indefinitely, and every other
        # team would be limited to a fraction of the engines.
        horizon = self._clock() - _WAITING_TTL_S
        reported = [
            teams for received_at, teams in self._peer_waiting.values() if received_at > horizon
        ]
        return set().union(*reported)

    def local_counters(self) -> dict[TeamId, float]:
        """Return this router's cumulative counters, for its peers."""
        return dict(self._local)

    def normalised(self, team: TeamId) -> float:
        """Return recent usage over weight, in a unit common to all teams; the lowest is first."""
        return self._recent.get(team, 0.0) / self.weights.get(team, 1.0)

    def start_waiting(self, team: TeamId) -> None:
        """Record that a team starts waiting, level with the waiting or the last served teams.

        What the others used while it did not wait took nothing from it. When that counted as their
        debt, a team that had used the engines nearly alone got nothing for four seconds after a
        burst of the others, until they had received as much (start-time fair queueing, Goyal et
        al., 1996).
        """
        others = [self.normalised(other) for other in self._waiting_locally if other != team]
        level = min(others, default=self._last_served_level)
        if self.normalised(team) < level:
            self._recent[team] = level * self.weights.get(team, 1.0)
        self._waiting_locally[team] += 1

    def stop_waiting(self, team: TeamId) -> None:
        """Record that a team stops waiting."""
        self._waiting_locally[team] -= 1
        if self._waiting_locally[team] <= 0:
            del self._waiting_locally[team]

    def excess(self, team: TeamId, backlogged: set[TeamId]) -> float:
        """Return the recent usage of ``team`` above that of the least served other team.

        The result is in tokens per weight.

        Parameters
        ----------
        backlogged : set of TeamId
            Teams that wait on this router; those that wait at peers are known.
        """
        return self.excess_usage(backlogged).of(team)

    def excess_usage(self, backlogged: set[TeamId]) -> "ExcessUsage":
        """Return the excess usage of all teams at this moment; see :meth:`excess`."""
        waiting = backlogged | self._waiting_on_peers()
        scale = self._scale()
        return ExcessUsage(self, nsmallest(2, waiting, key=self.normalised), scale)

    def max_usage(self) -> float:
        """Return the highest recent usage of any team, in the unit of :meth:`normalised`."""
        self._scale()
        now = self._clock()
        if now >= self._max_usage_valid_until:
            self._max_usage = max(map(self.normalised, self._recent), default=0.0)
            self._max_usage_valid_until = now + _MAX_USAGE_REFRESH_S
        return self._max_usage

    def deficit(self, team: TeamId, max_usage: float) -> float:
        """Return the tokens per weight by which recent usage of ``team`` is below ``max_usage``."""
        scale = self._scale()
        return max(0.0, max_usage - self.normalised(team)) / scale

    def _add(self, team: TeamId, tokens: float) -> None:
        # The scale is evaluated first: this may rescale the existing counts.
        added = tokens * self._scale()
        self._recent[team] = max(0.0, self._recent[team] + added)
        self._max_usage = max(self._max_usage, self.normalised(team))

    def _scale(self) -> float:
        half_lives = (self._clock() - self._scale_started_at) / HALF_LIFE_S
        if half_lives > _RESCALE_AFTER_HALF_LIVES:
            shrink = 0.5**half_lives
            for team in self._recent:
                self._recent[team] *= shrink
            self._max_usage *= shrink
            self._last_served_level *= shrink
            self._scale_started_at = self._clock()
            return 1.0
        return 2.0**half_lives
