"""The pools of all services: one for all targets of each, and one for each shard scheduled here."""

from collections.abc import Callable

from turmerictray.admission.pool import ServicePool
from turmerictray.core.ids import ServiceName
from turmerictray.routing.load import TargetPhase
from turmerictray.routing.pool_targets import ShardTargets
from turmerictray.scheduling.shards import WHOLE, ShardId, ShardMap, shard_index


class ServicePools:
    """Pools by service and shard; they are made when they are first asked for.

    What is believed of a target is shared by the pools that hold it, so work given by one counts in
    the others.

    Parameters
    ----------
    make_whole : callable
        Makes the pool of all targets of a service.
    """

    def __init__(self, make_whole: Callable[[ServiceName], ServicePool]) -> None:
        self._make_whole = make_whole
        self._wholes: dict[ServiceName, ServicePool] = {}
        self._shards: dict[ServiceName, dict[ShardId, ServicePool]] = {}

    def whole(self, service: ServiceName) -> ServicePool:
        """The pool of all targets of a service."""
        pool = self._wholes.get(service)
        if pool is None:
            pool = self._wholes[service] = self._make_whole(service)
        return pool

    def wholes(self) -> list[ServicePool]:
        """The pools of all targets, of all services."""
        return list(self._wholes.values())

    def of(self, service: ServiceName, shard: ShardId) -> ServicePool:
        """The pool of a shard."""
        whole = self.whole(service)
        if shard == WHOLE:
            return whole
        pools = self._shards.setdefault(service, {})
        pool = pools.get(shard)
        if pool is None:
            pool = pools[shard] = _shard_pool(whole, shard)
        return pool

    def of_service(self, service: ServiceName) -> list[ServicePool]:
        """All pools of a service."""
        return [self.whole(service), *self._shards.get(service, {}).values()]

    def all(self) -> list[ServicePool]:
        """All pools."""
        shards = [pool for pools in self._shards.values() for pool in pools.values()]
        return [*self._wholes.values(), *shards]

    def engines(self) -> list[ServicePool]:
        """The pools of all targets of the services that have engines."""
        return [pool for pool in self._wholes.values() if pool.targets.spec.engine is not None]

    def of_engines(self) -> list[tuple[ShardId, ServicePool]]:
        """The pools of the services that have engines, those of shards included."""
        found = []
        for whole in self.engines():
            found.append((WHOLE, whole))
            found.extend(self._shards.get(whole.name, {}).items())
        return found

    def scheduled(self) -> dict[ServiceName, dict[ShardId, ServicePool]]:
        """The shards that are scheduled here, by service."""
        return {service: pools for service, pools in self._shards.items() if pools}

    def divide(self) -> dict[ServiceName, ShardMap]:
        """Divide the engines that take requests now into shards."""
        maps = {pool.name: ShardMap(_ready(pool)) for pool in self.engines()}
        for service, pools in self._shards.items():
            count = maps[service].count if service in maps else 1
            # What waits in a division of before goes on until it is sent or given up.
            self._shards[service] = {
                shard: pool
                for shard, pool in pools.items()
                if shard.count == count or len(pool.queue)
            }
        return maps


def _ready(pool: ServicePool) -> list:
    loads = pool.targets.loads.items()
    return [target for target, load in loads if load.info.phase is TargetPhase.READY]


def _shard_pool(whole: ServicePool, shard: ShardId) -> ServicePool:
    targets = ShardTargets(
        whole.targets, lambda target: shard_index(target, shard.count) == shard.index
    )
    return ServicePool(
        whole.name,
        whole.zone,
        whole.ledger,
        whole.budget,
        targets=targets,
        is_suspect=whole.is_suspect,
    )
