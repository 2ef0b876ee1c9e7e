"""Whom a router that starts without memory asks what the engines keep."""

from turmerictray.core.ids import NodeId, ServiceName, TargetId, ZoneId
from turmerictray.membership.messages import MemberEntry, PeerMessage, RouterSummary
from turmerictray.router.recall import RecallPlan
from turmerictray.routing.load import TargetInfo

ENGINES = [
    TargetInfo(TargetId(f"e{n}"), ServiceName("llm"), "h:1", ZoneId("z"), 64) for n in range(9)
]


def message(node: str, beat: int, leaving: bool = False) -> PeerMessage:
    entry = MemberEntry(node, "z", "tcp://h:1", 1, beat, leaving)
    return PeerMessage(entry, RouterSummary(node, 1, 3, [], {}, []), [], f"{node}:8785")


def test_peer_that_has_been_up_is_asked_at_once():
    plan = RecallPlan(NodeId("r1"), started_at=10.0)
    plan.note_peer(message("r2", beat=200))
    assert plan.elder() == ("r2", "r2:8785")
    assert not plan.is_alone(20.0)


def test_each_engine_is_asked_by_one_of_the_routers_that_start_together():
    # All routers were killed. Each of them would list all engines' memories while callers press
    # again; listing costs an engine time, eight times over.
    names = [NodeId(f"r{n}") for n in range(8)]
    asked = []
    for name in names:
        plan = RecallPlan(name, started_at=10.0)
        for other in names:
            if other != name:
                plan.note_peer(message(other, beat=2))
        assert not plan.is_alone(10.2)
        assert plan.is_alone(10.6)
        asked += [engine.id for engine in plan.own_share(ENGINES)]
    assert sorted(asked) == [engine.id for engine in ENGINES]


def test_peers_that_fail_or_leave_are_passed_over():
    plan = RecallPlan(NodeId("r1"), started_at=10.0)
    plan.note_peer(message("r2", beat=200))
    plan.note_peer(message("r3", beat=200, leaving=True))
    plan.note_failed("r2")
    assert plan.elder() is None
    assert plan.is_alone(10.6)


def test_router_without_peers_asks_all_engines():
    plan = RecallPlan(NodeId("r1"), started_at=10.0)
    assert plan.own_share(ENGINES) == ENGINES
    assert not plan.is_over(19.0)
    assert plan.is_over(20.0)
