"""A team's waiting requests, their order and their work."""

from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from turmerictray.admission.turns import TeamTurns, turn_of, work_of


def request(seq: int, urgency: float, tokens: int):
    context = SimpleNamespace(urgency_s=urgency, reading_tokens=tokens, prompt=object())
    return SimpleNamespace(seq=seq, context=context)


requests = st.lists(st.tuples(st.sampled_from([0.4, 0.8]), st.integers(0, 5000)), max_size=30)


@given(requests, st.data())
def test_work_is_that_of_the_requests_that_wait(drawn, data):
    """Guards against a running sum that differs from what waits."""
    turns, waiting = TeamTurns(), []
    for seq, (urgency, tokens) in enumerate(drawn, start=1):
        item = request(seq, urgency, tokens)
        turns.add(item, first=False)
        waiting.append(item)
        if data.draw(st.booleans()):
            turns.remove(waiting.pop(data.draw(st.integers(0, len(waiting) - 1))))
    waiting.sort(key=lambda item: (turn_of(item), item.seq))
    first = data.draw(st.integers(0, len(waiting) + 2))
    assert turns.work_of(first) == sum(map(work_of, waiting[:first]))
    assert len(turns) == len(waiting)
