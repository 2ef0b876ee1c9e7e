"""Tests of when a router asks its peers for the configuration that they have in force."""

import pytest

from turmerictray.router.peer_texts import PeerTexts

NEWEST_KNOWN, IN_FORCE_AT_PEERS, OLDER = 5, 4, 3


@pytest.mark.parametrize("version_in_force", [OLDER, 0])
def test_router_behind_its_peers_asks_for_what_they_have_in_force(version_in_force):
    """Guards against a router that serves by an older configuration than all its peers."""
    texts = PeerTexts("r1", lambda: version_in_force)
    texts.set_members({"r1", "r2", "r3"})
    for peer in ("r2", "r3"):
        texts.record(peer, IN_FORCE_AT_PEERS)
    assert texts.should_ask("r2", NEWEST_KNOWN, 1.0)


def test_router_that_has_taken_an_older_configuration_takes_a_newer_one_heard_of_later():
    """Guards against a router that starts with few known peers and stays at their configuration."""
    in_force = 0
    texts = PeerTexts("r1", lambda: in_force)
    texts.set_members({"r1", "r2"})
    texts.record("r2", OLDER)
    assert texts.should_ask("r2", NEWEST_KNOWN, 1.0)
    in_force = OLDER
    texts.set_members({"r1", "r2", "r3"})
    texts.record("r3", IN_FORCE_AT_PEERS)
    assert texts.should_ask("r3", NEWEST_KNOWN, 3.0)


def test_router_without_text_does_not_wait_for_each_of_many_peers():
    """Guards against a router of a large fleet that waits to hear all others before it serves."""
    texts = PeerTexts("r1", lambda: 0)
    texts.set_members({"r1", "r2", "r3", "r4"})
    texts.record("r2", OLDER)
    assert not texts.should_ask("r2", NEWEST_KNOWN, 1.0)
    texts.record("r3", IN_FORCE_AT_PEERS)
    assert not texts.should_ask("r3", NEWEST_KNOWN, 3.9)
    assert not texts.should_ask("r2", NEWEST_KNOWN, 4.1)
    assert texts.should_ask("r3", NEWEST_KNOWN, 4.1)


@pytest.mark.parametrize("version_in_force", [IN_FORCE_AT_PEERS, NEWEST_KNOWN])
def test_router_asks_for_no_text_that_is_not_newer_than_its_own(version_in_force):
    """Guards against a text that goes back, and against fetches that bring nothing."""
    texts = PeerTexts("r1", lambda: version_in_force)
    texts.set_members({"r1", "r2", "r3"})
    texts.record("r2", OLDER)
    texts.record("r3", IN_FORCE_AT_PEERS)
    for now in range(1, 20):
        assert not texts.should_ask("r2", NEWEST_KNOWN, float(now))
        assert not texts.should_ask("r3", NEWEST_KNOWN, float(now))


def test_fetches_of_a_text_that_is_never_put_in_force_are_limited():
    """Guards against peers that send the whole configuration with each of their messages."""
    texts = PeerTexts("r1", lambda: OLDER)
    texts.set_members({"r1", "r2"})
    texts.record("r2", IN_FORCE_AT_PEERS)
    asked = [texts.should_ask("r2", NEWEST_KNOWN, 1.0 + tick * 0.1) for tick in range(100)]
    assert 1 <= sum(asked) <= 10


@pytest.mark.parametrize(("in_force", "allowed"), [(OLDER, range(4, 9)), (0, range(55, 61))])
def test_text_that_can_not_be_put_in_force_here_is_fetched_ever_more_rarely(in_force, allowed):
    """Guards against whole configurations that are sent each second, as they fail only here."""
    texts = PeerTexts("r1", lambda: in_force)
    texts.set_members({"r1", "r2"})
    texts.record("r2", IN_FORCE_AT_PEERS)
    asked = [texts.should_ask("r2", NEWEST_KNOWN, 1.0 + tick * 0.25) for tick in range(240)]
    assert sum(asked) in allowed


def test_newer_text_is_fetched_at_once_after_one_that_failed():
    texts = PeerTexts("r1", lambda: OLDER)
    texts.set_members({"r1", "r2"})
    texts.record("r2", IN_FORCE_AT_PEERS)
    for now in range(1, 60):
        texts.should_ask("r2", NEWEST_KNOWN, float(now))
    texts.record("r2", NEWEST_KNOWN)
    assert texts.should_ask("r2", NEWEST_KNOWN + 1, 60.0)


def test_versions_that_fail_in_turns_are_fetched_ever_more_rarely():
    """Guards against a pause that begins anew as two peers serve by different configurations."""
    texts = PeerTexts("r1", lambda: OLDER)
    texts.set_members({"r1", "r2", "r3"})
    texts.record("r2", IN_FORCE_AT_PEERS)
    texts.record("r3", NEWEST_KNOWN)
    asked = [
        texts.should_ask("r2" if tick % 2 else "r3", NEWEST_KNOWN + 1, 1.0 + tick * 0.25)
        for tick in range(240)
    ]
    assert sum(asked) <= 16
