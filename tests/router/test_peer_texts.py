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
