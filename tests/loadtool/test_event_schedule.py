"""Tests for the schedule of a run's events."""

import pytest

from turmerictray.loadtool.event_schedule import EventSchedule


def test_failed_action_does_not_keep_later_ones_from_running():
    """Guards against a fault that never ends because an earlier event of the run failed."""
    ran = []

    def fail() -> None:
        raise ValueError("no such process")

    schedule = EventSchedule()
    schedule.run_at(0.0, fail)
    schedule.run_at(0.01, lambda: ran.append("end of fault"))
    schedule.start()
    with pytest.raises(ValueError, match="no such process"):
        schedule.finish()
    assert ran == ["end of fault"]
