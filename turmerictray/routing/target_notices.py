"""What targets say of themselves in their answers: that they leave, or want to rest.

All times are passed in as arguments, so that decisions can be tested without waiting.
"""

import math
import threading
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmerictray.core.ids import NodeId, TargetId
from turmerictray.routing.load import TargetLoad

_TRIAL_INTERVAL_S = 0.5
"""Time from a refusal until another router's request may show whether the target is full for all,
or only for the router that it has turned away."""

_TRIAL_TIMEOUT_S = 1.0
"""A trial of which nothing was heard for this long doesn't keep others from the target."""

_MIN_REPEATED_REFUSALS = 3
"""Refusals of one router in a row, with another one served after each, from which on the next shows
nothing to the others. Fewer happen by chance at a target that is full for all now and then."""

_REFUSAL_MEMORY_S = 5.0
"""Time after its rest for which a router's refusal is remembered, to be compared with the next."""

_CLOCK_SLACK_S = 0.02
"""Time that a send may be reckoned too late, as its age is known from another router's message."""

_MIN_EXTENSION_S = 0.25
"""A rest that ends later by less than this is not passed on to schedulers again."""

_MAX_RESTS = 1024
_REST_RETENTION_S = 60.0
"""From this many targets on, those whose rests ended this long ago are forgotten. Most of them are
gone; the others are taken to serve."""

_MAX_LEAVING = 4096
"""How many leaving targets are remembered; the oldest are forgotten first."""

LOCAL_ROUTER = NodeId("")
"""Stands for the local router, as in the requests that it places itself."""


@dataclass(frozen=True)
class TargetReport:
    """What an answer tells of its target.

    Attributes
    ----------
    leaving : bool
        The target takes no more requests; only a new incarnation at its address does.
    rest_s : float
        Seconds for which the target wants no more requests of this router; 0 for none.
    """

    leaving: bool = False
    rest_s: float = 0.0


NOTHING_REPORTED = TargetReport()


@dataclass
class _Rest:
    """Rests of a target by router, and the trial after which it serves again.

    Attributes
    ----------
    until : dict of NodeId to float
    is_open : bool
        Whether the target has served a router since it last turned one away.
    refused_at : float
        When the target last turned a router away.
    trial_from : float
        Time from which a request may be sent as a trial.
    trial_began_at : float
        When the last trial began, in monotonic seconds.
    refused : NodeId or None
        Router that was turned away last.
    refused_in_a_row : int
        How often it was, without another one and with others served in between.
    others_served : bool
        Whether another router has been served since.
    """

    until: dict[NodeId, float] = field(default_factory=dict)
    is_open: bool = False
    refused_at: float = -math.inf
    trial_from: float = 0.0
    trial_began_at: float = -math.inf
    refused: NodeId | None = None
    refused_in_a_row: int = 0
    others_served: bool = False

    def note_refusal(self, router: NodeId, rest_s: float, now: float) -> None:
        """Record a refusal, which closes the target unless it is full for this router alone."""
        if router != self.refused or now >= self.until.get(router, -math.inf):
            # Otherwise it was sent before the last refusal was heard.
            is_repeated = router == self.refused and self.others_served
            self.refused_in_a_row = self.refused_in_a_row + 1 if is_repeated else 1
            self.refused, self.others_served = router, False
        self.refused_at = now
        self.trial_began_at = -math.inf
        if not (self.is_open and self._is_full_for(router)):
            self.is_open = False
            self.trial_from = now + min(_TRIAL_INTERVAL_S, rest_s)

    def note_served(self, router: NodeId | None) -> None:
        """Record that a request is served; ``router`` is None if it isn't known who sent it."""
        self.is_open = True
        if router == self.refused:
            self.refused_in_a_row = 0
        elif router is not None:
            self.others_served = True

    def _is_full_for(self, router: NodeId) -> bool:
        """Return whether the target seems to be full for one router alone."""
        return router == self.refused and self.refused_in_a_row > _MIN_REPEATED_REFUSALS

    def needs_trial(self, router: NodeId) -> bool:
        """Return whether one request of a router has to be served before others are sent."""
        return not self.is_open or self._is_full_for(router)

    def next_at(self, router: NodeId, now: float) -> float:
        """Return from when on a request of a router may be sent."""
        rest_until = self.until.get(router, -math.inf)
        if not self.needs_trial(router):
            return rest_until
        trial_from = self.trial_from
        if now < self.trial_began_at + _TRIAL_TIMEOUT_S:
            trial_from = max(trial_from, self.trial_began_at + _TRIAL_TIMEOUT_S)
        return max(rest_until, trial_from)


class TargetNotices:
    """What this router knows of targets from answers, its own and those of other routers.

    Every part that sends something to a target, or chooses one, asks here first. A rest concerns a
    router and a target: the target may be full for one router only. Others may try it, with one
    request at a time until one is served. So does the router itself at the end of its rest.

    Safe for use by many threads.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._leaving: OrderedDict[TargetId, None] = OrderedDict()
        self._rests: dict[TargetId, _Rest] = {}

    # -- notices -------------------------------------------------------------------------------

    def note_leaving(self, target: TargetId) -> bool:
        """Record that a target leaves; return whether that is news."""
        with self._lock:
            if target in self._leaving:
                return False
            self._leaving[target] = None
            if len(self._leaving) > _MAX_LEAVING:
                self._leaving.popitem(last=False)
            return True

    def note_rest(self, target: TargetId, rest_s: float, router: NodeId, now: float) -> bool:
        """Record that a target has turned a router away; return whether that is news.

        Parameters
        ----------
        target : TargetId
        rest_s : float
            Seconds from now for which it wants no request of the router.
        router : NodeId
            :data:`LOCAL_ROUTER` for this router.
        now : float
            Monotonic seconds.
        """
        until = now + rest_s
        with self._lock:
            self._drop_old(now)
            rest = self._rests.setdefault(target, _Rest())
            rest.note_refusal(router, rest_s, now)
            before = rest.until.get(router, -math.inf)
            rest.until[router] = max(before, until)
            return until > max(before, now) + _MIN_EXTENSION_S

    def note_running_rest(
        self, target: TargetId, rest_s: float, router: NodeId, now: float
    ) -> None:
        """Record a rest that a router repeats.

        It is no new refusal, so it keeps the target from no other router. If none was known, one
        request at a time is sent until the target serves one.
        """
        with self._lock:
            self._drop_old(now)
            until = self._rests.setdefault(target, _Rest()).until
            until[router] = max(until.get(router, -math.inf), now + rest_s)

    def _drop_old(self, now: float) -> None:
        """Forget the targets that have long been free to serve, if there are many."""
        if len(self._rests) < _MAX_RESTS:
            return
        oldest = now - _REST_RETENTION_S
        self._rests = {
            target: rest
            for target, rest in self._rests.items()
            if max(rest.until.values()) > oldest
        }

    def note_sent(self, target: TargetId, now: float, router: NodeId = LOCAL_ROUTER) -> None:
        """Record that a router sends a request; it is a trial if the target has turned one away."""
        rest = self._rests.get(target)
        if rest is not None and rest.needs_trial(router):
            with self._lock:
                rest.trial_began_at = now

    def note_given_back(self, target: TargetId) -> None:
        """Record that a request was not sent after all, or its caller left: no trial runs."""
        rest = self._rests.get(target)
        if rest is not None:
            with self._lock:
                rest.trial_began_at = -math.inf

    def note_served(
        self, target: TargetId, sent_at: float, now: float, router: NodeId | None = None
    ) -> None:
        """Record that a target serves a request that was sent to it at ``sent_at``.

        One that was sent before the target turned others away shows nothing. ``router`` is the one
        that sent it, None if that is not known.
        """
        if target not in self._rests:
            return
        with self._lock:
            rest = self._rests.get(target)
            if rest is None or sent_at < rest.refused_at + _CLOCK_SLACK_S:
                return
            rest.note_served(router)
            oldest = now - _REFUSAL_MEMORY_S
            rest.until = {node: until for node, until in rest.until.items() if until > oldest}
            if not rest.until:
                del self._rests[target]

    # -- questions -----------------------------------------------------------------------------

    def is_leaving(self, target: TargetId) -> bool:
        """Return whether a target has said that it leaves."""
        return target in self._leaving

    def leaving_among(self, targets: Iterable[TargetId], max_count: int) -> list[TargetId]:
        """Return at most ``max_count`` of ``targets`` that have said that they leave."""
        if not self._leaving:
            return []
        return [target for target in targets if target in self._leaving][:max_count]

    def may_send(self, target: TargetId, now: float) -> bool:
        """Return whether this router may send something to a target now."""
        if target in self._leaving:
            return False
        rest = self._rests.get(target)
        return rest is None or now >= rest.until.get(LOCAL_ROUTER, -math.inf)

    def next_at(self, target: TargetId, router: NodeId, now: float) -> float:
        """Return from when on a request of a router may be placed on a target.

        The result is in the past if it may be placed now, and infinite for a leaving target.
        """
        if target in self._leaving:
            return math.inf
        if target not in self._rests:
            return -math.inf
        with self._lock:
            rest = self._rests.get(target)
            return -math.inf if rest is None else rest.next_at(router, now)

    def rest_end(self, target: TargetId, router: NodeId) -> float:
        """Return until when a target wants nothing of a router, in monotonic seconds."""
        rest = self._rests.get(target)
        return -math.inf if rest is None else rest.until.get(router, -math.inf)

    def exclude_resting(
        self, loads: list[TargetLoad], router: NodeId, now: float
    ) -> list[TargetLoad]:
        """Return the targets on which a request of a router may be placed now."""
        if not self._rests:
            return loads
        return [load for load in loads if self.next_at(load.info.id, router, now) <= now]

    def is_trial(self, target: TargetId) -> bool:
        """Return whether a request to a target would be a trial: it may still be full for all."""
        rest = self._rests.get(target)
        return rest is not None and not rest.is_open

    def rest_left_s(self, target: TargetId, now: float) -> float:
        """Return the seconds for which this router sends nothing to a target; 0 for none."""
        rest = self._rests.get(target)
        until = -math.inf if rest is None else rest.until.get(LOCAL_ROUTER, -math.inf)
        return max(0.0, until - now)

    def resting_count(self, now: float) -> int:
        """Return the number of targets to which this router sends nothing for a while."""
        with self._lock:
            return sum(rest.until.get(LOCAL_ROUTER, 0.0) > now for rest in self._rests.values())
