"""A request that has been read and matched to its route."""

from dataclasses import dataclass
from functools import cached_property

from turmerictray.admission.backlog import TeamRoute
from turmerictray.admission.digest import request_digest
from turmerictray.admission.time_bounds import TimeBounds
from turmerictray.config.routes import Route, RoutingText
from turmerictray.core.errors import CallerError
from turmerictray.core.ids import RequestDigest, ServiceName, TeamId
from turmerictray.router.dialect import Envelope
from turmerictray.transport.exchange import RequestHead

_NO_TEAM = TeamId("-")
_PLAIN_COST = 1.0


def ledger_team(team: TeamId | None) -> TeamId:
    """Whose service a request counts as; requests without a team share one name."""
    return team if team is not None else _NO_TEAM


def team_for(text: RoutingText, route: Route, key: str | None) -> TeamId | None:
    """The team whose key a caller presents, or None for a public route without one.

    Raises
    ------
    CallerError
        The route needs a key, and nobody holds this one.
    """
    team = text.team_of(key) if key is not None else None
    if team is None and text.keys_needed and not route.public:
        raise CallerError("unknown key", 401)
    return team


@dataclass(frozen=True)
class Routed:
    """A request with its route, team and times.

    Attributes
    ----------
    call_id : int
        Unique in this process.
    team : TeamId or None
        None for a public route.
    text_version : int
        Version of the text that routed it.
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

    @property
    def ledger_team(self) -> TeamId:
        """Whose service it counts as."""
        return ledger_team(self.team)

    @property
    def backlog_key(self) -> TeamRoute:
        """The requests that it waits among."""
        return TeamRoute(self.ledger_team, self.route.name)

    @cached_property
    def digest(self) -> RequestDigest:
        """Tells it when it comes again with another id."""
        head = self.head
        return request_digest(head.method, head.host, head.target, self.envelope.key, self.body)

    @property
    def cost(self) -> float:
        """What it takes from the pool, in tokens read."""
        prompt = self.envelope.prompt
        return prompt.cost if prompt is not None else _PLAIN_COST
