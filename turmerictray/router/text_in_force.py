"""The routing text in force and the limits that come with a deployment."""

from dataclasses import dataclass

from turmerictray.config.routes import RoutingText
from turmerictray.core.ids import ServiceName, TargetId
from turmerictray.scheduling.shards import ShardMap


@dataclass(frozen=True)
class RepeatLimits:
    """The fleet's budget of repeats for each service.

    Attributes
    ----------
    ratio : float
        Repeats per request in a window.
    floor : float
        Repeats allowed in a window beside that, for the whole fleet.
    window_s : float
    """

    ratio: float = 0.2
    floor: float = 50.0
    window_s: float = 10.0


class TextInForce:
    """What a router goes by. Only the broker changes it.

    A text is immutable, so other threads see either the old or the new one whole.

    Attributes
    ----------
    current : RoutingText or None
        The text in force.
    targets_listed : bool
        Whether the targets are known.
    caught_up : bool
        False from the start until this router knows as much as its peers; no caller is served
        before.
    leaving : frozenset of TargetId
        Targets that take no more work: leaving, gone or with an entry that can't be read.
    announced : frozenset of TargetId
        Those of them that have said so before they were gone.
    shards : dict of ServiceName to ShardMap
        The engines of each service, divided.
    """

    def __init__(self) -> None:
        self.current: RoutingText | None = None
        self.targets_listed = False
        self.caught_up = False
        self.leaving: frozenset[TargetId] = frozenset()
        self.announced: frozenset[TargetId] = frozenset()
        self.shards: dict[ServiceName, ShardMap] = {}

    @property
    def version(self) -> int:
        """Version of the text in force; 0 for none."""
        return self.current.version if self.current is not None else 0

    def offer(self, text: RoutingText) -> bool:
        """Put ``text`` in force if it is newer; false when it is not.

        A stale read or a peer that lags behind would otherwise bring back routes and keys that
        were withdrawn.
        """
        if text.version <= self.version:
            return False
        self.current = text
        return True
