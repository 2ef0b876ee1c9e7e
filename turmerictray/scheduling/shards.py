"""Division of a service's engines into shards, one per scheduler.

A scheduler's work grows with its engines and their requests, and it runs on one processor. A
service with many engines therefore has several schedulers, each with the engines of one shard and
its own queue. All routers compute the same shards from the engines that the platform lists.
"""

import math
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

from turmerictray.core.ids import TargetId
from turmerictray.routing.rendezvous import rank, weighted_rank

_MAX_MEAN_ENGINES = 32
"""Upper limit of the average number of engines per shard. One scheduler on a small machine can
serve this many while the requests amount to twice the engines' capacity."""

_HASH_KEY = "shard"

_MAX_CACHED_KEYS = 10_000
"""Keys whose shards are cached; ranking 600 engines takes a millisecond."""


class ShardId(NamedTuple):
    """Shard ``index`` of the ``count`` shards of a service's engines."""

    index: int = 0
    count: int = 1


UNSHARDED = ShardId()
"""The only shard of a service whose engines are not divided."""


def shard_count(engines: int) -> int:
    """Return the number of shards, a power of two, for a number of engines.

    Routers whose lists differ by an engine nearly always compute the same number, and when it
    doubles, each shard is split in two.
    """
    return 2 ** max(0, math.ceil(math.log2(max(engines, 1) / _MAX_MEAN_ENGINES)))


@lru_cache(maxsize=4096)
def shard_index(target: TargetId, count: int) -> int:
    """Return the index of the shard to which an engine belongs."""
    return int(weighted_rank(_HASH_KEY, target, 1.0) * count) if count > 1 else 0


class ShardMap:
    """Immutable assignment of a service's engines to shards.

    Parameters
    ----------
    engines : iterable of TargetId
        The engines that accept requests.
    """

    def __init__(self, engines: Iterable[TargetId] = ()) -> None:
        self._engines = list(engines)
        self.count = shard_count(len(self._engines))
        self._shards = sorted({self.shard_of(target) for target in self._engines})
        self._shards_by_key: dict[str, tuple[ShardId, ...]] = {}

    def shards(self) -> list[ShardId]:
        """Return all shards that have engines."""
        return list(self._shards)

    def shard_of(self, target: TargetId) -> ShardId:
        """Return the shard of an engine."""
        return ShardId(shard_index(target, self.count), self.count)

    def preferred_shards(self, key: str) -> tuple[ShardId, ...]:
        """Return the two preferred shards for a prompt, in order of preference.

        The first is the shard of the engine that processes the prompt's shared parts first,
        computed with the same hash as :func:`turmerictray.routing.place.place_prompt`. Prompts
        therefore reach the engine that caches their parts however the engines are divided, and
        each shard receives prompts in proportion to its engines.
        """
        if self.count == 1:
            return (UNSHARDED,)
        found = self._shards_by_key.get(key)
        if found is None:
            if len(self._shards_by_key) >= _MAX_CACHED_KEYS:
                self._shards_by_key = {}
            found = self._shards_by_key[key] = self._rank_shards(key)
        return found

    def _rank_shards(self, key: str) -> tuple[ShardId, ...]:
        max_rank: dict[ShardId, int] = {}
        for target in self._engines:
            shard = self.shard_of(target)
            max_rank[shard] = max(max_rank.get(shard, 0), rank(key, target))
        return tuple(sorted(max_rank, key=max_rank.get, reverse=True)[:2])
