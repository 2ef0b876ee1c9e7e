"""Notices that a server does not accept the connections that wait for it."""

_STALLED_S = 1.0
"""Callers allow a new connection a second."""


class AcceptWatch:
    """Tells a server that is late from one that takes no connection at all.

    A router whose processor is used up still answers whether it is ready, on an address of its own,
    so the balancer goes on sending callers whose connections nobody takes. Saying that it is not
    ready brings them to routers that do; those that it has already taken are served on.
    """

    def __init__(self) -> None:
        self._accepted = 0
        self._seen = 0
        self._waiting_since: float | None = None

    def note_accepted(self) -> None:
        """A connection has been accepted."""
        self._accepted += 1

    def look(self, is_waiting: bool, now: float) -> None:
        """Take whether a connection waits to be accepted now."""
        if not is_waiting or self._accepted != self._seen:
            self._seen = self._accepted
            self._waiting_since = now if is_waiting else None
        elif self._waiting_since is None:
            self._waiting_since = now

    def is_stalled(self, now: float) -> bool:
        """Whether connections have waited for longer than callers do, and none was accepted."""
        return self._waiting_since is not None and now - self._waiting_since > _STALLED_S
