"""Retrieval from peers of published documents that this router has not read from the store."""

import math
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from functools import singledispatchmethod

import msgspec
import pykka

from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor
from turmerictray.core.errors import PeerError
from turmerictray.core.ids import ZoneId
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.membership.messages import PeerMessage, RouterSummary
from turmerictray.membership.reachability import HeardPeers, Reachability
from turmerictray.router.messages import PeersProbed, SilentPeers, SilentPeersQuery
from turmerictray.router.peer_fetcher import Fetch, PeerFetcher
from turmerictray.router.peer_texts import PeerTexts
from turmerictray.router.published import (
    PeerDocs,
    Position,
    PublishedCopy,
    PublishedDocs,
    StorePosition,
)
from turmerictray.router.startup_check import StartupCheck, StartupResult
from turmerictray.router.store_readers import StoreReaderSelection
from turmerictray.scheduling.broker_messages import RoutersAlive, StartupState

_LOCAL_READ_GRACE_S = 0.4
"""A router that reads the store waits this long for its own read before it asks a peer. In a
healthy deployment its own watch delivers a new configuration within milliseconds of a peer's, so
asking would only double the reads."""

_REMOTE_ZONE_GRACE_S = 0.3
"""Time for which a router waits for a message from an up-to-date peer of its own availability zone
before it asks one of another zone, as traffic between zones is expensive."""

_MIN_FETCH_INTERVAL_S = 0.3
"""Minimum time between two fetches from peers."""

_SILENCE_S = 3.0
"""Time without a message after which a seed counts as silent."""

ApplyDocs = Callable[[PublishedDocs, str], None]
"""Applies a peer's documents; called with the documents and the peer's name."""


class LagTracker:
    """Tracks how long this router has been behind its peers and decides when to ask one.

    A message from a peer that is equally far behind does not reset the wait: after an outage most
    of the fleet is behind, and a single up-to-date router must suffice.
    """

    def __init__(self) -> None:
        self._behind_since: float | None = None
        self._newest = Position()
        self._next_fetch_at = 0.0

    def should_ask(
        self,
        peer: Position,
        local: Position,
        reads_store: bool,
        now: float,
        is_remote: bool = False,
    ) -> bool:
        """Decide whether to ask the peer whose message has just arrived.

        Parameters
        ----------
        peer, local : Position
            How far the peer and this router have read.
        reads_store : bool
            This router reads the store, so its own read is probably in progress.
        is_remote : bool
            The peer is in another availability zone.
        """
        if self._behind_since is not None and not local.is_behind(self._newest):
            self._behind_since = None
        if not local.is_behind(peer):
            return False
        if self._behind_since is None:
            self._behind_since = now
            self._newest = Position()
        self._newest = self._newest.merge(peer)
        grace_s = _LOCAL_READ_GRACE_S if reads_store else 0.0
        if is_remote:
            grace_s = max(grace_s, _REMOTE_ZONE_GRACE_S)
        if now - self._behind_since < grace_s or now < self._next_fetch_at:
            return False
        self._next_fetch_at = now + _MIN_FETCH_INTERVAL_S
        return True


@dataclass(frozen=True)
class MessageArrived:
    """A peer's message, and when it arrived, in monotonic seconds."""

    message: PeerMessage
    at: float


@dataclass(frozen=True)
class FetchEnded:
    """A fetch from a peer has succeeded or failed."""

    fetch: Fetch


@dataclass(frozen=True)
class CheckStartup:
    """Triggers a check whether the router has caught up after its start."""


class CatchUp(VitalActor):
    """Compares peers' store positions with this router's and fetches newer documents from them.

    Without this, a router that the store rejects would keep serving revoked keys and old routes
    although its peers have newer ones, and a router that starts while the store is down could serve
    nothing. After a start the router serves callers only once it has caught up.

    Parameters
    ----------
    published_copy : PublishedCopy
        The documents that this router has read.
    readers : StoreReaderSelection
    apply_docs : callable
        Applies a peer's documents.
    startup_check : StartupCheck
    on_startup : callable
        Called with :class:`StartupState` whenever the state of the start changes.
    zone : ZoneId
        Availability zone of this router.
    seeds : collection of str
        ``tcp://host:port`` of the other routers that this one contacts first.
    peer_texts : PeerTexts or None
        Decides when to ask for an older configuration; None never does.
    """

    uncounted_messages = (MessageArrived, FetchEnded, RoutersAlive, CheckStartup, PeersProbed)

    def __init__(
        self,
        published_copy: PublishedCopy,
        readers: StoreReaderSelection,
        apply_docs: ApplyDocs,
        startup_check: StartupCheck,
        on_startup: Callable[[StartupState], None],
        zone: ZoneId,
        seeds: Collection[str] = (),
        peer_texts: PeerTexts | None = None,
    ) -> None:
        super().__init__()
        self._published_copy = published_copy
        self._position = published_copy.position
        self._readers = readers
        self._apply_docs = apply_docs
        self._startup_check: StartupCheck | None = startup_check
        self._on_startup = on_startup
        self._startup = StartupState(may_serve=False, confirmed=False)
        self._zone = zone
        self._seeds = HeardPeers({seed: seed for seed in seeds}, _SILENCE_S)
        self._accepting_seeds: set[str] = set()
        self._peer_texts = peer_texts
        self._peer_docs = PeerDocs()
        self._lag = LagTracker()
        self._next_confirmation_at = -math.inf
        self._fetcher: pykka.ActorRef | None = None
        self._is_fetching = False

    def open(self) -> None:
        self._fetcher = PeerFetcher.start(
            self._fetch, lambda fetch: self.actor_ref.tell(FetchEnded(fetch))
        )

    @singledispatchmethod
    def handle(self, message: object) -> SilentPeers | None:
        log_unknown_message(message)
        return None

    @handle.register
    def _(self, arrived: MessageArrived) -> None:
        message, now = arrived.message, time.monotonic()
        metrics.MESSAGE_WAIT.labels("CatchUp").observe(now - arrived.at)
        peer = position_of_summary(message.summary)
        if self._peer_texts is not None:
            self._peer_texts.record(message.sender.node, peer.text_version)
        self._readers.record_heard(peer, self._position(), arrived.at)
        if not self._is_fetching:
            self._fetch_if_due(message, arrived.at, now)
        self._record_confirmation(message, arrived.at)
        if self._startup_check is not None:
            self._startup_check.record_peer(
                message.sender.node, peer, message.summary.caught_up, now
            )
            self._seeds.record(message.sender.address, arrived.at)
            self._check_startup()

    def _fetch_if_due(self, message: PeerMessage, arrived_at: float, now: float) -> None:
        peer, local = position_of_summary(message.summary), self._position()
        # A router that may not serve yet fetches at once instead of waiting for its own read. So
        # does a reader that the store does not answer: at its return, targets that its peers know
        # to be gone would seem to be missing because of the outage, and be kept.
        is_started = self._startup_check is None
        waits_for_read = is_started and self._readers.reads_store()
        is_cut_off = self._readers.is_designated() and not self._readers.reads_store()
        is_remote = is_started and not is_cut_off and message.sender.zone != self._zone
        if self._lag.should_ask(peer, local, waits_for_read, now, is_remote):
            self._start_fetch(message, arrived_at)
        elif self._should_confirm_missing(message.summary.uninterrupted_s, now):
            self._start_fetch(message, arrived_at, all_targets=True)
        elif self._lacks_text(message.sender.node, local, now):
            self._start_fetch(message, arrived_at, in_force=True)

    def _record_confirmation(self, message: PeerMessage, arrived_at: float) -> None:
        """Record since when this router's data is known to be current, if the peer tells so.

        What this router knows is at least what the peer does, and nothing newer was in the store
        when the peer's data was read.
        """
        summary = message.summary
        if summary.store_age_s >= 0 and not self._position().is_behind(
            position_of_summary(summary)
        ):
            confirmed_at = arrived_at - summary.store_age_s
            self._readers.record_confirmation(confirmed_at, summary.confirmed_by)

    @handle.register
    def _(self, ended: FetchEnded) -> None:
        self._is_fetching = False
        self._record_confirmation(ended.fetch.message, ended.fetch.arrived_at)
        self._check_startup()

    def _lacks_text(self, peer: str, local: Position, now: float) -> bool:
        """Decide whether to ask for the configuration that a peer has in force."""
        texts = self._peer_texts
        return texts is not None and texts.should_ask(peer, local.text_version, now)

    def _has_text(self) -> bool:
        return self._peer_texts is not None and self._peer_texts.has_text()

    @handle.register
    def _(self, message: RoutersAlive) -> None:
        if self._peer_texts is not None:
            self._peer_texts.set_members(message.nodes)
        if self._startup_check is not None:
            self._startup_check.set_members(message.nodes)

    @handle.register
    def _(self, message: CheckStartup) -> None:
        self._check_startup()

    @handle.register
    def _(self, message: SilentPeersQuery) -> SilentPeers:
        return SilentPeers(self._seeds.silent(time.monotonic()), self._startup_check is None)

    @handle.register
    def _(self, message: PeersProbed) -> None:
        self._accepting_seeds = {
            seed for seed, result in message.results.items() if result is Reachability.ACCEPTS
        }
        self._check_startup()

    def _should_confirm_missing(self, peer_uninterrupted_s: float, now: float) -> bool:
        """Decide whether to ask a peer which targets with missing entries have left.

        This router can't tell whether an entry expired during an outage or was removed while it
        could not read the store; a peer that has read all the while can.
        """
        if now < self._next_confirmation_at or not self._readers.covers_gap(peer_uninterrupted_s):
            return False
        if not self._published_copy.docs().has_missing_entries():
            return False
        self._next_confirmation_at = now + _MIN_FETCH_INTERVAL_S
        return True

    def _check_startup(self) -> None:
        check = self._startup_check
        if check is None:
            return
        local, now = self._position(), time.monotonic()
        check.set_unresponsive(bool(self._accepting_seeds & self._seeds.silent(now).keys()))
        result = check.update(local, now)
        startup = StartupState(check.may_serve, check.confirmed)
        if startup == self._startup:
            return
        self._startup = startup
        self._on_startup(startup)
        self._log_startup(startup, result, local)
        if startup.confirmed:
            self._startup_check = None

    def _log_startup(
        self, startup: StartupState, result: StartupResult | None, local: Position
    ) -> None:
        log_event(
            "caught_up" if startup.may_serve else "outdated",
            level="INFO" if result is StartupResult.PEER else "WARNING",
            by=result.value if result else "-",
            confirmed=startup.confirmed,
            text_version=local.text_version,
            targets_revision=local.targets.revision,
        )

    def _start_fetch(
        self,
        message: PeerMessage,
        arrived_at: float,
        all_targets: bool = False,
        in_force: bool = False,
    ) -> None:
        local = self._position()
        with_text = in_force or local.text_version < message.summary.text_version
        since = None if all_targets or not local.targets.revision else local.targets
        fetch = Fetch(message, arrived_at, with_text, since, in_force)
        self._is_fetching = True
        if self._fetcher is not None:
            self._fetcher.tell(fetch)
            return
        self._fetch(fetch)
        self.handle(FetchEnded(fetch))

    def _fetch(self, fetch: Fetch) -> None:
        peer = fetch.message.sender.node
        try:
            docs = self._peer_docs.fetch(fetch.message.admin, fetch.with_text, fetch.since)
        except PeerError as exc:
            log_event("catch_up_failed", level="WARNING", peer=peer, reason=str(exc)[:200])
            return
        metrics.PEER_FETCHED_AT.set_to_current_time()
        if not fetch.in_force and not self._has_text():
            # Other peers may serve by a newer one, and this router by none.
            docs = msgspec.structs.replace(docs, text_in_force=None)
        self._apply_docs(docs, peer)


def position_of_summary(summary: RouterSummary) -> Position:
    """Return how far a peer has read, by its summary."""
    targets = StorePosition(summary.targets_era, summary.targets_revision)
    zones = StorePosition(summary.zones_era, summary.zones_revision)
    return Position(summary.text_version, targets, zones)
