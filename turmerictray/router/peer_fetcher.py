"""Actor that fetches documents from peers."""

from collections.abc import Callable
from dataclasses import dataclass

from turmerictray.core.actor import VitalActor
from turmerictray.membership.messages import PeerMessage
from turmerictray.router.published import StorePosition


@dataclass(frozen=True)
class Fetch:
    """A fetch of the documents of a peer.

    Attributes
    ----------
    message : PeerMessage
        The peer's message that gave rise to it.
    arrived_at : float
        When the message arrived, in monotonic seconds.
    with_text : bool
        Whether to fetch the routing configuration as well.
    since : StorePosition or None
        Without the configuration, fetch only the targets that have changed since.
    in_force : bool
        Whether it is about the older configuration that the peer has in force.
    """

    message: PeerMessage
    arrived_at: float
    with_text: bool
    since: StorePosition | None
    in_force: bool


class PeerFetcher(VitalActor):
    """Fetches on an actor of its own, as each may take its full timeout.

    Parameters
    ----------
    fetch : callable
        Fetches and applies documents.
    on_end : callable
        Called after each fetch, whether it succeeded or not.
    """

    uncounted_messages = (Fetch,)

    def __init__(self, fetch: Callable[[Fetch], None], on_end: Callable[[Fetch], None]) -> None:
        super().__init__()
        self._fetch = fetch
        self._on_end = on_end

    def handle(self, message: Fetch) -> None:
        try:
            self._fetch(message)
        finally:
            self._on_end(message)
