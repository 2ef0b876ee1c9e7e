"""Takes what a router missed from its peers when the platform's store does not give it."""

import time

import pykka

from turmerictray.core.actor import VitalActor
from turmerictray.core.errors import ConfigError, PeerError
from turmerictray.core.logs import log_event
from turmerictray.membership.messages import PeerMessage
from turmerictray.router.broker_messages import TargetsListed, TextArrived
from turmerictray.router.published import PeerCopy, PublishedDocs
from turmerictray.router.text_in_force import TextInForce

_OWN_READ_S = 0.4
"""A router waits this long for its own read before it asks a peer: in a healthy deployment its own
watch brings a new text within milliseconds of a peer's, and asking would only double the reads."""

_BETWEEN_S = 0.3


class Lag:
    """Decides when a router that is behind its peers asks one of them.

    A message from a peer that is as far behind says nothing against it: after an outage most of
    the fleet is, and the one router that knows better must be enough.
    """

    def __init__(self) -> None:
        self._behind_since: float | None = None
        self._behind_version = 0
        self._next_at = 0.0

    def should_ask(self, peer_version: int, own_version: int, complete: bool, now: float) -> bool:
        """Whether to ask the peer whose message has just come.

        Parameters
        ----------
        peer_version, own_version : int
            Versions of the text in force; 0 for none.
        complete : bool
            This router knows the targets.
        """
        if self._behind_since is not None and own_version >= self._behind_version and complete:
            self._behind_since = None
        if not peer_version or (peer_version <= own_version and complete):
            return False
        if self._behind_since is None:
            self._behind_since = now
        self._behind_version = max(self._behind_version, peer_version)
        if now - self._behind_since < _OWN_READ_S or now < self._next_at:
            return False
        self._next_at = now + _BETWEEN_S
        return True


class CatchUp(VitalActor):
    """Compares peers' versions with this router's own and fetches newer texts from them.

    A router that the store turns away would go on with withdrawn keys and old routes although the
    router beside it knows better; one that starts while the store is away would serve nothing.

    Parameters
    ----------
    broker : pykka.ActorRef
    in_force : TextInForce
    copy : PeerCopy
    """

    def __init__(self, broker: pykka.ActorRef, in_force: TextInForce, copy: PeerCopy) -> None:
        super().__init__()
        self._broker = broker
        self._in_force = in_force
        self._copy = copy
        self._lag = Lag()

    def on_receive(self, message: PeerMessage) -> None:
        """Look at a peer's message."""
        in_force = self._in_force
        version = message.summary.text_version
        now = time.monotonic()
        if self._lag.should_ask(version, in_force.version, in_force.targets_listed, now):
            self._fetch(message)

    def _fetch(self, message: PeerMessage) -> None:
        peer = message.sender.node
        try:
            docs = self._copy.fetch(message.admin)
            self._take(docs, peer)
        except (PeerError, ConfigError) as exc:
            log_event("catch_up_failed", level="WARNING", peer=peer, reason=str(exc)[:200])

    def _take(self, docs: PublishedDocs, peer: str) -> None:
        text = self._copy.text(docs)
        if text is not None:
            self._broker.tell(TextArrived(text, f"peer:{peer}"))
        if docs.targets and not self._in_force.targets_listed:
            self._broker.tell(TargetsListed(self._copy.targets(docs), from_peer=True))
            log_event("targets_from_peer", peer=peer, targets=len(docs.targets))
