"""A parsed request and its route."""

import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property, partial

from turmerictray.admission.backlog import TeamRoute
from turmerictray.admission.time_bounds import TimeBounds
from turmerictray.config.routes import Route, RoutingConfig
from turmerictray.core.errors import CallerError
from turmerictray.core.ids import (
    RequestDigest,
    RequestId,
    ServiceName,
    StreamKey,
    TeamId,
    ZoneId,
)
from turmerictray.crashes.digest import request_digest
from turmerictray.crashes.fingerprint import Fingerprint, shared_parts
from turmerictray.router.dialect import Envelope
from turmerictray.routing.streams import stream_key
from turmerictray.transport.exchange import RequestHead

_NO_TEAM = TeamId("-")
_PLAIN_COST = 1.0

_CALL_ID_BITS = 32
_PROCESS_ID_BITS = 30
"""Call ids count up from a random start, so that ids of different routers differ at the scheduler.
Two of 390 processes share a start in one of 14,000 fleets."""


def call_id_source() -> Callable[[], int]:
    """Return a function that returns a new call id each time, from any thread."""
    return partial(next, itertools.count(secrets.randbits(_PROCESS_ID_BITS) << _CALL_ID_BITS))


def accounting_team(team: TeamId | None) -> TeamId:
    """Return the team that a request's usage is charged to.

    Requests without a team share one placeholder name.
    """
    return team if team is not None else _NO_TEAM


def authenticate_team(config: RoutingConfig, route: Route, key: str | None) -> TeamId | None:
    """Return the team of a caller's key, or None if it has none and the route needs no key.

    Raises
    ------
    CallerError
        The route needs a key, and no team has this one.
    """
    team = config.team_of(key) if key is not None else None
    if team is None and config.keys_needed and not route.public:
        raise CallerError("unknown key", 401)
    return team


@dataclass(frozen=True)
class RoutedRequest:
    """A parsed request with its route, team and time limits.

    Attributes
    ----------
    call_id : int
        Unique in this process.
    team : TeamId or None
        None for a request without a team's key.
    text_version : int
        Version of the configuration that determined the route.
    home_zones : frozenset of ZoneId or None
        Availability zones whose targets may run the request; None for all.
    """

    call_id: int
    head: RequestHead
    body: bytes
    envelope: Envelope
    route: Route
    service: ServiceName
    team: TeamId | None
    bounds: TimeBounds
    text_version: int
    home_zones: frozenset[ZoneId] | None = None

    @property
    def accounting_team(self) -> TeamId:
        """Team that the request's usage is charged to."""
        return accounting_team(self.team)

    @property
    def backlog_key(self) -> TeamRoute:
        """Key of the team's and route's backlog in which the request is counted."""
        return TeamRoute(self.accounting_team, self.route.name)

    @cached_property
    def digest(self) -> RequestDigest:
        """Digest that identifies the request when it is sent again under another id."""
        head = self.head
        return request_digest(head.method, head.host, head.target, self.envelope.key, self.body)

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """Features by which crashes of targets are attributed to the request."""
        parts = shared_parts(self.service, self.envelope.prompt)
        return Fingerprint(self.digest, self.accounting_team, parts)

    @cached_property
    def stream(self) -> StreamKey | None:
        """Key of the stream that this request begins; None for a plain service."""
        return self._stream_key(self.envelope.request_id)

    @cached_property
    def resumes(self) -> StreamKey | None:
        """Key of the stream that this request takes up, None if it takes up none."""
        return self._stream_key(self.envelope.resumes)

    def _stream_key(self, request_id: RequestId | None) -> StreamKey | None:
        if self.envelope.prompt is None or request_id is None:
            return None
        return stream_key(self.accounting_team, self.service, request_id)

    @property
    def cost(self) -> float:
        """Cost of the request in tokens to prefill; a constant for plain services."""
        prompt = self.envelope.prompt
        return prompt.cost if prompt is not None else _PLAIN_COST
