"""The placer actor: keeps the engines this router is responsible for at the wanted models.

The fencing number of an order is the configuration's version: the one number that only grows,
is the same on every router, and needs no shared writes. An engine that checks it never goes back
to an older version's models, whoever orders. An engine that ignores it is only given orders by a
router whose knowledge the configuration service confirmed in the last seconds.
"""

import time
from functools import singledispatchmethod

import msgspec

from turmerictray.config.schema import Config, Target
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core.actor import BackgroundActor
from turmerictray.core.errors import EngineError, StaleFence
from turmerictray.core.ids import NodeId
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.core.member import Member
from turmerictray.core.timer import Tick
from turmerictray.placement.engine import EngineClient, ModelOrder
from turmerictray.placement.issuer import issuer_of
from turmerictray.router.messages import ConfigConfirmed, Listing, PeerSummary
from turmerictray.routing.target import TargetState

FRESH_S = 5.0
"""How long after the configuration service was asked its answer still counts as the newest."""


class Placer(BackgroundActor):
    """Compares engines with the configuration on each tick and orders what differs.

    Parameters
    ----------
    node : NodeId
    members : list of Member
        Every router of the deployment, this one included.
    snapshot : ConfigSnapshot
        The configuration in force.
    client : EngineClient
    peer_timeout_s : float
        A peer silent this long gives no orders.
    """

    def __init__(
        self,
        node: NodeId,
        members: list[Member],
        snapshot: ConfigSnapshot,
        client: EngineClient,
        peer_timeout_s: float,
    ) -> None:
        super().__init__()
        self.node = node
        self.members = members
        self.snapshot = snapshot
        self.client = client
        self.peer_timeout_s = peer_timeout_s
        self.started_at = time.monotonic()
        self.heard: dict[str, float] = {}
        self.away: set[str] = set()
        self.confirmed = ConfigConfirmed(0, float("-inf"))
        self._said: dict[str, str] = {}

    def on_stop(self) -> None:
        self.client.close()

    @singledispatchmethod
    def on_receive(self, message: object) -> None:
        log_unknown_message(message)

    @on_receive.register
    def _(self, msg: PeerSummary) -> None:
        self.heard[msg.counters.node] = time.monotonic()

    @on_receive.register
    def _(self, msg: ConfigConfirmed) -> None:
        self.confirmed = msg

    @on_receive.register
    def _(self, msg: Listing) -> None:
        self.away = {name for name, state in msg.states.items() if state is not TargetState.LIVE}

    @on_receive.register
    def _(self, msg: Tick) -> None:
        cfg = self.snapshot.current
        if cfg is None or msg.is_late() or not self._settled():
            return
        live = self._candidates()
        for target in _engines(cfg):
            if issuer_of(target.id, target.zone, live) == self.node:
                self._reconcile(target, cfg.version)

    def _settled(self) -> bool:
        # A router that has just started hears nobody and would take every engine for its own;
        # a starting fleet would order the same models many times over.
        others = {member.node for member in self.members} - {self.node} - self.away
        waited = time.monotonic() - self.started_at > self.peer_timeout_s
        return waited or others <= self.heard.keys()

    def _live(self) -> list[Member]:
        now = time.monotonic()
        return [
            member
            for member in self.members
            if member.node == self.node
            or now - self.heard.get(member.node, float("-inf")) <= self.peer_timeout_s
        ]

    def _candidates(self) -> list[Member]:
        live = self._live()
        return [member for member in live if member.node not in self.away] or live

    def _reconcile(self, target: Target, version: int) -> None:
        try:
            state = self.client.read(target.url)
            if sorted(state.models) == sorted(target.models):
                self._said.pop(target.id, None)
                return
            # A router frozen for a while wakes up with the configuration of before. Its order
            # would undo a newer one on an engine that ignores fencing numbers; asked for too
            # long ago, the service's word is not enough to give it one.
            if not target.fencing and not self._fresh(version):
                self._say(target, "order_withheld", f"version {version} not confirmed")
                return
            self.client.order(target.url, ModelOrder(version, target.models), self.node)
        except StaleFence as exc:
            self._say(target, "order_refused", str(exc))
            return
        except (EngineError, msgspec.ValidationError) as exc:
            self._say(target, "order_failed", str(exc))
            return
        self._said.pop(target.id, None)
        log_event("order_given", target=target.id, fence=version, models=",".join(target.models))

    def _fresh(self, version: int) -> bool:
        recent = time.monotonic() - self.confirmed.asked_at <= FRESH_S
        return recent and self.confirmed.version >= version

    def _say(self, target: Target, event: str, reason: str) -> None:
        if self._said.get(target.id) != event:
            self._said[target.id] = event
            log_event(event, level="WARNING", target=target.id, reason=reason)


def _engines(cfg: Config) -> list[Target]:
    return [target for svc in cfg.services for target in svc.targets if target.models]
