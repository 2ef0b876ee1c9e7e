"""The targets of one service, as a router knows them from the list, its peers and its own sends."""

import statistics
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from turmerictray.config.routes import ServiceSpec
from turmerictray.core.ids import NodeId, TargetId
from turmerictray.routing.kept import KeptParts
from turmerictray.routing.load import OpenRead, PeerLoad, TargetInfo, TargetLoad, TargetPhase
from turmerictray.routing.model import PoolModel
from turmerictray.routing.prompt import Part

_KEPT_PART = 0.85
"""Part of an engine's memory that holds kept parts; running requests take the rest."""

_LEAST_TOLD_TOKENS = 1000
"""Parts of an engine's listing that are shorter are not told to peers: an engine reads them again
in 20 to 30 ms, and they are most of the entries."""

_READS_TOLD = 16
"""Reads of shared parts that peers are told of at a time, the newest; bounds a message's size. At
the pace of a busy router, some ten a second, none is left out."""


class PoolTargets:
    """Targets by id, with the model of their speed.

    Attributes
    ----------
    loads : dict of TargetId to TargetLoad
    model : PoolModel
    revision : int
        Grows when a target comes or goes.
    """

    def __init__(self, spec: ServiceSpec) -> None:
        self.spec = spec
        self.model = PoolModel()
        self.loads: dict[TargetId, TargetLoad] = {}
        self.revision = 0
        self._reads: deque[tuple[TargetId, tuple[Part, ...]]] = deque(maxlen=_READS_TOLD)
        self._listed: list[tuple[TargetId, tuple[Part, ...]]] = []

    def take(self, info: TargetInfo) -> None:
        """Take a target's newest entry; a target that was leaving stays so."""
        load = self.loads.get(info.id)
        if load is None:
            memory = self.spec.engine.memory_tokens if self.spec.engine else 0
            self.loads[info.id] = TargetLoad(info, KeptParts(int(memory * _KEPT_PART)))
            self.revision += 1
        elif load.info.phase is not TargetPhase.LEAVING or info.phase is not TargetPhase.READY:
            load.info = info

    def drop(self, target: TargetId) -> None:
        """Forget a target that is gone; requests in progress there end by themselves."""
        self.loads.pop(target, None)
        self.revision += 1

    def mark_leaving(self, target: TargetId) -> None:
        """A target's own answer says that it is leaving, before the list does."""
        load = self.loads.get(target)
        if load is not None and load.info.phase is TargetPhase.READY:
            load.info = replace(load.info, phase=TargetPhase.LEAVING)

    def set_spec(self, spec: ServiceSpec, tokens_per_s: float = 0.0) -> None:
        """Take what the text says of the service.

        Parameters
        ----------
        tokens_per_s : float
            What the engines together produce; where the text says so, the model starts from it.
        """
        if self.spec.engine is None and spec.engine is not None and tokens_per_s and self.loads:
            self.model = PoolModel(tokens_per_s / len(self.loads))
        self.spec = spec
        if spec.engine is not None:
            self.model.fetch_per_s = spec.engine.fetch_per_s
            for load in self.loads.values():
                load.kept.memory_tokens = int(spec.engine.memory_tokens * _KEPT_PART)

    def note_peer_read(self, target: TargetId, parts: list[Part]) -> None:
        """A peer has sent ``parts`` to a target, which keeps them from now on."""
        if target in self.loads:
            self.loads[target].kept.note_parts(parts)

    def hear_peer(self, node: NodeId, work: dict[TargetId, PeerLoad]) -> None:
        """Take a peer's word on its own work; it has none on targets that it does not name."""
        for target, load in self.loads.items():
            load.hear_peer(node, work.get(target))

    def note_read(self, target: TargetId, parts: tuple[Part, ...]) -> None:
        """This router has sent ``parts`` to a target; peers are to be told."""
        self._reads.append((target, parts))

    def note_listed(self, target: TargetId, parts: list[Part], tell_peers: bool) -> None:
        """A target keeps ``parts``, by its own listing or by what a peer knows of it."""
        load = self.loads.get(target)
        if load is None:
            return
        load.kept.note_older(parts)
        if tell_peers:
            long_parts = (part for part in parts if part.tokens >= _LEAST_TOLD_TOKENS)
            self._listed.append((target, tuple(long_parts)))

    def take_reads(self) -> list[tuple[TargetId, tuple[Part, ...]]]:
        """What peers are to be told of since this was asked last."""
        reads = [*self._listed, *self._reads]
        self._listed.clear()
        self._reads.clear()
        return reads

    def first_event(self, target: TargetId, call_id: int, took_s: float) -> None:
        """The first event of an answer came ``took_s`` after the request was sent."""
        load = self.loads.get(target)
        if load is None:
            return
        read = load.first_event(call_id, took_s)
        if read is not None and self.spec.engine is not None:
            load.read_up_to(read)
            self.model.learn(read.tokens + read.ahead_tokens, took_s / load.slowness)

    def judge_slowness(self) -> None:
        """Compare each target's lateness with what is usual; to be done now and then.

        Done at each first event, it costs a scheduler the product of its engines and their answers.
        """
        if not self.loads:
            return
        usual = statistics.median(each.log_lateness for each in self.loads.values())
        for each in self.loads.values():
            each.judge_slowness(usual)

    def give_up_reads(self, now: float) -> list[tuple[TargetId, OpenRead]]:
        """Stop waiting for first events that are long overdue, and tell which."""
        return [(t, read) for t, load in self.loads.items() for read in load.give_up_reads(now)]

    def describe(self, now: float) -> dict[str, object]:
        """The targets' state, for operators."""
        return {target: _describe(load, self.model, now) for target, load in self.loads.items()}


class ShardTargets:
    """The targets of one shard of a service; what is believed of each is shared with the whole.

    Parameters
    ----------
    whole : PoolTargets
    is_member : callable
        Whether a target belongs to the shard.
    """

    def __init__(self, whole: PoolTargets, is_member: Callable[[TargetId], bool]) -> None:
        self._whole = whole
        self._is_member = is_member
        self._loads: dict[TargetId, TargetLoad] = {}
        self._revision = -1

    @property
    def spec(self) -> ServiceSpec:
        """The service's specification."""
        return self._whole.spec

    @property
    def model(self) -> PoolModel:
        """The model of the whole service's speed."""
        return self._whole.model

    @property
    def loads(self) -> dict[TargetId, TargetLoad]:
        """The shard's targets by id."""
        if self._revision != self._whole.revision:
            self._revision = self._whole.revision
            loads = self._whole.loads.items()
            self._loads = {target: load for target, load in loads if self._is_member(target)}
        return self._loads

    def note_read(self, target: TargetId, parts: tuple[Part, ...]) -> None:
        """This router has sent ``parts`` to a target; peers are to be told."""
        self._whole.note_read(target, parts)


def _describe(load: TargetLoad, model: PoolModel, now: float) -> dict[str, object]:
    return {
        "phase": load.info.phase.value,
        "running": load.running,
        "running_in_fleet": load.running_in_fleet(now),
        "unread_tokens": load.unread_tokens(now, model.read_per_s),
        "slowness": round(load.slowness, 2),
        "failure_rate": round(load.failures(now), 3),
        "avoided": load.avoided(now),
    }
