"""The target pools of all services: a pool of all targets, and one per shard scheduled here."""

from collections.abc import Callable

from turmerictray.admission.pool import ServicePool
from turmerictray.core.ids import ServiceName
from turmerictray.routing.load import TargetPhase
from turmerictray.routing.pool_targets import ShardTargets
from turmerictray.scheduling.shards import UNSHARDED, ShardId, ShardMap, shard_index


class ServicePools:
    """Pools by service and shard, created on first use.

    All pools that contain a target share its load state, so work assigned by one pool counts in the
    others.

    Parameters
    ----------
    make_pool : callable
        Creates the pool of all targets of a service.
    """

    def __init__(self, make_pool: Callable[[ServiceName], ServicePool]) -> None:
        self._make_pool = make_pool
        self._unsharded: dict[ServiceName, ServicePool] = {}
        self._shards: dict[ServiceName, dict[ShardId, ServicePool]] = {}

    def unsharded(self, service: ServiceName) -> ServicePool:
        """Return the pool of all targets of a service."""
        pool = self._unsharded.get(service)
        if pool is None:
            pool = self._unsharded[service] = self._make_pool(service)
        return pool

    def all_unsharded(self) -> list[ServicePool]:
        """Return the all-target pools of all services."""
        return list(self._unsharded.values())

    def for_shard(self, service: ServiceName, shard: ShardId) -> ServicePool:
        """Return the pool of a shard."""
        unsharded = self.unsharded(service)
        if shard == UNSHARDED:
            return unsharded
        pools = self._shards.setdefault(service, {})
        pool = pools.get(shard)
        if pool is None:
            pool = pools[shard] = _shard_pool(unsharded, shard)
        return pool

    def for_service(self, service: ServiceName) -> list[ServicePool]:
        """Return all pools of a service, including those of shards."""
        return [self.unsharded(service), *self._shards.get(service, {}).values()]

    def all(self) -> list[ServicePool]:
        """Return the pools of all services, including those of shards."""
        shards = [pool for pools in self._shards.values() for pool in pools.values()]
        return [*self._unsharded.values(), *shards]

    def unsharded_engine_pools(self) -> list[ServicePool]:
        """Return the all-target pools of services that have engines."""
        return [pool for pool in self._unsharded.values() if pool.targets.spec.engine is not None]

    def engine_pools(self) -> list[tuple[ShardId, ServicePool]]:
        """Return all pools of services that have engines, including those of shards."""
        pools = []
        for unsharded in self.unsharded_engine_pools():
            pools.append((UNSHARDED, unsharded))
            pools.extend(self._shards.get(unsharded.name, {}).items())
        return pools

    def shard_pools(self) -> dict[ServiceName, dict[ShardId, ServicePool]]:
        """Return the pools of the shards scheduled here, by service."""
        return {service: pools for service, pools in self._shards.items() if pools}

    def update_shards(self) -> dict[ServiceName, ShardMap]:
        """Divide each service's ready engines into shards and drop pools of outdated shards."""
        maps = {pool.name: ShardMap(_ready_targets(pool)) for pool in self.unsharded_engine_pools()}
        for service, pools in self._shards.items():
            count = maps[service].count if service in maps else 1
            # Pools of a former division stay until their queued requests are sent or expire.
            self._shards[service] = {
                shard: pool
                for shard, pool in pools.items()
                if shard.count == count or len(pool.queue)
            }
        return maps


def _ready_targets(pool: ServicePool) -> list:
    loads = pool.targets.loads.items()
    return [target for target, load in loads if load.info.phase is TargetPhase.READY]


def _shard_pool(unsharded: ServicePool, shard: ShardId) -> ServicePool:
    targets = ShardTargets(
        unsharded.targets, lambda target: shard_index(target, shard.count) == shard.index
    )
    return ServicePool(
        unsharded.name,
        unsharded.zone,
        unsharded.ledger,
        unsharded.budget,
        targets=targets,
        crashes=unsharded.crashes,
        cold_targets=unsharded.cold_targets,
        notices=unsharded.notices,
    )
