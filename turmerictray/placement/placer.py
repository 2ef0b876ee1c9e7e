"""Placer actor: keeps the configured models loaded on the engines assigned to this router.

The fencing number of an order is the configuration's version: it only grows, is the same on every
router, and needs no shared writes. An engine that checks it never returns to an older version's
models, whichever router sends the order. An engine that ignores it is only sent orders by a router
whose version the configuration service confirmed within the last seconds.
"""

import time
from functools import partial, singledispatchmethod

from turmerictray.config.schema import Config, Target
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core.actor import VitalActor
from turmerictray.core.errors import EngineError, StaleFence
from turmerictray.core.ids import NodeId
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.core.member import Member
from turmerictray.core.timer import Tick
from turmerictray.placement.engine import EngineClient, ModelOrder
from turmerictray.placement.issuer import responsible_router
from turmerictray.router.messages import ConfigConfirmed, Listing, PeerSummary
from turmerictray.routing.target import TargetState

CONFIRMATION_VALIDITY_S = 5.0
"""How long the configuration service's confirmation counts as current, in seconds after the request
to it."""


class Placer(VitalActor):
    """Actor that compares engines with the configuration on each tick and orders the differences.

    Parameters
    ----------
    node : NodeId
    members : list of Member
        Every router of the deployment, this one included.
    snapshot : ConfigSnapshot
        Active configuration.
    client : EngineClient
    peer_timeout_s : float
        Seconds after which a peer without heartbeats is not considered to send orders.
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
        self.last_heartbeat: dict[str, float] = {}
        self.unavailable: set[str] = set()
        self.confirmed = ConfigConfirmed(0, float("-inf"))
        self._last_warning: dict[str, str] = {}

    def on_stop(self) -> None:
        self.client.close()

    @singledispatchmethod
    def handle(self, message: object) -> None:
        log_unknown_message(message)

    @handle.register
    def _(self, msg: PeerSummary) -> None:
        self.last_heartbeat[msg.counters.node] = time.monotonic()

    @handle.register
    def _(self, msg: ConfigConfirmed) -> None:
        self.confirmed = msg

    @handle.register
    def _(self, msg: Listing) -> None:
        self.unavailable = {
            name for name, state in msg.states.items() if state is not TargetState.LIVE
        }

    @handle.register
    def _(self, msg: Tick) -> None:
        cfg = self.snapshot.current
        if cfg is None or msg.is_late() or not self._is_startup_complete():
            return
        # A router that has just started may have an outdated configuration, which its
        # configuration service, if it is outdated as well, would even confirm.
        if self.snapshot.starting:
            return
        live = self._eligible_members()
        for target in _engines_with_models(cfg):
            if responsible_router(target.id, target.zone, live) == self.node:
                self.run_step(partial(self._reconcile, target, cfg.version), msg)

    def _is_startup_complete(self) -> bool:
        # A router that has just started has received no heartbeats and would consider itself
        # responsible for every engine; in a starting fleet, the same models would be ordered many
        # times.
        others = {member.node for member in self.members} - {self.node} - self.unavailable
        waited = time.monotonic() - self.started_at > self.peer_timeout_s
        return waited or others <= self.last_heartbeat.keys()

    def _live_members(self) -> list[Member]:
        now = time.monotonic()
        return [
            member
            for member in self.members
            if member.node == self.node
            or now - self.last_heartbeat.get(member.node, float("-inf")) <= self.peer_timeout_s
        ]

    def _eligible_members(self) -> list[Member]:
        live = self._live_members()
        return [member for member in live if member.node not in self.unavailable] or live

    def _reconcile(self, target: Target, version: int) -> None:
        try:
            state = self.client.read(target.url)
            if sorted(state.models) == sorted(target.models):
                self._last_warning.pop(target.id, None)
                return
            # A router that was frozen for some time resumes with an outdated configuration. On an
            # engine that ignores fencing numbers, its order would undo a newer one, so a
            # confirmation that was requested too long ago does not suffice for such an order.
            if not target.fencing and not self._is_confirmed(version):
                self._warn_once(target, "order_withheld", f"version {version} not confirmed")
                return
            self.client.order(target.url, ModelOrder(version, target.models), self.node)
        except StaleFence as exc:
            self._warn_once(target, "order_refused", str(exc))
            return
        except EngineError as exc:
            self._warn_once(target, "order_failed", str(exc))
            return
        self._last_warning.pop(target.id, None)
        log_event("order_given", target=target.id, fence=version, models=",".join(target.models))

    def _is_confirmed(self, version: int) -> bool:
        recent = time.monotonic() - self.confirmed.requested_at <= CONFIRMATION_VALIDITY_S
        return recent and self.confirmed.version >= version

    def _warn_once(self, target: Target, event: str, reason: str) -> None:
        if self._last_warning.get(target.id) != event:
            self._last_warning[target.id] = event
            log_event(event, level="WARNING", target=target.id, reason=reason)


def _engines_with_models(cfg: Config) -> list[Target]:
    return [target for svc in cfg.services for target in svc.targets if target.models]
