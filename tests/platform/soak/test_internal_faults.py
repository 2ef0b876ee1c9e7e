"""Tests of the selection of fault points."""

from tests.platform.test_unexpected_exceptions import MESSAGES as TESTED_MESSAGES
from turmerictray.platform.soak.internal_faults import (
    FAULT_POINTS,
    MESSAGES,
    FaultPointSelection,
)


def test_process_fails_at_most_twice_at_a_point():
    """Guards against routers that end by design, as failures of a kind recur."""
    selection = FaultPointSelection()
    assert [selection.select(7, 3) for _ in range(3)] == [FAULT_POINTS[3]] * 2 + [None]
    assert selection.select(8, 3) == FAULT_POINTS[3]
    assert selection.select(7, 4) == FAULT_POINTS[4]


def test_all_points_are_selected():
    selection = FaultPointSelection()
    drawn = {selection.select(7, number) for number in range(len(FAULT_POINTS))}
    assert drawn == set(FAULT_POINTS)
    assert MESSAGES == TESTED_MESSAGES
