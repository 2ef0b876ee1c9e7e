"""Tests for when a router that has just started may serve callers."""

from turmerictray.core.ids import NodeId
from turmerictray.router.published import Position, StorePosition
from turmerictray.router.startup_check import StartupCheck, StartupLimits, StartupResult


def position(version: int, revision: int = 5, era: int = 1) -> Position:
    return Position(version, StorePosition(era, revision))


def make_check(*members: str) -> StartupCheck:
    startup_check = StartupCheck(NodeId("r1"), 0.0)
    startup_check.set_members(["r1", *members])
    return startup_check


def test_router_serves_at_once_if_level_with_a_serving_peer():
    """Guards against a restart that takes longer than the first message from a peer."""
    startup_check = make_check("r2", "r3")
    assert startup_check.result(position(2), 0.1) is None
    startup_check.record_peer("r2", position(2), True, 0.1)
    assert startup_check.result(position(2), 0.1) is StartupResult.PEER


def test_router_behind_a_peer_waits_until_caught_up():
    """Guards against an outdated configuration or list of targets after a restart."""
    startup_check = make_check("r2")
    startup_check.record_peer("r2", position(2, revision=9), True, 0.1)
    assert startup_check.result(position(1, revision=9), 5.0) is None
    assert startup_check.result(position(2, revision=8), 5.0) is None
    assert startup_check.result(position(2, revision=9), 5.0) is StartupResult.PEER


def test_older_store_era_is_behind_despite_higher_revision():
    """Guards against a list of targets from before the store was restored from a backup."""
    startup_check = make_check("r2")
    startup_check.record_peer("r2", position(2, revision=4, era=2), True, 0.1)
    assert startup_check.result(position(2, revision=90, era=1), 5.0) is None


def test_starting_peers_do_not_suffice():
    """Guards against routers that restart together and adopt each other's old configuration."""
    startup_check = make_check("r2", "r3")
    startup_check.record_peer("r2", position(1), False, 0.1)
    assert startup_check.result(position(1), 2.0) is None
    startup_check.record_peer("r3", position(2), True, 2.0)
    assert startup_check.result(position(1), 2.0) is None
    assert startup_check.result(position(2), 2.0) is StartupResult.PEER


def test_routers_that_start_together_need_the_newest_known_position():
    """Guards against a fleet that starts together and waits for a peer that already serves."""
    startup_check = make_check("r2")
    startup_check.record_peer("r2", position(3), False, 0.0)
    assert startup_check.result(position(2), 1.5) is None
    assert startup_check.result(position(3), 0.5) is None
    assert startup_check.result(position(3), 0.9) is None
    assert startup_check.result(position(3), 1.1) is StartupResult.ALONE


def test_late_report_of_a_starting_peer_does_not_end_the_wait():
    """Guards against serving before starting peers had the time to forward who already serves."""
    startup_check = make_check("r2")
    startup_check.record_peer("r2", position(1), False, 0.9)
    assert startup_check.result(position(1), 1.8) is None
    startup_check.record_peer("r4", position(2), True, 1.85)
    assert startup_check.result(position(1), 2.0) is None


def test_router_without_peers_waits_one_second():
    """Guards against a single router that never serves."""
    startup_check = make_check()
    assert startup_check.result(position(1), 0.5) is None
    assert startup_check.result(position(1), 1.1) is StartupResult.ALONE


def test_wait_for_peers_is_bounded():
    """Guards against a router that never serves because its peers are partitioned or silent."""
    startup_check = make_check("r2", "r3")
    assert startup_check.result(position(1), 3.1) is StartupResult.NO_REPORT
    startup_check.record_peer("r2", position(2), True, 3.1)
    assert startup_check.result(position(1), 9.0) is None
    assert startup_check.result(position(1), 10.1) is StartupResult.BEHIND


def test_router_waits_longer_while_a_silent_peer_accepts_connections():
    """Guards against a frozen peer that is taken for one that is down."""
    startup_check = make_check()
    startup_check.set_unresponsive(True)
    assert startup_check.result(position(1), 29.0) is None
    startup_check.set_unresponsive(False)
    assert startup_check.result(position(1), 29.0) is StartupResult.ALONE


def test_wait_for_unresponsive_peers_is_bounded():
    """Guards against a router that never serves because the process of a peer hangs forever."""
    startup_check = make_check("r2")
    startup_check.set_unresponsive(True)
    assert startup_check.result(position(1), 30.1) is StartupResult.NO_REPORT


def test_router_behind_a_frozen_peer_waits_longer():
    """Guards against serving a known old configuration because its holder is frozen."""
    startup_check = make_check("r2")
    startup_check.record_peer("r2", position(2), True, 0.1)
    startup_check.set_unresponsive(True)
    assert startup_check.result(position(1), 29.0) is None
    assert startup_check.result(position(1), 30.1) is StartupResult.BEHIND


def test_router_that_started_alone_stops_serving_if_a_peer_has_newer_documents():
    """Guards against a start that timed out and then goes on by documents known to be old."""
    startup_check = make_check("r2")
    assert startup_check.update(position(1), 3.1) is StartupResult.NO_REPORT
    assert startup_check.may_serve and not startup_check.confirmed
    startup_check.record_peer("r2", position(2), True, 3.2)
    assert startup_check.update(position(1), 60.0) is None
    assert not startup_check.may_serve
    assert startup_check.update(position(2), 60.2) is StartupResult.PEER
    assert startup_check.may_serve and startup_check.confirmed


def test_router_behind_does_not_alternate_between_serving_and_refusing():
    """Guards against refusals for as long as newer documents can't be fetched."""
    startup_check = make_check("r2")
    startup_check.record_peer("r2", position(2), True, 0.1)
    assert startup_check.update(position(1), 10.1) is StartupResult.BEHIND
    startup_check.record_peer("r2", position(2), True, 10.1)
    startup_check.update(position(1), 10.2)
    assert startup_check.may_serve
    startup_check.record_peer("r2", position(3), True, 10.2)
    startup_check.update(position(1), 10.3)
    assert not startup_check.may_serve


def test_serving_peer_does_not_suffice_while_others_may_report():
    """Guards against the revision of a lagging peer, if the router knows all its peers."""
    limits = StartupLimits(confirm_all_s=3.0)
    startup_check = StartupCheck(NodeId("r1"), 0.0, limits)
    startup_check.set_members(["r2", "r3"])
    startup_check.record_peer("r2", position(1), True, 0.1)
    assert startup_check.result(position(1), 2.9) is None
    assert startup_check.result(position(1), 3.1) is StartupResult.PEER


def test_fleet_that_starts_as_a_whole_does_not_wait_long_for_a_silent_address():
    """Guards against a fleet that waits for a seed's address that another program has."""
    startup_check = make_check("r2")
    startup_check.set_unresponsive(True)
    startup_check.record_peer("r2", position(1), False, 0.5)
    assert startup_check.update(position(1), 5.4) is None
    assert startup_check.update(position(1), 5.6) is StartupResult.ALONE
    assert startup_check.may_serve and not startup_check.confirmed


def test_frozen_peer_that_wakes_reveals_newer_documents_to_a_fleet_that_serves():
    """Guards against a fleet that takes the start for confirmed beside a frozen peer."""
    startup_check = make_check("r2")
    startup_check.set_unresponsive(True)
    startup_check.record_peer("r2", position(1), False, 0.5)
    startup_check.update(position(1), 5.6)
    startup_check.record_peer("r3", position(2), True, 9.0)
    assert startup_check.update(position(1), 9.1) is None
    assert not startup_check.may_serve
    assert startup_check.update(position(2), 9.2) is StartupResult.PEER


def test_start_beside_a_silent_address_is_confirmed_at_last():
    """Guards against starting routers that get no proof from a fleet beside such an address."""
    startup_check = make_check("r2")
    startup_check.set_unresponsive(True)
    startup_check.record_peer("r2", position(1), False, 0.5)
    startup_check.update(position(1), 5.6)
    assert not startup_check.confirmed
    startup_check.update(position(1), 30.1)
    assert startup_check.confirmed
