"""Typed identifiers.

Each id is a plain ``str`` at run time; the distinct types let a type checker catch a team id
passed where a target id belongs.
"""

from typing import NewType

TeamId = NewType("TeamId", str)
"""A team (tenant) whose requests share the pool, as named in the configuration."""

RequestId = NewType("RequestId", str)
"""A caller's request; the ``Idempotency-Key`` when the caller gives one."""

RequestDigest = NewType("RequestDigest", str)
"""Tells a request that comes again with another id; see :mod:`turmerictray.admission.digest`."""

TargetId = NewType("TargetId", str)
"""One incarnation of a target: from a start of a model engine or service worker to its end."""

TargetName = NewType("TargetName", str)
"""The name under which a target is listed; it may keep it when it starts again."""

NodeId = NewType("NodeId", str)
"""An entry instance (router) of the fleet, from its settings."""

ZoneId = NewType("ZoneId", str)
"""An availability zone, from a process's settings."""

ServiceName = NewType("ServiceName", str)
"""A service of the configuration: a model pool or a plain service."""
