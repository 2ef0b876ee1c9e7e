"""What a router and the scheduler tell each other about single requests, as sent on the wire."""

import msgspec


class PlaceRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A router asks for an engine.

    Attributes
    ----------
    call_id : int
        Unique in the fleet.
    origin, reply_to : str
        The router and the address that it takes answers at.
    redialled : bool
        The router has just opened its connection anew; the one for answers may be dead as well.
    parts : list of (str, int)
        Id and tokens of the prompt's parts.
    wait_s, give_up_s : float
        Seconds from now until the request must have been sent, and answered.
    exclude : list of str
        Targets that it has been sent to.
    retry, repeat : bool
        See :class:`turmerictray.router.broker_messages.Ask`.
    shard, shards : int
        The shard of the service's engines that the request is for, of so many.
    digest : str
        See :mod:`turmerictray.admission.digest`.
    """

    call_id: int
    origin: str
    reply_to: str
    redialled: bool
    zone: str
    req_id: str
    team: str
    service: str
    cost: float
    parts: list[tuple[str, int]]
    input_tokens: int
    output_tokens: int
    wait_s: float
    give_up_s: float
    exclude: list[str]
    retry: bool
    repeat: bool
    shard: int = 0
    shards: int = 1
    digest: str = ""


class PlaceWithdrawn(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The caller of a request that waits is gone."""

    call_id: int
    service: str


class FirstSeen(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An answer's first event came ``took_s`` seconds after the request was sent."""

    call_id: int
    service: str
    target: str
    took_s: float


class Ended(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A granted request has ended, or was not sent; ``cost`` is what it took from the pool.

    ``digest`` is given where its target has ended under it.
    """

    call_id: int
    service: str
    target: str
    outcome: str
    cost: float
    digest: str = ""


class LeavingSeen(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A target's own answer says that it is leaving."""

    service: str
    target: str


class PlaceGranted(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The engine to send to; see :class:`turmerictray.router.broker_messages.Granted`.

    Attributes
    ----------
    scheduler, reply_to : str
        The router that grants, and where it is told how the request went.
    backlog_s : float
        Seconds until all that waits there has been sent.
    """

    call_id: int
    scheduler: str
    reply_to: str
    target: str
    name: str
    service: str
    address: str
    zone: str
    slots: int
    expected_s: float
    miss_tokens: int
    ahead_tokens: int
    fetch_from: str = ""
    backlog_s: float = 0.0


class PlaceRefused(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The request is refused; ``error`` names a class of :mod:`turmerictray.core.errors`."""

    call_id: int
    scheduler: str
    error: str
    reason: str
    retry_after_s: float


class StillWaiting(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The scheduler is alive while requests of the router wait there."""

    scheduler: str


class ServiceGiven(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """What teams were given by a scheduler of one shard, for those of the others.

    Attributes
    ----------
    service : dict of str to float
        Tokens per team since the process started; only what has changed.
    waiting : list of str
        Teams that wait for room.
    """

    scheduler: str
    incarnation: int
    service: dict[str, float]
    waiting: list[str]


class LookNow(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A router's word to itself, which comes after all that has arrived before it was sent."""

    sent_at: float


SchedulingMessage = (
    PlaceRequest
    | PlaceWithdrawn
    | FirstSeen
    | Ended
    | LeavingSeen
    | PlaceGranted
    | PlaceRefused
    | StillWaiting
    | ServiceGiven
    | LookNow
)
