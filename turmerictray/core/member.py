"""The routers of a deployment, as listed in the settings of every router."""

from dataclasses import dataclass

from turmerictray.core.ids import NodeId, ZoneId


@dataclass(frozen=True)
class Member:
    """A router of the deployment, whether it is running or not."""

    node: NodeId
    zone: ZoneId
