"""When a router that missed a text asks a peer for it."""

from turmerictray.router.catch_up import Lag
from turmerictray.router.published import Position, StorePosition


def should_ask(lag: Lag, peer: int, own: int, listed: bool, now: float, reads=True) -> bool:
    """Ask with versions of the text; a peer always knows the targets, this router if ``listed``."""
    own_position = Position(own, StorePosition(0, 1 if listed else 0))
    return lag.should_ask(
        Position(peer, StorePosition(0, 1 if peer else 0)), own_position, reads, now
    )


def test_peers_that_are_behind_as_well_do_not_put_it_off():
    # The store was silent and most routers missed the newest text. One peer has it; between its
    # messages come those of the others, with the old version. Each of them must not make the
    # router wait anew, or withdrawn keys and routes stay in force until its own watch ends.
    lag = Lag()
    asked = []
    for tick in range(8):
        now = tick * 0.25
        asked.append(should_ask(lag, 9, 3, True, now))
        assert not should_ask(lag, 3, 3, True, now + 0.01)
    assert asked.index(True) <= 2


def test_own_read_comes_first():
    lag = Lag()
    assert not should_ask(lag, 9, 3, True, 0.0)
    assert not should_ask(lag, 9, 9, True, 0.5)
    assert not should_ask(lag, 10, 9, True, 0.6)
    assert not should_ask(lag, 10, 9, True, 0.9)
    assert should_ask(lag, 10, 9, True, 1.1)


def test_router_without_targets_asks_a_peer_of_the_same_version():
    lag = Lag()
    assert not should_ask(lag, 3, 3, False, 0.0)
    assert should_ask(lag, 3, 3, False, 0.5)
    assert not should_ask(lag, 0, 0, False, 2.0)


def test_peers_are_not_asked_with_every_message():
    lag = Lag()
    asked = [should_ask(lag, 9, 3, True, tick * 0.05) for tick in range(41)]
    assert sum(asked) <= 7


def test_a_router_that_does_not_read_asks_at_once():
    assert should_ask(Lag(), 9, 3, True, 0.0, reads=False)
    assert should_ask(Lag(), 9, 9, False, 0.0, reads=False)


def test_a_router_behind_on_targets_only_asks():
    lag = Lag()
    assert lag.should_ask(
        Position(3, StorePosition(0, 8)), Position(3, StorePosition(0, 7)), False, 0.0
    )
    assert not lag.should_ask(
        Position(3, StorePosition(0, 8)), Position(3, StorePosition(0, 8)), False, 1.0
    )
