"""Wire messages about single requests between routers and schedulers."""

import msgspec


class PlaceRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Request of a router for an engine.

    Attributes
    ----------
    call_id : int
        Unique in the fleet.
    origin, reply_to : str
        The requesting router, and the address at which it receives the answer.
    reconnected : bool
        Whether the router has just opened a new connection to the scheduler. The connection in the
        opposite direction may be broken as well.
    parts : list of (str, int)
        Id and length in tokens of each prompt part.
    wait_s : float
        Seconds from now within which the request must be sent to an engine.
    give_up_s : float
        Seconds from now within which the request must be answered.
    exclude : list of str
        Targets to which the request has already been sent.
    retry, repeat : bool
        See :class:`turmerictray.scheduling.broker_messages.Ask`.
    shard, shards : int
        Index of the shard in which an engine is requested, and number of shards.
    digest : str
        See :mod:`turmerictray.crashes.digest`.
    home_zones : list of str or None
        Availability zones whose engines may run the request; None for all.
    version : str or None
        Software version that must run the request; None for any.
    resumes : int or None
        Key of the stream that the request takes up; None for none.
    is_test, is_counted : bool
        See :class:`turmerictray.scheduling.broker_messages.Ask`.
    """

    call_id: int
    origin: str
    reply_to: str
    reconnected: bool
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
    home_zones: list[str] | None = None
    version: str | None = None
    resumes: int | None = None
    is_test: bool = False
    is_counted: bool = False


class PlaceWithdrawn(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Notice that the caller of a pending request has disconnected."""

    call_id: int
    service: str


class FirstSeen(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Report that the first event of an answer came ``took_s`` seconds after sending.

    ``stream`` is the key of the stream that began, and ``version`` the target's software version.
    """

    call_id: int
    service: str
    target: str
    took_s: float
    stream: int | None = None
    version: str = ""


class Ended(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Report that a granted request has ended or was not sent.

    Attributes
    ----------
    cost : float
        Capacity of the pool that the request used, in tokens.
    digest : str
        Digest of the request if its target terminated while running it; otherwise empty.
    parts : list of str
        Shared parts of its prompt in that case; otherwise those that the answer proves sound.
    team : str
        Team of the request in the first case.
    isolated : bool
        Whether no other suspect had just started on the target.
    """

    call_id: int
    service: str
    target: str
    outcome: str
    cost: float
    digest: str = ""
    parts: list[str] = []
    team: str = ""
    isolated: bool = False


class LeavingSeen(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Report that a target announced its shutdown in an answer."""

    service: str
    target: str


class RestSeen(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Report that a target turned a router away and asked it to rest for ``rest_s`` seconds.

    Attributes
    ----------
    repeated : bool
        Whether the router tells of a rest that has begun before, with the seconds that are left.
    """

    service: str
    target: str
    router: str
    rest_s: float
    repeated: bool = False


class PlaceGranted(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Grant of an engine; see :class:`turmerictray.scheduling.broker_messages.Granted`.

    Attributes
    ----------
    scheduler, reply_to : str
        The granting router, and the address at which it receives the request's outcome.
    backlog_s : float
        Estimated seconds until all requests queued at the scheduler have been sent.
    version : str
        Software version of the target.
    isolated : bool
        Whether no other suspect of a crash has just started on the target.
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
    version: str = ""
    isolated: bool = False


class PlaceRefused(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Refusal of a request; ``error`` names a class of :mod:`turmerictray.core.errors`."""

    call_id: int
    scheduler: str
    error: str
    reason: str
    retry_after_s: float


class StillWaiting(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Heartbeat of a scheduler to a router with pending requests there."""

    scheduler: str


class ServiceGiven(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Tokens served per team by the scheduler of one shard, for the schedulers of the others.

    Attributes
    ----------
    service : dict of str to float
        Tokens served since the process started, for the teams whose value has changed.
    waiting : list of str
        Teams with pending requests.
    """

    scheduler: str
    incarnation: int
    service: dict[str, float]
    waiting: list[str]


class PartsRead(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Shared prompt parts that engines have just read, for other schedulers of the service.

    Attributes
    ----------
    service : str
    reads : list of (str, str, int)
        Target, part id and tokens of each read; the unshared parts of a target are added up under
        :data:`turmerictray.routing.prompt.UNSHARED_PART`.
    """

    service: str
    reads: list[tuple[str, str, int]]


class StreamsBegun(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Software versions that have just begun streams of a service.

    Attributes
    ----------
    streams : dict of str to bytes
        Keys of the streams by version, encoded by
        :func:`turmerictray.routing.streams.pack_keys`.
    """

    service: str
    streams: dict[str, bytes]


class LookNow(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Message from a router to itself that triggers the check for unresponsive schedulers.

    It passes through the receive queue, so every message that arrived before ``sent_at`` has been
    handled when it is received.
    """

    sent_at: float


SchedulingMessage = (
    PlaceRequest
    | PlaceWithdrawn
    | FirstSeen
    | Ended
    | LeavingSeen
    | RestSeen
    | PlaceGranted
    | PlaceRefused
    | StillWaiting
    | PartsRead
    | StreamsBegun
    | ServiceGiven
    | LookNow
)
