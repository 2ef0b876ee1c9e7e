"""The configuration in force on one router: it only moves forward."""

from turmerictray.config.schema import Config, Limits


class ConfigState:
    """Holds the newest accepted configuration and refuses older ones.

    A router can meet an old text from a stale configuration service or from a slow peer; taking
    it would make a change revert, so only a strictly higher version is taken.
    """

    def __init__(self) -> None:
        self.current: Config | None = None

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self.current.version if self.current else 0

    def limits(self) -> Limits:
        """The limits in force; the schema's defaults before the first configuration."""
        return self.current.limits if self.current else Limits()

    def offer(self, cfg: Config) -> bool:
        """Take ``cfg`` if it is newer than the one in force.

        Parameters
        ----------
        cfg : Config
            An already checked configuration.

        Returns
        -------
        bool
            True when ``cfg`` is now in force.
        """
        if cfg.version <= self.version:
            return False
        self.current = cfg
        return True
