"""Wire messages of the peer link, by which routers gossip."""

import msgspec


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """State of one router as it announced it.

    Attributes
    ----------
    node, zone : str
    address : str
        ``tcp://host:port`` of its peer link.
    incarnation : int
        Start time of its process, in nanoseconds; it is higher after each restart.
    heartbeat : int
        Heartbeat counter, incremented with each message that the router sends.
    leaving : bool
        Whether the router is shutting down.
    scheduling_address : str
        ``tcp://host:port`` at which it schedules requests of other routers.
    cores : float
        Processor capacity in cores.
    """

    node: str
    zone: str
    address: str
    incarnation: int
    heartbeat: int
    leaving: bool = False
    scheduling_address: str = ""
    cores: float = 1.0


class Pulse(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat of a router whose :class:`MemberEntry` the receiver already has."""

    node: str
    incarnation: int
    heartbeat: int


class TargetWork(msgspec.Struct, frozen=True, array_like=True):
    """Load of one router on one target: running requests and tokens still to be processed."""

    target: str
    running: int
    unread_tokens: int


class PartRead(msgspec.Struct, frozen=True, array_like=True):
    """Shared prompt part of ``tokens`` tokens that a router has sent to a target."""

    target: str
    part: str
    tokens: int


class GoneVersion(msgspec.Struct, frozen=True, array_like=True):
    """Software version whose last target in a service has gone, ``gone_s`` seconds ago."""

    service: str
    version: str
    gone_s: float


class RouterSummary(msgspec.Struct, frozen=True, array_like=True):
    """State of a router as it reports it to its peers.

    Attributes
    ----------
    node : str
    incarnation : int
    text_version : int
        Version of the routing text in force; 0 for none.
    target_work : list of TargetWork
        The router's load on each target that has any.
    service : dict of str to float
        Tokens served per team since the process started.
    waiting : list of str
        Teams with pending requests.
    reads : list of PartRead
        Prompt parts sent to targets since the last message.
    targets_revision : int
        Revision of the newest change of a target's entry that the router has received; 0 for none.
    store_age_s : float
        Age of the router's copy of the platform's store, whether read directly or from a peer.
    targets_era : int
        Era of ``targets_revision``; see :class:`turmerictray.router.published.StorePosition`.
    caught_up : bool
        False from the router's start until it has the same state as its peers.
    zones_revision, zones_era : int
        Position of the newest evacuation of an availability zone, or of its end, that the router
        knows; revision 0 for none.
    uninterrupted_s : float
        Seconds for which the store has answered all reads of the router; 0 if it does not read.
    leaving : list of str
        Targets that have said in answers that they leave, while they are still listed.
    targets_known_s : int
        Seconds for which the router has known all targets; 0 if it does not.
    gone_versions : list of GoneVersion
        Those of them whose targets may have begun streams that are still awaited.
    confirmed_by : str
        The router whose read of the store ``store_age_s`` counts from; empty if not known.
    """

    node: str
    incarnation: int
    text_version: int
    target_work: list[TargetWork]
    service: dict[str, float]
    waiting: list[str]
    reads: list[PartRead] = []
    targets_revision: int = 0
    store_age_s: float = 1e9
    targets_era: int = 0
    caught_up: bool = True
    zones_revision: int = 0
    zones_era: int = 0
    uninterrupted_s: float = 0.0
    leaving: list[str] = []
    targets_known_s: int = 0
    gone_versions: list[GoneVersion] = []
    confirmed_by: str = ""


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Targets that terminated while they started to run a request.

    Attributes
    ----------
    digest : str
        See :mod:`turmerictray.crashes.digest`.
    ended : list of str
        All targets that terminated while running the request.
    cleared : list of str
        Those of them that terminated before another target answered the request.
    age_s : float
        Seconds since the request was last seen.
    """

    digest: str
    ended: list[str]
    cleared: list[str]
    age_s: float


class PartCrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Targets that terminated while they started to run prompts with a shared part.

    Attributes
    ----------
    service, part : str
        Id of the part, and the service of the targets.
    ended, cleared : list of str
        As in :class:`CrashReport`, for all prompts with the part.
    isolated : list of str
        Those of ``ended`` on which no other suspect had just started.
    teams : list of str
        Teams whose prompts had the part.
    age_s : float
        Seconds since such a prompt was last seen.
    """

    service: str
    part: str
    ended: list[str]
    cleared: list[str]
    isolated: list[str]
    teams: list[str]
    age_s: float

    def findings(self) -> tuple[list[str], list[str], list[str], list[str]]:
        """Return the lists of targets and teams, in the order of the fields."""
        return self.ended, self.cleared, self.isolated, self.teams


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Gossip message from one router to another.

    Attributes
    ----------
    sender : MemberEntry
    summary : RouterSummary
    members : list of MemberEntry
        A few other routers from the sender's member table.
    admin : str
        ``host:port`` at which the sender serves its copies of the published texts.
    member_count : int
        Number of routers that the sender believes alive, including itself.
    pulses : list of Pulse
        Heartbeats of some of them.
    crashes : list of CrashReport
    part_crashes : list of PartCrashReport
    """

    sender: MemberEntry
    summary: RouterSummary
    members: list[MemberEntry]
    admin: str
    member_count: int = 0
    pulses: list[Pulse] = []
    crashes: list[CrashReport] = []
    part_crashes: list[PartCrashReport] = []
