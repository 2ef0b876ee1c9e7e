"""Refusal of requests by their heads alone, before they are read on a front thread."""

import random
import threading
import time
from collections import defaultdict

from turmerictray.admission.backlog import TeamRoute
from turmerictray.admission.time_bounds import retry_after_s
from turmerictray.config.routes import Route, RoutingConfig
from turmerictray.core import metrics
from turmerictray.core.errors import (
    AdmissionError,
    CallerError,
    RouterFull,
)
from turmerictray.core.ids import RequestId
from turmerictray.core.logs import log_event
from turmerictray.router.active_config import ActiveConfig
from turmerictray.router.answers import error_answer
from turmerictray.router.dialect import Envelope
from turmerictray.router.routed_request import accounting_team, authenticate_team
from turmerictray.router.run import RequestDependencies
from turmerictray.transport.exchange import RequestHead
from turmerictray.transport.fast_path import encode_closing_answer

_LOG_INTERVAL_S = 0.5
_IDS_PER_LINE = 100

_MAX_UNREAD_S = 0.2
"""Time for which a request may wait to be read, in seconds. Beyond it every prompt is refused:
otherwise its caller would try another router much later, and requests to plain services wait in the
same queue as the prompts."""

_FULL_RETRY_S = 0.2
"""Retry-After of such a refusal; another router will have read the request by then."""


class EarlyRefusals:
    """Refusals of prompts whose team has too many waiting or that stay unread for too long.

    The check runs on the server's own thread, so a refusal takes no front thread and no actor
    message. A request with an unknown route or key is not refused here: the regular path handles
    it.

    Parameters
    ----------
    deps : RequestDependencies
    active_config : ActiveConfig
    """

    def __init__(self, deps: RequestDependencies, active_config: ActiveConfig) -> None:
        self._deps = deps
        self._active_config = active_config
        self._rng = random.Random()
        self._lock = threading.Lock()
        self._refused: defaultdict[tuple[TeamRoute, str], list[RequestId]] = defaultdict(list)
        self._logged_at = time.monotonic()

    def is_active(self, read_delay_s: float) -> bool:
        """Return whether a team may be over its limit or requests wait too long to be read."""
        return read_delay_s > _MAX_UNREAD_S or self._deps.backlog.may_refuse(time.monotonic())

    def answer(self, head: RequestHead, read_delay_s: float) -> bytes | None:
        """Return the refusal of a request, or None if the request may be served."""
        config = self._active_config.current
        if config is None:
            return None
        try:
            return self._refusal(head, read_delay_s, config)
        except CallerError:
            # The regular path answers the caller with the details of the error.
            return None

    def _refusal(
        self, head: RequestHead, read_delay_s: float, config: RoutingConfig
    ) -> bytes | None:
        envelope = self._deps.dialect.read(head)
        route = config.match(head.host, head.path)
        if route is None or envelope.prompt is None:
            return None
        key = TeamRoute(accounting_team(authenticate_team(config, route, envelope.key)), route.name)
        try:
            self._check(key, route, read_delay_s)
        except AdmissionError as exc:
            return self._refuse(exc, key, route, envelope)
        return None

    def _check(self, key: TeamRoute, route: Route, read_delay_s: float) -> None:
        self._deps.backlog.check_submission(key, route.objective_s, time.monotonic())
        if read_delay_s > _MAX_UNREAD_S:
            raise RouterFull("unread", _FULL_RETRY_S)

    def _refuse(
        self, exc: AdmissionError, key: TeamRoute, route: Route, envelope: Envelope
    ) -> bytes:
        with self._lock:
            self._refused[key, exc.reason].append(envelope.request_id)
        metrics.count_prompt_tokens(key.team, envelope.prompt.input_tokens, begun=False)
        left_s = route.timeout_s if envelope.caller_timeout_s is None else envelope.caller_timeout_s
        wait = retry_after_s(exc.retry_after, left_s, self._rng)
        answer = error_answer(exc)
        headers = [("Content-Type", "application/json"), self._deps.dialect.retry_after(wait)]
        return encode_closing_answer(answer.status, headers, answer.body)

    def log_refusals(self, now: float) -> None:
        """Log and count recent refusals in batches.

        A log line for each would cost more than the refusal itself.
        """
        if now < self._logged_at + _LOG_INTERVAL_S:
            return
        self._logged_at = now
        with self._lock:
            refused, self._refused = self._refused, defaultdict(list)
        for (key, reason), ids in refused.items():
            metrics.REQUESTS.labels(key.team, "refused").inc(len(ids))
            for first in range(0, len(ids), _IDS_PER_LINE):
                chunk = ids[first : first + _IDS_PER_LINE]
                log_event(
                    "refused_early",
                    team=key.team,
                    route=key.route,
                    status=AdmissionError.status,
                    reason=reason,
                    count=len(chunk),
                    reqs=",".join(chunk),
                )
