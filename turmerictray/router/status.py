"""What a router tells operators of its state, at ``GET /status``."""

import msgspec

from turmerictray.orders.messages import HomeState


class TargetStatus(msgspec.Struct, frozen=True):
    """One target as this router sees it; ``dispatched`` counts requests since the start."""

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
    """One team: tokens served here and fleet-wide, and requests waiting here."""

    local: float
    fleet: float
    queued: int


class RouterStatus(msgspec.Struct, frozen=True):
    """A router's state.

    Attributes
    ----------
    share : float
        Its smallest share of a service it has a queue for, from 0 to 1.
    queued, in_hand, inflight : int
        Requests waiting for a slot; held by the front; sent to targets.
    orders : HomeState or None
        The state of its home for the keys of non-idempotent requests.
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
