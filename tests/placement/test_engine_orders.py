"""Model orders to engines during configuration changes, router freezes and restarts."""

import json
import signal
import time

import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from turmerictray.config.load import parse_config
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.member import Member
from turmerictray.core.timer import Tick
from turmerictray.fairness.ledger import PeerCounters
from turmerictray.placement.engine import EngineModels, ModelOrder
from turmerictray.placement.issuer import responsible_router
from turmerictray.placement.placer import Placer
from turmerictray.router.messages import ConfigConfirmed, PeerSummary

scenarios("features/engine_orders.feature")

HTTP = urllib3.PoolManager(retries=False)


@given(
    parsers.re(
        r"3 routers and (?P<engines>\d) engines? that (?P<kind>check|ignore) fencing numbers, "
        r'configured to load "(?P<model>[^"]+)"'
    ),
    target_fixture="fleet",
)
def fleet(start_fleet, ctx, engines, kind, model):
    ctx["orders"] = 0
    return start_fleet(
        engines=int(engines),
        routers=3,
        services=0,
        teams={"depot": 1.0},
        check_fencing=kind == "check",
        models=[model],
    )


def _stats(fleet) -> list[dict]:
    return [fleet.get_json(proc.name, "/admin/stats") for proc in fleet.engines()]


@then(
    parsers.re(
        r'within (?P<secs>\d+) seconds every engine has loaded "(?P<model>[^"]+)" '
        r"by one (more )?order"
    )
)
def loaded(fleet, ctx, secs, model):
    deadline = time.monotonic() + int(secs)
    while any(stats["models"] != [model] for stats in _stats(fleet)):
        assert time.monotonic() < deadline, _stats(fleet)
        time.sleep(0.1)
    time.sleep(1.5)
    ctx["orders"] += 1
    assert [len(stats["orders"]) for stats in _stats(fleet)] == [ctx["orders"]] * len(
        fleet.engines()
    )


@when(parsers.parse('the configuration changes to "{model}"'))
def change(fleet, model):
    text = dict(fleet.config)
    text["services"] = [
        dict(svc, targets=[dict(tgt, models=[model]) for tgt in svc["targets"]])
        for svc in fleet.config["services"]
    ]
    fleet.post_json("config", "/admin/publish", text)


@when(
    parsers.parse(
        'the router that sent the order is frozen and the configuration changes to "{model}"'
    )
)
def freeze_and_change(fleet, ctx, model):
    # Callers get the new model although the responsible router is frozen: another router takes over
    # the engine once the frozen one has sent no heartbeat for the peer timeout. When it resumes, it
    # still has the old configuration, and its first tick finds the engine's model to differ: on an
    # engine that ignores fencing numbers, its order would restore the old model.
    ctx["frozen"] = _issuers(fleet)[0]
    fleet.signal(ctx["frozen"], signal.SIGSTOP)
    change(fleet, model)


def _issuers(fleet) -> list[str]:
    log = (fleet.dir / "engine-0.log").read_text()
    orders = [line for line in log.splitlines() if "event=engine_order" in line]
    return [line.rsplit("router=", 1)[1].split()[0] for line in orders]


@when("the instance list reports the router that sent the order as leaving")
def list_leaving(fleet, ctx):
    # The router is about to be replaced. If it were still responsible, a change just before its end
    # would be delayed until its peers detect the missing heartbeats.
    state = {"id": _issuers(fleet)[0], "state": "leaving"}
    fleet.post_json("instances", "/admin/set", state)
    time.sleep(1.5)


@then("another router sent it")
def another_router(fleet):
    first, second = _issuers(fleet)
    assert first != second


@when("the frozen router resumes")
def resume(fleet, ctx):
    fleet.signal(ctx["frozen"], signal.SIGCONT)


@then(parsers.parse('for {secs:d} seconds no engine receives an order for "{model}" again'))
def no_more_orders(fleet, ctx, secs, model):
    deadline = time.monotonic() + secs
    while time.monotonic() < deadline:
        for stats in _stats(fleet):
            later = stats["orders"][ctx["orders"] - 1 :]
            assert all(model not in models for _, _, models in later), stats["orders"]
        time.sleep(0.1)


@when(parsers.parse('an order for "{model}" with the previous fencing number arrives'))
def late_order(fleet, ctx, model):
    # The order was sent before the change and delayed in transit.
    order = {"fence": 0, "action": "set_models", "models": [model]}
    ctx["answer"] = fleet.post_json("engine-0", "/admin/order", order)


@then(parsers.parse('it is refused and the engine keeps "{model}"'))
def refused(fleet, ctx, model):
    assert ctx["answer"]["error"]["type"] == "stale_fence"
    assert _stats(fleet)[0]["models"] == [model]


@when("the engine is killed and restarted")
def restart_engine(fleet, ctx):
    # The engine keeps no state across restarts; callers of its model wait until it is ordered
    # again.
    fleet.kill("engine-0")
    fleet.wait_ready(fleet.restart("engine-0"))
    ctx["orders"] = 0


class FakeEngine:
    """Engine double that accepts every order."""

    def __init__(self, models: list[str]) -> None:
        self.models = models
        self.orders: list[ModelOrder] = []

    def read(self, _url: str) -> EngineModels:
        return EngineModels(self.models)

    def order(self, _url: str, order: ModelOrder, _node: str) -> None:
        self.orders.append(order)

    def close(self) -> None:
        """Do nothing; there are no connections."""


def _snapshot(engine: str, fencing: bool, model: str = "chat-1") -> ConfigSnapshot:
    target = {"id": engine, "url": "http://e0", "zone": "madina"}
    target |= {"models": [model], "fencing": fencing}
    llm = {"name": "llm", "kind": "model", "targets": [target]}
    snapshot = ConfigSnapshot()
    snapshot.current = parse_config(json.dumps({"version": 1, "services": [llm], "teams": []}))
    return snapshot


@given(
    parsers.re(
        r'a placer configured with "(?P<configured>[^"]+)", unconfirmed for 60 seconds, '
        r'and an engine that (?P<kind>check|ignore) fencing numbers with "(?P<loaded>[^"]+)"'
    ),
    target_fixture="placer",
)
def unconfirmed_placer(ctx, configured, kind, loaded):
    # The router was frozen while the configuration changed and another router ordered the new
    # model. After it resumes, the engine's model differs from its configuration, and the router
    # cannot determine which one is newer.
    snapshot = _snapshot("e0", kind == "check", configured)
    ctx["engine"] = FakeEngine([loaded])
    node = NodeId("r0")
    placer = Placer.start(node, [Member(node, ZoneId("madina"))], snapshot, ctx["engine"], 3.0)
    placer.tell(ConfigConfirmed(1, time.monotonic() - 60.0))
    yield placer
    placer.stop()


@when("the placer compares engine and configuration")
def compare(placer, ctx):
    ctx["engine"].orders.clear()
    placer.ask(Tick("placement", time.monotonic()))


@when("the configuration service confirms the placer's version")
def confirm(placer):
    placer.tell(ConfigConfirmed(1, time.monotonic()))


@then("it orders the engine")
def ordered(ctx):
    assert ctx["engine"].orders == [ModelOrder(1, ["chat-1"])]


@then("it does not order the engine")
def not_ordered(ctx):
    assert ctx["engine"].orders == []


@given(
    "a placer just started with one peer, and an engine without its model", target_fixture="placer"
)
def new_placer(ctx):
    # Without heartbeats from peers, a new router would consider itself responsible for every
    # engine, and all routers of a starting fleet would order the same models at once from a
    # rate-limited weight store.
    node, peer = NodeId("r0"), NodeId("r1")
    members = [Member(node, ZoneId("madina")), Member(peer, ZoneId("madina"))]
    names = (f"e{num}" for num in range(100))
    local_engine = next(
        name for name in names if responsible_router(name, "madina", members) == node
    )
    ctx["engine"] = FakeEngine([])
    placer = Placer.start(node, members, _snapshot(local_engine, True), ctx["engine"], 60.0)
    yield placer
    placer.stop()


@when("a heartbeat of the peer arrives")
def peer_heartbeat(placer):
    placer.tell(PeerSummary(PeerCounters("r1", 1, {})))


def test_placer_sends_no_orders_while_the_router_starts():
    """Guards against orders by the outdated configuration of a restarted router."""
    snapshot, engine, node = _snapshot("e0", False), FakeEngine(["chat-2"]), NodeId("r0")
    snapshot.starting = True
    placer = Placer.start(node, [Member(node, ZoneId("madina"))], snapshot, engine, 3.0)
    try:
        placer.tell(ConfigConfirmed(1, time.monotonic()))
        placer.ask(Tick("placement", time.monotonic()))
        assert engine.orders == []
        snapshot.starting = False
        placer.ask(Tick("placement", time.monotonic()))
        assert engine.orders == [ModelOrder(1, ["chat-1"])]
    finally:
        placer.stop()
