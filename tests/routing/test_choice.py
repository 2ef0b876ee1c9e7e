"""The target of a further try, when several targets are down and not known to be."""

from turmerictray.core.ids import ServiceName, TargetId
from turmerictray.routing.choice import choose_target
from turmerictray.routing.target import TargetView


def view(name: str) -> TargetView:
    return TargetView(TargetId(name), ServiceName("llm"), "http://h:1", "z", 8, False)


def test_a_further_try_goes_to_a_target_that_has_not_failed():
    # A caller is refused while an engine idles. Two of three engines are down; half a second after
    # they failed they are no longer passed over, so that they can show they are back. A request
    # that tries the first of them must not spend its last try on the second.
    for prompt in range(30):
        views = [view("e0"), view("e1"), view("e2")]
        for down in views[:2]:
            down.note_unreachable(0.0)
            down.end_suspicion(1.0)
        again = choose_target(views, f"prompt {prompt}", frozenset({"e0"}))
        assert again.id == "e2"


def test_a_target_whose_pause_is_over_is_tried_by_a_first_try():
    views = [view("e0"), view("e1")]
    views[0].note_unreachable(0.0)
    views[0].end_suspicion(1.0)
    chosen = {choose_target(views, f"prompt {prompt}").id for prompt in range(30)}
    assert chosen == {"e0", "e1"}


def test_a_further_try_takes_what_there_is():
    views = [view("e0"), view("e1")]
    views[1].note_unreachable(0.0)
    views[1].end_suspicion(1.0)
    assert choose_target(views, "prompt", frozenset({"e0"})).id == "e1"
