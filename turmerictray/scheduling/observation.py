"""For how long a router has known all targets that there were.

A list of targets tells nothing of the time before it. Streams may go on that were begun at targets
which had left by then. Nor does it tell of the time after the store or other routers last confirmed
it: targets that joined since then are not known, which is not the same as not there.
"""

import math

_MAX_TARGETS_AGE_S = 4.0
"""Age of the list of targets up to which it is taken as complete; a watch of the store that waits
for changes is repeated sooner."""

_MIN_OVERLAP_S = 1.0
"""Time for which a router has observed the targets by itself before it relies on what peers have
observed before. Messages that a peer sent before then have arrived."""


_MAX_PAUSE_S = 0.25
"""Time between two updates above which the router has stood still; updates come with each tick."""

_SETTLE_S = 0.25
"""Time after a pause in which the messages are read that arrived during it. They seem to be new,
and confirm only what was true when they were sent."""


class TargetObservation:
    """The time since which a router knows all targets, by itself or from its peers.

    A router whose list of targets is old may have missed some, unless it still hears all routers:
    then none of them has a newer list.

    While the list is not confirmed as current, targets may have joined. That alone loses nothing of
    what was observed before: once confirmed again, the list has the changes that were missed.
    """

    def __init__(self) -> None:
        self._updated_at = math.inf
        self._confirmed_at = -math.inf
        self._settled_at = -math.inf
        self._known_since: float | None = None
        self._observed_since: float | None = None

    def update(
        self,
        now: float,
        age_s: float,
        router_lost_at: float = -math.inf,
        routers_heard_at: float = -math.inf,
    ) -> None:
        """Record how current the list of targets is.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        age_s : float
            Seconds since the list was current; infinite if there is none.
        router_lost_at : float
            When another router was last lost sight of, in monotonic seconds.
        routers_heard_at : float
            Since when at least half of the other routers were heard, none with a newer list, in
            monotonic seconds.
        """
        if now - self._updated_at > _MAX_PAUSE_S:
            self._settled_at = now + _SETTLE_S
        self._updated_at = now
        self._confirmed_at = max(now - age_s, routers_heard_at)
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

    def extend_by_history(self, known_s: float, now: float) -> None:
        """Record that the store has shown all targets that there were in the last ``known_s``."""
        if self._known_since is not None:
            self._known_since = min(self._known_since, now - known_s)

    def known_s(self, now: float) -> float:
        """Return the seconds for which all targets were known; 0 if they are not.

        The last of them are certain only if the list is confirmed.
        """
        return 0.0 if self._known_since is None else now - self._known_since

    def is_confirmed(self, now: float, max_unconfirmed_s: float) -> bool:
        """Return whether the list is known to be current.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        max_unconfirmed_s : float
            Time for which it is taken as current after its last confirmation.
        """
        return self._confirmed_at >= max(self._settled_at, now - max_unconfirmed_s)
