"""Backlogs that schedulers have reported, and the choice between two shards by them."""

from typing import Protocol

from turmerictray.core.ids import ServiceName
from turmerictray.scheduling.shards import ShardId

_MAX_AGE_S = 0.5
"""Lifetime of a reported backlog; half of the pending requests have been sent by then."""

_SWITCH_THRESHOLD_S = 0.25
"""Difference in backlog from which the second shard is preferred. The second shard has to process
the prompt's shared parts again, since its scheduler does not know which engines of other shards
cache them."""


class _PlacementRequest(Protocol):
    service: ServiceName
    shard: ShardId


class Backlogs:
    """Chooses between two shards by their backlogs (power of two choices, Mitzenmacher, 1996).

    All requests that share a popular prompt part have the same first shard. Without a second choice
    they could overload its engines while those of other shards are idle.
    """

    def __init__(self) -> None:
        self._reports: dict[tuple[ServiceName, ShardId], tuple[float, float]] = {}

    def record(self, request: _PlacementRequest, backlog_s: float, now: float) -> None:
        """Record the backlog that a scheduler reported in its answer to ``request``."""
        self._reports[request.service, request.shard] = (backlog_s, now)

    def rank_shards(
        self, service: ServiceName, shards: tuple[ShardId, ...], now: float
    ) -> tuple[ShardId, ...]:
        """Return the shards in the order in which a request should try them."""
        if len(shards) < 2:
            return shards
        first, second = (self._backlog_s(service, shard, now) for shard in shards[:2])
        return shards[1::-1] + shards[2:] if first > second + _SWITCH_THRESHOLD_S else shards

    def _backlog_s(self, service: ServiceName, shard: ShardId, now: float) -> float:
        backlog_s, received_at = self._reports.get((service, shard), (0.0, now))
        return backlog_s if now - received_at < _MAX_AGE_S else 0.0
