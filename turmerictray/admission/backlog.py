"""Local admission check: which requests a router submits to the scheduler and which it refuses.

All callers of a team may connect to one router and send many times more requests than the team is
granted. Requests that can't be served in time are refused on arrival, after reading only the
request head, which leaves the processor to the requests that are served.
"""

import math
import threading
from collections import defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from turmerictray.core.errors import BacklogFull, WontBeServed
from turmerictray.core.ids import TeamId

_MIN_WAITING_LIMIT = 32
"""Waiting requests that each team and route may always have. The scheduler chooses the most urgent
and the shortest among them."""

_GRANT_RATE_FACTOR = 2.0
"""Multiple of the recent grant rate up to which requests may wait or be submitted. It is above 1
because grants arrive unevenly."""

_RATE_TIME_CONSTANT_S = 2.0
"""Time constant of the exponential average of the grant rate."""

_MAX_RETRY_AFTER_S = 4.0
"""Upper bound of the retry delay sent to callers, however slowly their team is served now."""

_REFUSAL_EFFECT_S = 0.5
"""Time after a refusal by the scheduler during which further requests of the team and route are
submitted only at a limited rate; see :meth:`_RouteBacklog.take_submission_token`."""

_MIN_SUBMISSIONS_PER_S = 20.0
"""Requests per second that are submitted to the scheduler even after a refusal, in order to notice
when capacity is available again."""

_SUBMISSION_BURST = 8.0
"""Burst size of the token bucket that limits submissions after a refusal."""


class TeamRoute(NamedTuple):
    """Key of a team's requests on one route.

    Routes are counted separately because their requests differ in length and urgency.
    """

    team: TeamId
    route: str


@dataclass
class _RouteBacklog:
    """Waiting requests, grant rate and submission limit of one team and route."""

    waiting: int = 0
    grants: float = 0.0
    granted_at: float = -math.inf
    refused_at: float = -math.inf
    refusal_retry_s: float = 0.0
    submission_tokens: float = _SUBMISSION_BURST
    refilled_at: float = -math.inf

    def grant_rate(self, now: float) -> float:
        """Return the grants per second, as an exponentially weighted average."""
        return (
            self.grants
            * math.exp((self.granted_at - now) / _RATE_TIME_CONSTANT_S)
            / _RATE_TIME_CONSTANT_S
        )

    def note_grant(self, now: float) -> None:
        self.grants = self.grants * math.exp((self.granted_at - now) / _RATE_TIME_CONSTANT_S) + 1.0
        self.granted_at = now

    def is_refused(self, now: float) -> bool:
        return now < self.refused_at + _REFUSAL_EFFECT_S

    def take_submission_token(self, now: float) -> bool:
        """Take a token for a submission to the scheduler; return False if none is left.

        The refill rate is ``_GRANT_RATE_FACTOR`` times the average grant rate, plus a constant.
        """
        refill_per_s = _GRANT_RATE_FACTOR * self.grant_rate(now) + _MIN_SUBMISSIONS_PER_S
        refilled = self.submission_tokens + refill_per_s * (now - self.refilled_at)
        self.submission_tokens, self.refilled_at = min(_SUBMISSION_BURST, refilled), now
        if self.submission_tokens < 1.0:
            return False
        self.submission_tokens -= 1.0
        return True


class TeamBacklog:
    """Count of waiting, granted and refused requests by team and route; safe for many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._routes: defaultdict[TeamRoute, _RouteBacklog] = defaultdict(_RouteBacklog)
        self._long_queues = 0
        self._refused_at = -math.inf

    def start_waiting(self, key: TeamRoute) -> None:
        """Record that a request waits for a grant."""
        with self._lock:
            backlog = self._routes[key]
            backlog.waiting += 1
            self._long_queues += backlog.waiting == _MIN_WAITING_LIMIT

    def stop_waiting(self, key: TeamRoute, granted: bool, now: float) -> None:
        """Record that a request no longer waits."""
        with self._lock:
            backlog = self._routes[key]
            self._long_queues -= backlog.waiting == _MIN_WAITING_LIMIT
            backlog.waiting -= 1
            if granted:
                backlog.note_grant(now)

    def note_refusal(self, key: TeamRoute, capacity_in_s: float, now: float) -> None:
        """Record that the scheduler refused a request because it would not be served in time."""
        with self._lock:
            backlog = self._routes[key]
            backlog.refused_at, backlog.refusal_retry_s = now, capacity_in_s
            self._refused_at = now

    def may_refuse(self, now: float) -> bool:
        """Return whether the checks could refuse any request now."""
        return self._long_queues > 0 or now < self._refused_at + _REFUSAL_EFFECT_S

    def check_capacity(self, key: TeamRoute, objective_s: float, now: float) -> None:
        """Check that a request will be served in time despite those that already wait.

        Parameters
        ----------
        objective_s : float
            Latency objective of the route, in seconds.

        Raises
        ------
        BacklogFull
            More requests wait than are likely to be granted within the objective.
        """
        with self._lock:
            self._check_waiting(self._routes[key], objective_s, now)

    def check_submission(self, key: TeamRoute, objective_s: float, now: float) -> None:
        """Check that a request should be submitted to the scheduler.

        Raises
        ------
        BacklogFull
            More requests wait than are likely to be granted within the objective.
        WontBeServed
            The scheduler has just refused a request of the same team and route, and the limit for
            submissions after a refusal is reached.
        """
        with self._lock:
            backlog = self._routes[key]
            self._check_waiting(backlog, objective_s, now)
            if backlog.is_refused(now) and not backlog.take_submission_token(now):
                raise WontBeServed("wait_too_long", backlog.refusal_retry_s)

    @staticmethod
    def _check_waiting(backlog: _RouteBacklog, objective_s: float, now: float) -> None:
        rate = backlog.grant_rate(now)
        if backlog.waiting >= max(_MIN_WAITING_LIMIT, _GRANT_RATE_FACTOR * rate * objective_s):
            capacity_in_s = backlog.waiting / rate if rate else _MAX_RETRY_AFTER_S
            raise BacklogFull("backlog_full", min(_MAX_RETRY_AFTER_S, capacity_in_s))
