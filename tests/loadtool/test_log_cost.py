"""What log lines cost stays a small part of a core, however many requests there are."""

import pytest

from turmerictray.core.logs import setup_logging
from turmerictray.loadtool.log_cost import measure_log_cost


@pytest.fixture(autouse=True)
def logging_restored():
    yield
    setup_logging("test")


def test_lines_cost_a_bounded_part_of_a_core():
    # A router's share of a machine is half a core. A flood of requests may double the lines it
    # would write, and their cost must not: what is over the budget costs next to nothing.
    cost = measure_log_cost()
    assert cost.most_core_share < 0.15
    assert cost.left_out_s < 0.1 * cost.line_s
