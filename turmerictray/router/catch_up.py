"""Takes from peers what a router has not read from the platform's store itself."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod

from turmerictray.core.actor import VitalActor
from turmerictray.core.errors import PeerError
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.membership.messages import PeerMessage, RouterSummary
from turmerictray.router.broker_messages import RoutersAlive
from turmerictray.router.published import PeerDocs, Position, PublishedDocs, StorePosition
from turmerictray.router.readers import StoreReaders
from turmerictray.router.start_check import StartCheck, StartEnd

_OWN_READ_S = 0.4
"""A router that reads the store waits this long for its own read before it asks a peer: in a
healthy deployment its own watch brings a new text within milliseconds of a peer's, and asking would
only double the reads."""

_BETWEEN_S = 0.3

TakeDocs = Callable[[PublishedDocs, str], None]
"""Takes a peer's documents and the peer's name."""


class Lag:
    """Decides when a router that is behind its peers asks one of them.

    A message from a peer that is as far behind says nothing against it: after an outage most of
    the fleet is, and the one router that knows better must be enough.
    """

    def __init__(self) -> None:
        self._behind_since: float | None = None
        self._newest = Position()
        self._next_at = 0.0

    def should_ask(self, peer: Position, own: Position, reads: bool, now: float) -> bool:
        """Whether to ask the peer whose message has just come.

        Parameters
        ----------
        peer, own : Position
        reads : bool
            This router reads the store, so its own read is likely on its way.
        """
        if self._behind_since is not None and not own.is_behind(self._newest):
            self._behind_since = None
        if not own.is_behind(peer):
            return False
        if self._behind_since is None:
            self._behind_since = now
            self._newest = Position()
        self._newest = self._newest.merge(peer)
        grace = _OWN_READ_S if reads else 0.0
        if now - self._behind_since < grace or now < self._next_at:
            return False
        self._next_at = now + _BETWEEN_S
        return True


@dataclass(frozen=True)
class LookAtStart:
    """Time has passed in which the router may have caught up."""


class CatchUp(VitalActor):
    """Compares peers' positions with this router's own and fetches what it lacks.

    A router that the store turns away would go on with withdrawn keys and old routes although the
    router beside it knows better; one that starts while the store is away would serve nothing.
    After a start the router serves callers only once it has caught up.

    Parameters
    ----------
    position : callable
        How far this router has read.
    readers : StoreReaders
    take : callable
        Takes a peer's documents.
    start : StartCheck
    note_caught_up : callable
        Called once, when the router has caught up after its start.
    """

    def __init__(
        self,
        position: Callable[[], Position],
        readers: StoreReaders,
        take: TakeDocs,
        start: StartCheck,
        note_caught_up: Callable[[], None],
    ) -> None:
        super().__init__()
        self._position = position
        self._readers = readers
        self._take = take
        self._start: StartCheck | None = start
        self._note_caught_up = note_caught_up
        self._peer_docs = PeerDocs()
        self._lag = Lag()

    @singledispatchmethod
    def on_receive(self, message: object) -> None:
        log_unknown_message(message)

    @on_receive.register
    def _(self, message: PeerMessage) -> None:
        peer, own = position_of(message.summary), self._position()
        now = time.monotonic()
        # A router that may not serve yet has no time to wait for its own read.
        waits_for_read = self._start is None and self._readers.is_chosen()
        if self._lag.should_ask(peer, own, waits_for_read, now):
            self._fetch(message)
            own = self._position()
        if not own.is_behind(peer) and not peer.is_behind(own):
            self._readers.note_peer(message.summary.store_age_s)
        if self._start is not None:
            self._start.hear(message.sender.node, peer, message.summary.caught_up)
            self._look_at_start()

    @on_receive.register
    def _(self, message: RoutersAlive) -> None:
        if self._start is not None:
            self._start.take_members(message.nodes)

    @on_receive.register
    def _(self, message: LookAtStart) -> None:
        self._look_at_start()

    def _look_at_start(self) -> None:
        if self._start is None:
            return
        own = self._position()
        end = self._start.end(own, time.monotonic())
        if end is None:
            return
        self._start = None
        self._note_caught_up()
        log_event(
            "caught_up",
            level="INFO" if end is StartEnd.PEER else "WARNING",
            by=end.value,
            text_version=own.text_version,
            targets_revision=own.targets.revision,
        )

    def _fetch(self, message: PeerMessage) -> None:
        peer = message.sender.node
        try:
            self._take(self._peer_docs.fetch(message.admin), peer)
        except PeerError as exc:
            log_event("catch_up_failed", level="WARNING", peer=peer, reason=str(exc)[:200])


def position_of(summary: RouterSummary) -> Position:
    """How far a peer has read."""
    targets = StorePosition(summary.targets_era, summary.targets_revision)
    return Position(summary.text_version, targets)
