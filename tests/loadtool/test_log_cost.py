"""Request log lines use a small fraction of a core, however many requests there are."""

import pytest

from turmerictray.core.logs import setup_logging
from turmerictray.loadtool.log_cost import measure_log_cost


@pytest.fixture(autouse=True)
def logging_restored():
    yield
    setup_logging("test")


def test_lines_cost_bounded_core_fraction():
    # A router may use half a core. When a flood of requests doubles the number of lines, their
    # cost must not double: lines over the budget are dropped at almost no cost.
    cost = measure_log_cost()
    assert cost.max_core_fraction < 0.15
    assert cost.left_out_s < 0.1 * cost.line_s
