"""Targets of one service, as known from the instance list, peers and this router's own requests."""

import statistics
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace

from turmerictray.config.routes import ServiceSpec
from turmerictray.core.ids import NodeId, SoftwareVersion, TargetId, ZoneId
from turmerictray.routing.load import (
    PeerLoad,
    PendingPrefill,
    TargetInfo,
    TargetLoad,
    TargetPhase,
    UsualRatio,
)
from turmerictray.routing.model import PoolModel
from turmerictray.routing.prefix_cache import PrefixCacheModel
from turmerictray.routing.prompt import UNSHARED_PART, PartId, Prompt, PromptPart
from turmerictray.routing.streams import RecentVersions
from turmerictray.routing.zone_reachability import ZoneReachability

_CACHE_MEMORY_FRACTION = 0.95
"""Fraction of an engine's memory that holds prompts, cached ones and those of running requests;
generated tokens take the rest."""

_MIN_REPORTED_TOKENS = 1000
"""Parts of an engine's listing shorter than this are not sent to peers: an engine reads them again
in 20 to 30 ms, and they make up most of the entries."""

_MAX_REPORTED_READS = 16
"""Maximum number of reads of shared parts in one message to peers, newest first, which bounds its
size. At the rate of a busy router, about ten per second, none is left out."""

_MAX_READS_FOR_SCHEDULERS = 512
"""Maximum number of reads in one report to other schedulers, which bounds its size."""

_SPARE_WINDOW_FRACTION = 0.9
"""Fraction of the window that is not used to cover the turnaround. The rest covers the deviation of
reading times from the model, for which an engine would idle."""

_SERVING_PHASES = (TargetPhase.READY, TargetPhase.EVACUATED)
"""Phases between which a target changes with the evacuation of its zone."""


_FIRST_LIST_S = 0.5
"""Time in which the first list of targets is added, in seconds."""


class PoolTargets:
    """Targets by id, with the model of their answer times.

    Attributes
    ----------
    loads : dict of TargetId to TargetLoad
    model : PoolModel
    revision : int
        Increases when a target is added or removed.
    version_hold_s : float
        Seconds after its first target has joined others for which a software version begins no
        streams: the time in which a router either learns of it, or notices that its list of
        targets may be old.
    """

    def __init__(self, spec: ServiceSpec) -> None:
        self.spec = spec
        self.model = PoolModel()
        self.loads: dict[TargetId, TargetLoad] = {}
        self.revision = 0
        self.version_hold_s = 0.0
        self._estimates_changed = False
        self._evacuated_zones: frozenset[ZoneId] = frozenset()
        self._reported_cold_s: dict[TargetId, float] = {}
        self._versions = RecentVersions()
        self._first_added_at: float | None = None
        self._joined_at: dict[SoftwareVersion, float] = {}
        self._zone_reachability = ZoneReachability()
        self._usual_ratio = UsualRatio()
        self._unreported_reads: deque[tuple[TargetId, tuple[PromptPart, ...]]] = deque(
            maxlen=_MAX_REPORTED_READS
        )
        self._reads_for_schedulers: deque[tuple[TargetId, tuple[PromptPart, ...]]] = deque(
            maxlen=_MAX_READS_FOR_SCHEDULERS
        )
        self._unshared_tokens: Counter[TargetId] = Counter()
        self._unreported_listed: list[tuple[TargetId, tuple[PromptPart, ...]]] = []

    def add_or_update(self, info: TargetInfo, now: float = 0.0) -> None:
        """Add a target or update its entry; a target that was leaving stays in that phase."""
        before = self.loads.get(info.id)
        old_version = before.info.version if before is not None else None
        self._update_entry(info)
        load = self.loads[info.id]
        if old_version != load.info.version:
            if self._versions.add(load.info.version):
                self._note_joined(load.info.version, now)
            if old_version is not None:
                self._versions.remove(old_version, now)
        if info.cold_s != self._reported_cold_s.get(info.id, 0.0):
            self._reported_cold_s[info.id] = info.cold_s
            load.note_cold(info.cold_s, now)

    def _note_joined(self, version: SoftwareVersion, now: float) -> None:
        """Record when the first target of a version came, unless it is from the first list."""
        if self._first_added_at is None:
            self._first_added_at = now
        if now - self._first_added_at > _FIRST_LIST_S:
            self._joined_at[version] = now

    def exclude_joining(self, loads: list[TargetLoad], now: float) -> list[TargetLoad]:
        """Return the targets that may begin streams.

        A version that has just joined others begins none until all routers can know of it. One that
        doesn't would let such a stream go on at the version that it takes for the only one.
        """
        if not self._joined_at or len(self._versions.serving()) == 1:
            return loads
        self._joined_at = {
            v: at for v, at in self._joined_at.items() if now - at < self.version_hold_s
        }
        return [load for load in loads if load.info.version not in self._joined_at]

    def _update_entry(self, info: TargetInfo) -> None:
        info = self._with_evacuation(info)
        load = self.loads.get(info.id)
        if load is None:
            memory = self.spec.engine.memory_tokens if self.spec.engine else 0
            self.loads[info.id] = TargetLoad(
                info, PrefixCacheModel(int(memory * _CACHE_MEMORY_FRACTION))
            )
            self.revision += 1
            self._estimates_changed = True
        elif load.info.phase is not TargetPhase.LEAVING or info.phase not in _SERVING_PHASES:
            load.info = info

    def set_evacuated(self, zones: frozenset[ZoneId], now: float = 0.0) -> list[TargetInfo]:
        """Set the evacuated availability zones; return the targets whose phase changes.

        Targets of a zone that was taken back count as cold until their entries say otherwise.
        """
        self._evacuated_zones = zones
        changed = []
        for load in self.loads.values():
            info = self._with_evacuation(load.info)
            if info is not load.info:
                load.info = info
                changed.append(info)
                if info.phase is TargetPhase.READY and self.spec.cold.duration_s:
                    load.note_cold(self.spec.cold.duration_s, now)
        return changed

    def _with_evacuation(self, info: TargetInfo) -> TargetInfo:
        """Return the entry with the phase that follows from the evacuation of its zone."""
        if info.phase not in _SERVING_PHASES:
            return info
        is_evacuated = info.zone in self._evacuated_zones
        phase = TargetPhase.EVACUATED if is_evacuated else TargetPhase.READY
        return info if info.phase is phase else replace(info, phase=phase)

    @property
    def service_loads(self) -> dict[TargetId, TargetLoad]:
        """Load entries of all targets of the service, by id."""
        return self.loads

    def recent_versions(self, now: float) -> set[SoftwareVersion]:
        """Return the software versions that may have begun a stream that is still awaited."""
        return self._versions.current(now)

    def gone_versions(self, now: float) -> dict[SoftwareVersion, float]:
        """Return the software versions whose last target has gone recently, and when."""
        return self._versions.gone(now)

    def note_gone_version(self, version: SoftwareVersion, gone_at: float) -> None:
        """Record a software version whose last target has gone, as another router knows."""
        self._versions.note_gone(version, gone_at)

    def remove(self, target: TargetId, now: float = 0.0) -> None:
        """Remove a target that is gone; requests in progress there end by themselves."""
        load = self.loads.pop(target, None)
        if load is not None:
            self._versions.remove(load.info.version, now)
        self._reported_cold_s.pop(target, None)
        self.revision += 1

    def mark_leaving(self, target: TargetId) -> None:
        """Mark a target as leaving, as reported by its own answer before the instance list."""
        load = self.loads.get(target)
        if load is not None and load.info.phase in _SERVING_PHASES:
            load.info = replace(load.info, phase=TargetPhase.LEAVING)

    def set_spec(self, spec: ServiceSpec, tokens_per_s: float = 0.0) -> None:
        """Apply a service's new configuration.

        Parameters
        ----------
        tokens_per_s : float
            Configured read rate of all engines together; if given, it is the model's initial value.
        """
        if self.spec.engine is None and spec.engine is not None and tokens_per_s and self.loads:
            self.model = PoolModel(tokens_per_s / len(self.loads))
        self.spec = spec
        if spec.engine is not None:
            self.model.fetch_per_s = spec.engine.fetch_tokens_per_s
            for load in self.loads.values():
                load.prefix_cache.memory_tokens = int(
                    spec.engine.memory_tokens * _CACHE_MEMORY_FRACTION
                )

    def record_peer_read(self, target: TargetId, parts: list[PromptPart]) -> None:
        """Record that a peer has sent ``parts`` to a target, which caches them from now on."""
        if target in self.loads:
            self.loads[target].prefix_cache.note_parts(parts)

    def update_peer_load(self, node: NodeId, peer_loads: dict[TargetId, PeerLoad]) -> None:
        """Replace a peer's reported loads; it has none on targets missing in ``peer_loads``."""
        for target, load in self.loads.items():
            load.update_peer_load(node, peer_loads.get(target))

    def note_read(self, target: TargetId, prompt: Prompt) -> None:
        """Record that this router has sent a prompt to a target, for the next reports to peers."""
        self._unreported_reads.append((target, prompt.shared))
        self._reads_for_schedulers.append((target, prompt.shared))
        self._unshared_tokens[target] += prompt.unshared_tokens

    def take_reads_for_schedulers(self) -> list[tuple[TargetId, PartId, int]]:
        """Return and clear the reads to be reported to other schedulers: target, part, tokens.

        The unshared parts of a target are added up; without them, other schedulers would believe
        that it still caches what these have evicted.
        """
        reads = {
            (target, part.part_id): part.tokens
            for target, parts in self._reads_for_schedulers
            for part in parts
        }
        reads |= {(target, UNSHARED_PART): n for target, n in self._unshared_tokens.items()}
        self._reads_for_schedulers.clear()
        self._unshared_tokens.clear()
        return [(target, part_id, tokens) for (target, part_id), tokens in reads.items()]

    def record_cached(
        self, target: TargetId, parts: list[PromptPart], announce_to_peers: bool
    ) -> None:
        """Record cached ``parts`` of a target, from its own listing or a peer's report."""
        load = self.loads.get(target)
        if load is None:
            return
        load.prefix_cache.note_older(parts)
        if announce_to_peers:
            long_parts = (part for part in parts if part.tokens >= _MIN_REPORTED_TOKENS)
            self._unreported_listed.append((target, tuple(long_parts)))

    def take_unreported_reads(self) -> list[tuple[TargetId, tuple[PromptPart, ...]]]:
        """Return and clear the reads and listed parts to be sent to peers."""
        reads = [*self._unreported_listed, *self._unreported_reads]
        self._unreported_listed.clear()
        self._unreported_reads.clear()
        return reads

    def origin_of(self, target: TargetId, call_id: int) -> NodeId | None:
        """Return the router that sends a call, empty for this one; None if it is not known."""
        load = self.loads.get(target)
        call = None if load is None else load.calls.get(call_id)
        return None if call is None else call.origin

    def record_first_event(
        self, target: TargetId, call_id: int, took_s: float, now: float | None = None
    ) -> None:
        """Record that an answer's first event arrived ``took_s`` after its request was sent.

        Parameters
        ----------
        now : float or None
            When word of it arrived here; None if that is not to be learned from.
        """
        load = self.loads.get(target)
        if load is None:
            return
        self.record_reached(target)
        self._estimates_changed = True
        # What is expected of an engine is learned by the model, and so already what is usual.
        usual = self._usual_ratio if self.spec.engine is None else None
        read = load.record_first_event(call_id, took_s, usual)
        if read is not None and self.spec.engine is not None:
            if now is not None:
                self.model.learn_turnaround(now - read.sent_at - took_s)
            load.mark_earlier_as_read(read)
            self.model.learn(read.tokens + read.ahead_tokens, took_s / load.slowness)

    def update_estimates(self, window_s: float) -> None:
        """Update each target's slowness from the median lateness; to be called periodically.

        Parameters
        ----------
        window_s : float
            Seconds of reading that a target may have queued when the next request is sent.

        Notes
        -----
        At each first event it would cost a scheduler the product of its engines and their answers.
        """
        if not self.loads or not self._estimates_changed:
            return
        self._estimates_changed = False
        usual = statistics.median(load.log_lateness for load in self.loads.values())
        for load in self.loads.values():
            load.start_delay_s = self.model.first_s
            load.read_lead_s = self.model.turnaround_s - _SPARE_WINDOW_FRACTION * window_s
            load.update_slowness(usual)

    def expire_overdue_prefills(self, now: float) -> list[tuple[TargetId, PendingPrefill]]:
        """Stop waiting for first events that are long overdue, and return the affected requests."""
        return [
            (t, read)
            for t, load in self.loads.items()
            if load.reads
            for read in load.expire_overdue_prefills(now)
        ]

    def record_unreachable(self, target: TargetId, now: float) -> None:
        """Record that no connection to a target could be opened.

        If its zone turns out to be unreachable, the other targets there are avoided as well. This
        one is tried again first, and shows when the zone can be reached.
        """
        load = self.loads[target]
        load.record_unreachable(now)
        load.zone_avoid_until = 0.0
        zone = load.info.zone
        self._zone_reachability.record_unreachable(target, zone, now)
        avoid_until = self._zone_reachability.avoid_until(zone)
        for other in self._loads_in(zone) if avoid_until else ():
            if other is not load:
                other.zone_avoid_until = avoid_until

    def record_reached(self, target: TargetId) -> None:
        """Record that a target has answered, which shows that its zone can be reached."""
        zone = self.loads[target].info.zone
        if self._zone_reachability.record_answer(zone):
            for load in self._loads_in(zone):
                load.zone_avoid_until = 0.0

    def _loads_in(self, zone: ZoneId) -> list[TargetLoad]:
        return [load for load in self.loads.values() if load.info.zone == zone]

    def describe(self, now: float) -> dict[str, object]:
        """Return the state of the targets, for operators."""
        return {target: _describe(load, self.model, now) for target, load in self.loads.items()}


class ShardTargets:
    """Targets of one shard of a service, sharing their load entries with the whole service.

    Parameters
    ----------
    whole : PoolTargets
    is_member : callable
        Returns whether a target belongs to the shard.
    """

    def __init__(self, whole: PoolTargets, is_member: Callable[[TargetId], bool]) -> None:
        self._whole = whole
        self._is_member = is_member
        self._loads: dict[TargetId, TargetLoad] = {}
        self._revision = -1

    @property
    def spec(self) -> ServiceSpec:
        """Specification of the service."""
        return self._whole.spec

    @property
    def model(self) -> PoolModel:
        """Model of the whole service's answer times."""
        return self._whole.model

    @property
    def loads(self) -> dict[TargetId, TargetLoad]:
        """Load entries of the shard's targets, by id."""
        if self._revision != self._whole.revision:
            self._revision = self._whole.revision
            loads = self._whole.loads.items()
            self._loads = {target: load for target, load in loads if self._is_member(target)}
        return self._loads

    @property
    def service_loads(self) -> dict[TargetId, TargetLoad]:
        """Load entries of all targets of the service, by id."""
        return self._whole.loads

    def exclude_joining(self, loads: list[TargetLoad], now: float) -> list[TargetLoad]:
        """Return the targets that may begin streams."""
        return self._whole.exclude_joining(loads, now)

    def record_unreachable(self, target: TargetId, now: float) -> None:
        """Record that no connection to a target could be opened."""
        self._whole.record_unreachable(target, now)

    def record_reached(self, target: TargetId) -> None:
        """Record that a target has answered."""
        self._whole.record_reached(target)

    def note_read(self, target: TargetId, prompt: Prompt) -> None:
        """Record that this router has sent a prompt to a target, for the next reports to peers."""
        self._whole.note_read(target, prompt)


def _describe(load: TargetLoad, model: PoolModel, now: float) -> dict[str, object]:
    return {
        "phase": load.info.phase.value,
        "running": load.running,
        "running_in_fleet": load.running_in_fleet(now),
        "unread_tokens": load.unread_tokens(now, model.read_per_s),
        "slowness": round(load.slowness, 2),
        "failure_rate": round(load.current_failure_rate(now), 3),
        "avoided": load.is_avoided(now),
        "cold_s": round(max(0.0, load.cold_until - now), 2) if load.is_cold(now) else 0.0,
    }
