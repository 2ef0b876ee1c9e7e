"""The configuration in force, shared read-only with threads outside the dispatcher."""

from turmerictray.config.routes import FrontLimits
from turmerictray.config.schema import Config, Limits


class ConfigSnapshot:
    """Holds the configuration in force.

    Only the dispatcher replaces ``current``; a ``Config`` is frozen, so readers see either the
    old or the new one whole.
    """

    def __init__(self) -> None:
        self.current: Config | None = None

    def limits(self) -> Limits:
        """The limits in force; the schema's defaults before the first configuration."""
        return self.current.limits if self.current is not None else Limits()

    def front_limits(self) -> FrontLimits:
        """Bounds on what a caller may send."""
        limits = self.limits()
        return FrontLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )
