"""Routing configurations that could not be put in force, and when they are tried again."""

from turmerictray.scheduling.broker_messages import TextArrived

_RETRY_PAUSE_S = 1.0
_MAX_RETRY_PAUSE_S = 30.0
"""Pauses before a text is tried again; each is twice as long as the one before."""


class FailedTexts:
    """The newest routing configuration whose application has failed.

    What made it fail may have been the state at that moment, so it is tried again. Until then the
    last good one stays in force, however often this one arrives.

    Attributes
    ----------
    version : int
        Its version; 0 for none.
    """

    def __init__(self) -> None:
        self.version = 0
        self._text: TextArrived | None = None
        self._pause_s = 0.0
        self._retry_at = 0.0

    def note_failure(self, text: TextArrived, now: float) -> None:
        """Record that the application of a text has failed."""
        is_repeated = text.config.version == self.version
        self._pause_s = (
            min(2 * self._pause_s, _MAX_RETRY_PAUSE_S) if is_repeated else _RETRY_PAUSE_S
        )
        self.version, self._text = text.config.version, text
        self._retry_at = now + self._pause_s

    def note_applied(self, version: int) -> None:
        """Forget a failed text that this one replaces."""
        if version >= self.version:
            self.version, self._text = 0, None

    def may_try(self, version: int, now: float) -> bool:
        """Return whether a version may be applied now."""
        return version != self.version or now >= self._retry_at

    def due(self, now: float) -> TextArrived | None:
        """Return the text if it is to be tried again now."""
        return self._text if self._text is not None and now >= self._retry_at else None
