"""Tests of the order and the work of a team's pending requests."""

from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from turmerictray.admission.team_dispatch_order import TeamDispatchOrder, dispatch_key, request_work


def make_request(seq: int, urgency: float, tokens: int):
    context = SimpleNamespace(urgency_s=urgency, reading_tokens=tokens, prompt=object())
    return SimpleNamespace(seq=seq, context=context)


requests = st.lists(st.tuples(st.sampled_from([0.4, 0.8]), st.integers(0, 5000)), max_size=30)


@given(requests, st.data())
def test_cached_work_matches_the_pending_requests(drawn, data):
    """Guards against cached sums that differ from the work of the pending requests."""
    order, waiting = TeamDispatchOrder(), []
    for seq, (urgency, tokens) in enumerate(drawn, start=1):
        pending = make_request(seq, urgency, tokens)
        order.add(pending, front=False)
        waiting.append(pending)
        if data.draw(st.booleans()):
            order.remove(waiting.pop(data.draw(st.integers(0, len(waiting) - 1))))
    waiting.sort(key=lambda pending: (dispatch_key(pending), pending.seq))
    count = data.draw(st.integers(0, len(waiting) + 2))
    assert order.work_of_first(count) == sum(map(request_work, waiting[:count]))
    assert len(order) == len(waiting)
