"""The active configuration, shared read-only with threads other than the dispatcher's."""

from turmerictray.config.routes import FrontLimits
from turmerictray.config.schema import Config, Limits


class ConfigSnapshot:
    """Holds the active configuration.

    Only the dispatcher replaces ``current``. A ``Config`` is immutable, so readers see either the
    old or the new configuration, never a mixture.

    Attributes
    ----------
    current : Config or None
        The active configuration; None before the first.
    starting : bool
        Whether the router does not serve callers yet, because ``current`` may be outdated.
    """

    def __init__(self) -> None:
        self.current: Config | None = None
        self.starting = False

    def limits(self) -> Limits:
        """Return the active limits; the defaults of the schema before the first configuration."""
        return self.current.limits if self.current is not None else Limits()

    def front_limits(self) -> FrontLimits:
        """Return the active limits on what a caller may send."""
        limits = self.limits()
        return FrontLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )
