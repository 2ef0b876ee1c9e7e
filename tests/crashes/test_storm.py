"""Attribution of crashes in simulated fleets: sends of the culprit, and innocents refused."""

import pytest

from tests.crashes.storm_sim import Storm, play

SEEDS = range(40)
MAX_LATE_SENDS = 3
MAX_REFUSED_FRACTION = 0.01


@pytest.mark.parametrize(
    "storm",
    [
        Storm(),
        Storm(culprits_per_s=8.0),
        Storm(culprits_per_s=0.3),
        Storm(sound_per_s=4.0, sessions=4000),
        Storm(crashes_per_s=0.5),
        Storm(engines=45, sound_per_s=150.0, culprits_per_s=20.0),
    ],
    ids=["usual", "often", "rarely", "new-sessions", "beside-crashes", "large"],
)
def test_culprit_is_held_back_and_others_are_served(storm):
    """Guards against thresholds that hold the culprit too late, or innocent parts with it."""
    outcomes = [play(storm, seed) for seed in SEEDS]
    assert max(outcome.late_sends for outcome in outcomes) <= MAX_LATE_SENDS
    refused = sum(outcome.sound_refused for outcome in outcomes)
    assert refused <= MAX_REFUSED_FRACTION * sum(outcome.sound_sent for outcome in outcomes)


def test_no_prompt_is_refused_for_ordinary_crashes():
    """Guards against holding parts back on days on which engines crash by themselves."""
    storm = Storm(culprits_per_s=0.0, crashes_per_s=1.0)
    outcomes = [play(storm, seed) for seed in SEEDS]
    assert sum(outcome.sound_refused for outcome in outcomes) <= 1e-3 * sum(
        outcome.sound_sent for outcome in outcomes
    )
