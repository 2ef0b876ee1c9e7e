"""A router of the deployment, as every router's settings name it."""

from dataclasses import dataclass

from turmerictray.core.ids import NodeId, ZoneId


@dataclass(frozen=True)
class Member:
    """One router, up or down."""

    node: NodeId
    zone: ZoneId
