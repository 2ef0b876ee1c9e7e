"""Refuses requests of teams that have too many waiting, by their heads alone."""

import random
import threading
import time
from collections import defaultdict

from turmerictray.admission.backlog import TeamRoute
from turmerictray.admission.time_bounds import retry_after_s
from turmerictray.config.routes import Route, RoutingText
from turmerictray.core import metrics
from turmerictray.core.errors import (
    AdmissionError,
    CallerError,
    RouterFull,
)
from turmerictray.core.ids import RequestId
from turmerictray.core.logs import log_event
from turmerictray.router.answers import error_answer
from turmerictray.router.dialect import Envelope
from turmerictray.router.routed import ledger_team, team_for
from turmerictray.router.run import Parts
from turmerictray.router.text_in_force import TextInForce
from turmerictray.transport.early import final_answer
from turmerictray.transport.exchange import RequestHead

_TELL_EVERY_S = 0.5
_IDS_A_LINE = 100

_LATE_S = 0.2
"""From this wait on every prompt is refused: left unread, its caller would go elsewhere much later,
and calls of plain services wait among the prompts."""

_ELSEWHERE_S = 0.2
"""Another router has read the request by then."""


class EarlyRefusals:
    """Decides on the server's own thread, so that a refusal costs no thread and no message.

    Whatever is not certain from the head, such as a route or a key that is not known, is left to
    the usual way of a request.

    Parameters
    ----------
    parts : Parts
    in_force : TextInForce
    """

    def __init__(self, parts: Parts, in_force: TextInForce) -> None:
        self._parts = parts
        self._in_force = in_force
        self._rng = random.Random()
        self._lock = threading.Lock()
        self._refused: defaultdict[tuple[TeamRoute, str], list[RequestId]] = defaultdict(list)
        self._told_at = time.monotonic()

    def is_active(self, unread_s: float) -> bool:
        """Whether a team may be asking for too much, or requests wait too long to be read."""
        return unread_s > _LATE_S or self._parts.backlog.may_refuse(time.monotonic())

    def answer(self, head: RequestHead, unread_s: float) -> bytes | None:
        """The refusal of a request; None for one that is to be served."""
        text = self._in_force.current
        if text is None:
            return None
        try:
            return self._refusal(head, unread_s, text)
        except CallerError:
            # The usual way tells the caller what is wrong with the request.
            return None

    def _refusal(self, head: RequestHead, unread_s: float, text: RoutingText) -> bytes | None:
        envelope = self._parts.dialect.read(head)
        route = text.match(head.host, head.path)
        if route is None or envelope.prompt is None:
            return None
        key = TeamRoute(ledger_team(team_for(text, route, envelope.key)), route.name)
        try:
            self._check(key, route, unread_s)
        except AdmissionError as exc:
            return self._refuse(exc, key, route, envelope)
        return None

    def _check(self, key: TeamRoute, route: Route, unread_s: float) -> None:
        self._parts.backlog.check_submission(key, route.objective_s, time.monotonic())
        if unread_s > _LATE_S:
            raise RouterFull("unread", _ELSEWHERE_S)

    def _refuse(
        self, exc: AdmissionError, key: TeamRoute, route: Route, envelope: Envelope
    ) -> bytes:
        with self._lock:
            self._refused[key, exc.reason].append(envelope.request_id)
        metrics.count_prompt(key.team, envelope.prompt.input_tokens, begun=False)
        left_s = route.timeout_s if envelope.caller_left_s is None else envelope.caller_left_s
        wait = retry_after_s(exc.retry_after, left_s, self._rng)
        answer = error_answer(exc)
        headers = [("Content-Type", "application/json"), self._parts.dialect.retry_after(wait)]
        return final_answer(answer.status, headers, answer.body)

    def tell(self, now: float) -> None:
        """Log and count what was refused; a line for each would cost more than the refusal."""
        if now < self._told_at + _TELL_EVERY_S:
            return
        self._told_at = now
        with self._lock:
            refused, self._refused = self._refused, defaultdict(list)
        for (key, reason), ids in refused.items():
            metrics.REQUESTS.labels(key.team, "refused").inc(len(ids))
            for first in range(0, len(ids), _IDS_A_LINE):
                part = ids[first : first + _IDS_A_LINE]
                log_event(
                    "refused_early",
                    team=key.team,
                    route=key.route,
                    status=AdmissionError.status,
                    reason=reason,
                    count=len(part),
                    reqs=",".join(part),
                )
