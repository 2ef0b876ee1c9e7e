"""Typed identifiers.

Each id is a plain ``str`` at run time; with distinct types, a type checker finds, for example, a
team id that is passed as a target id.
"""

from typing import NewType

TeamId = NewType("TeamId", str)
"""A team (tenant) that shares the capacity, as named in the configuration."""

RequestId = NewType("RequestId", str)
"""A caller's request; the ``Idempotency-Key`` header if the caller sends one."""

RequestDigest = NewType("RequestDigest", str)
"""Identifies a request that is sent again with another id, by its content; see
:mod:`turmerictray.crashes.digest`."""

TargetId = NewType("TargetId", str)
"""One incarnation of a target: a run of a model engine or service worker from start to end."""

TargetName = NewType("TargetName", str)
"""The name under which a target is listed; a restarted target may keep it."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of a target's software. What two versions generate must not be joined in one stream."""

StreamKey = NewType("StreamKey", int)
"""Identifies a stream by its team, its service and the request that began it; 64 bits."""

NodeId = NewType("NodeId", str)
"""An entry instance (router), as named in its settings."""

ZoneId = NewType("ZoneId", str)
"""An availability zone, as named in the settings of a process."""

RegionId = NewType("RegionId", str)
"""A region, which contains several availability zones."""

ServiceName = NewType("ServiceName", str)
"""A service of the configuration: a model pool or a plain service."""
