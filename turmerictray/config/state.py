"""The active configuration of a router, whose version never decreases."""

from turmerictray.config.schema import Config, Limits


class ConfigState:
    """Holds the newest accepted configuration and rejects older ones.

    A router can receive an old configuration from a stale configuration service or from a slow
    peer. Accepting it would revert a change, so only strictly higher versions are accepted.

    Attributes
    ----------
    current : Config or None
        The active configuration; None before the first.
    """

    def __init__(self) -> None:
        self.current: Config | None = None

    @property
    def version(self) -> int:
        """Version of the active configuration, 0 before the first."""
        return self.current.version if self.current else 0

    def limits(self) -> Limits:
        """Return the active limits; the defaults of the schema before the first configuration."""
        return self.current.limits if self.current else Limits()

    def offer(self, cfg: Config) -> bool:
        """Activate ``cfg`` if it is newer than the active configuration.

        Parameters
        ----------
        cfg : Config
            A validated configuration.

        Returns
        -------
        bool
            True if ``cfg`` is now active.
        """
        if cfg.version <= self.version:
            return False
        self.current = cfg
        return True
