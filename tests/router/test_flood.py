"""A router that receives all requests of one team, many more than the team's share."""

from turmerictray.platform.standins.flood import flood_one_router

BASELINE_SWITCHES_PER_REQUEST = 89
"""Context switches of the router's threads per request at this rate before requests were refused by
their heads alone; 7 afterwards. Most are wake-ups to request the interpreter lock from another
thread."""


def test_flooded_router_refuses_in_time_at_a_quarter_of_the_cost(tmp_path):
    """Guards against threads that compete for the interpreter lock while requests wait unread."""
    report = flood_one_router(tmp_path, rate=300, seconds=4)
    assert set(report.outcomes) <= {"200", "429", "503"}, report.outcomes
    assert report.refusal_time_s(0.9) < 1.0
    assert report.switches / report.sent < BASELINE_SWITCHES_PER_REQUEST / 4
