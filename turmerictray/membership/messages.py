"""What routers tell each other, as sent over the peer link."""

import msgspec


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """One router as another one knows it.

    Attributes
    ----------
    node, zone : str
    address : str
        ``tcp://host:port`` of its peer link.
    incarnation : int
        Start time of its process, in nanoseconds; a restart has a higher one.
    beat : int
        Grows by one with each message it sends.
    leaving : bool
        It is shutting down.
    calls : str
        ``tcp://host:port`` at which it schedules requests of other routers.
    cores : float
        What its processor can do, in cores.
    """

    node: str
    zone: str
    address: str
    incarnation: int
    beat: int
    leaving: bool = False
    calls: str = ""
    cores: float = 1.0


class Pulse(msgspec.Struct, frozen=True, array_like=True):
    """A sign of life of a router that the receiver knows already; see :class:`MemberEntry`."""

    node: str
    incarnation: int
    beat: int


class TargetWork(msgspec.Struct, frozen=True, array_like=True):
    """A router's own work on one target: requests running, and tokens still to be read."""

    target: str
    running: int
    unread_tokens: int


class PartRead(msgspec.Struct, frozen=True, array_like=True):
    """A shared part of a prompt that a router has sent to a target, ``tokens`` long."""

    target: str
    part: str
    tokens: int


class RouterSummary(msgspec.Struct, frozen=True, array_like=True):
    """A router's own state, for its peers.

    Attributes
    ----------
    node : str
    incarnation : int
    text_version : int
        Version of the routing text in force; 0 for none.
    work : list of TargetWork
        Only targets with work.
    service : dict of str to float
        Tokens served per team since the process started.
    waiting : list of str
        Teams that wait for room.
    reads : list of PartRead
        Since the last message.
    targets_revision : int
        Revision of the newest change of a target's entry that it knows; 0 for none.
    store_age_s : float
        Age of what it knows of the platform's store, however it learnt it.
    targets_era : int
        Era of ``targets_revision``; see :class:`turmerictray.router.published.StorePosition`.
    caught_up : bool
        False from its start until it knows as much as its peers.
    """

    node: str
    incarnation: int
    text_version: int
    work: list[TargetWork]
    service: dict[str, float]
    waiting: list[str]
    reads: list[PartRead] = []
    targets_revision: int = 0
    store_age_s: float = 1e9
    targets_era: int = 0
    caught_up: bool = True


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Targets that ended while they began to run a request.

    Attributes
    ----------
    digest : str
        See :mod:`turmerictray.admission.digest`.
    ended : list of str
        All that ended under it.
    cleared : list of str
        Those of them that ended before the request had an answer elsewhere.
    age_s : float
        Time since the last sign of the request, in seconds.
    """

    digest: str
    ended: list[str]
    cleared: list[str]
    age_s: float


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """One message of the peer link.

    Attributes
    ----------
    sender : MemberEntry
    summary : RouterSummary
    known : list of MemberEntry
        A few other routers that the sender has heard of.
    admin : str
        ``host:port`` where the sender hands out the published texts it holds.
    knows : int
        How many routers the sender believes alive, itself included.
    pulses : list of Pulse
        Signs of life of some of them.
    crashes : list of CrashReport
    """

    sender: MemberEntry
    summary: RouterSummary
    known: list[MemberEntry]
    admin: str
    knows: int = 0
    pulses: list[Pulse] = []
    crashes: list[CrashReport] = []
