"""How long requests wait at the schedulers of a service's shards, as far as a router has heard."""

from typing import Protocol

from turmerictray.core.ids import ServiceName
from turmerictray.scheduling.shards import ShardId

_TELLING_S = 0.5
"""A scheduler's word on its backlog counts this long; half of all that waits is gone by then."""

_WORTH_S = 0.25
"""How much longer the wait for the first choice must be for the second to be taken: there a
prompt's shared parts are read again, as its scheduler does not know who keeps them elsewhere."""


class _Asked(Protocol):
    service: ServiceName
    shard: ShardId


class Backlogs:
    """Chooses between two shards by what waits there (power of two choices, Mitzenmacher, 1996).

    A part of a prompt that many ask for has all of them sent to one shard, whose engines can't read
    what the fleet's could.
    """

    def __init__(self) -> None:
        self._heard: dict[tuple[ServiceName, ShardId], tuple[float, float]] = {}

    def note(self, ask: _Asked, backlog_s: float, now: float) -> None:
        """A scheduler has told of its backlog with an answer."""
        self._heard[ask.service, ask.shard] = (backlog_s, now)

    def order(
        self, service: ServiceName, shards: tuple[ShardId, ...], now: float
    ) -> tuple[ShardId, ...]:
        """The shards in the order in which a request is to be put to them."""
        if len(shards) < 2:
            return shards
        first, second = (self._backlog_s(service, shard, now) for shard in shards[:2])
        return shards[1::-1] + shards[2:] if first > second + _WORTH_S else shards

    def _backlog_s(self, service: ServiceName, shard: ShardId, now: float) -> float:
        backlog_s, heard_at = self._heard.get((service, shard), (0.0, now))
        return backlog_s if now - heard_at < _TELLING_S else 0.0
