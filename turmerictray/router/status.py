"""Router state that ``GET /status`` reports to operators."""

import msgspec

from turmerictray.orders.messages import HomeState


class TargetStatus(msgspec.Struct, frozen=True):
    """State of a target as seen by this router.

    ``dispatched`` counts the requests sent since the router started.
    """

    id: str
    service: str
    state: str
    inflight: int
    claim: int | None
    reported_busy: int
    slots: int
    dispatched: int
    suspect: bool


class TeamStatus(msgspec.Struct, frozen=True):
    """A team's served tokens, locally and fleet-wide, and its locally queued requests."""

    local: float
    fleet: float
    queued: int


class RouterStatus(msgspec.Struct, frozen=True):
    """State of a router.

    Attributes
    ----------
    share : float
        The router's smallest share of any service with a local queue, from 0 to 1.
    queued, in_hand, inflight : int
        Requests waiting for a slot; being handled by the front; sent to targets.
    orders : HomeState or None
        State of the local replica that stores claims on non-idempotent requests.
    """

    node: str
    config_version: int
    draining: bool
    ready: bool
    share: float
    queued: int
    in_hand: int
    inflight: int
    targets: list[TargetStatus]
    teams: dict[str, TeamStatus]
    peers: list[str]
    orders: HomeState | None = None
