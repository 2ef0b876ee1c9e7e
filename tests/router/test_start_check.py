"""When a router that has just started may serve callers."""

from turmerictray.core.ids import NodeId
from turmerictray.router.published import Position, StorePosition
from turmerictray.router.start_check import StartCheck, StartEnd


def position(version: int, revision: int = 5, era: int = 1) -> Position:
    return Position(version, StorePosition(era, revision))


def check(*members: str) -> StartCheck:
    start = StartCheck(NodeId("r1"), 0.0)
    start.take_members(["r1", *members])
    return start


def test_a_peer_that_serves_settles_it_at_once():
    """Guards against a restart that takes longer than its first word from a peer."""
    start = check("r2", "r3")
    assert start.end(position(2), 0.1) is None
    start.hear("r2", position(2), True)
    assert start.end(position(2), 0.1) is StartEnd.PEER


def test_a_router_behind_a_peer_waits_until_it_has_caught_up():
    """Guards against an old text or list of targets after a restart."""
    start = check("r2")
    start.hear("r2", position(2, revision=9), True)
    assert start.end(position(1, revision=9), 5.0) is None
    assert start.end(position(2, revision=8), 5.0) is None
    assert start.end(position(2, revision=9), 5.0) is StartEnd.PEER


def test_a_store_in_an_older_era_is_behind_whatever_its_revision():
    """Guards against a list from before the store's return from a copy."""
    start = check("r2")
    start.hear("r2", position(2, revision=4, era=2), True)
    assert start.end(position(2, revision=90, era=1), 5.0) is None


def test_peers_that_are_starting_do_not_settle_it_alone():
    """Guards against routers that restart together and believe each other's old text."""
    start = check("r2", "r3")
    start.hear("r2", position(1), False)
    assert start.end(position(1), 2.0) is None
    start.hear("r3", position(2), True)
    assert start.end(position(1), 2.0) is None
    assert start.end(position(2), 2.0) is StartEnd.PEER


def test_all_that_start_together_go_by_the_newest_that_one_of_them_has_read():
    """Guards against a fleet that waits for a router which does not exist."""
    start = check("r2")
    start.hear("r2", position(3), False)
    assert start.end(position(2), 1.5) is None
    assert start.end(position(3), 0.5) is None
    assert start.end(position(3), 0.7) is StartEnd.ALONE


def test_a_router_without_peers_waits_a_moment_and_no_longer():
    """Guards against a single router that never serves."""
    start = check()
    assert start.end(position(1), 0.5) is None
    assert start.end(position(1), 1.1) is StartEnd.ALONE


def test_waiting_for_peers_is_bounded():
    """Guards against a router that never serves as its peers are cut off or silent."""
    start = check("r2", "r3")
    assert start.end(position(1), 3.1) is StartEnd.NO_WORD
    start.hear("r2", position(2), True)
    assert start.end(position(1), 9.0) is None
    assert start.end(position(1), 10.1) is StartEnd.BEHIND
