"""For how long a router has known all targets that there were.

A list of targets tells nothing of the time before it. Streams may go on that were begun at targets
which had left by then.
"""

import math

_MAX_TARGETS_AGE_S = 4.0
"""Age of the list of targets up to which it is taken as complete; a watch of the store that waits
for changes is repeated sooner."""

_MIN_OVERLAP_S = 1.0
"""Time for which a router has observed the targets by itself before it relies on what peers have
observed before. Messages that a peer sent before then have arrived."""


class TargetObservation:
    """The time since which a router knows all targets, by itself or from its peers.

    A router whose list of targets is old may have missed some, unless it still hears all routers:
    then none of them has a newer list.
    """

    def __init__(self) -> None:
        self._known_since: float | None = None
        self._observed_since: float | None = None

    def update(self, now: float, age_s: float, router_lost_at: float = -math.inf) -> None:
        """Record how current the list of targets is.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        age_s : float
            Seconds since the list was current; infinite if there is none.
        router_lost_at : float
            When another router was last lost sight of, in monotonic seconds.
        """
        if age_s > _MAX_TARGETS_AGE_S and router_lost_at >= now - age_s:
            self._known_since = self._observed_since = None
        elif self._observed_since is None:
            self._known_since = self._observed_since = now

    def extend(self, known_s: float, now: float) -> None:
        """Record that a peer, whose list is not older, has known all targets for ``known_s``.

        The versions of those that have left in this time must be recorded as well.
        """
        if self._observed_since is not None and now - self._observed_since >= _MIN_OVERLAP_S:
            self._known_since = min(self._known_since, now - known_s)

    def known_s(self, now: float) -> float:
        """Return the seconds for which all targets are known; 0 if they are not."""
        return 0.0 if self._known_since is None else now - self._known_since
