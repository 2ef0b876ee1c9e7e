"""Choice of a target for a retry while several targets are down and not listed as such."""

from turmerictray.core.ids import ServiceName, TargetId
from turmerictray.routing.choice import choose_target
from turmerictray.routing.target import TargetView


def view(name: str) -> TargetView:
    return TargetView(TargetId(name), ServiceName("llm"), "http://h:1", "z", 8, False)


def test_retry_goes_to_a_target_that_has_not_failed():
    # Guards against a refusal while an engine is idle. Two of three engines are down; half a second
    # after they failed they are eligible again, so that a recovered one is detected. A request that
    # tries the first of them must not spend its last attempt on the second.
    for prompt in range(30):
        views = [view("e0"), view("e1"), view("e2")]
        for down in views[:2]:
            down.note_unreachable(0.0)
            down.expire_suspicion(1.0)
        retried = choose_target(views, f"prompt {prompt}", frozenset({"e0"}))
        assert retried.id == "e2"


def test_target_with_expired_suspicion_gets_first_attempts():
    views = [view("e0"), view("e1")]
    views[0].note_unreachable(0.0)
    views[0].expire_suspicion(1.0)
    chosen = {choose_target(views, f"prompt {prompt}").id for prompt in range(30)}
    assert chosen == {"e0", "e1"}


def test_retry_uses_a_failed_target_if_no_other_is_left():
    views = [view("e0"), view("e1")]
    views[1].note_unreachable(0.0)
    views[1].expire_suspicion(1.0)
    assert choose_target(views, "prompt", frozenset({"e0"})).id == "e1"


def test_resting_target_is_left_alone_until_its_time_has_passed():
    """Guards against a full target that looks idle and draws the next request."""
    views = [view("e0"), view("e1")]
    views[0].note_rest(3.0, 10.0)
    views[0].note_rest(1.0, 10.5)
    views[0].expire_rest(12.9)
    assert {choose_target(views, f"prompt {n}").id for n in range(30)} == {"e1"}
    views[1].note_rest(9.0, 10.0)
    assert choose_target(views, None) is None
    views[0].expire_rest(13.0)
    assert choose_target(views, None).id == "e0"
