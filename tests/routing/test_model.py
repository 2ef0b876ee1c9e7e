"""What is learned from answers stays near the truth and never runs away."""

import random

from turmerictray.routing.kept import KeptParts
from turmerictray.routing.load import OpenRead, TargetInfo, TargetLoad
from turmerictray.routing.model import PoolModel


def test_rate_is_found_although_most_answers_are_late():
    # Peers' work that is not known yet makes half of all answers late; taken at face value they
    # would halve the rate, and engines would be left idle.
    model, rng = PoolModel(80_000.0), random.Random(1)
    for _ in range(2000):
        tokens = rng.randint(2_000, 20_000)
        late = rng.expovariate(4.0) if rng.random() < 0.5 else 0.0
        model.learn(tokens, 0.025 + tokens / 35_000 + late)
    assert 28_000 < model.read_per_s < 38_000


def test_single_outlier_moves_the_rate_by_a_step_only():
    model = PoolModel(35_000.0)
    model.learn(10_000, 0.0001)
    assert model.read_per_s < 37_000
    model.learn(10_000, 60.0)
    assert model.read_per_s > 33_000


def test_targets_that_are_all_late_are_not_slow():
    loads = [TargetLoad(TargetInfo(f"e{n}", "llm", "h:1", "z", 8), KeptParts(1)) for n in range(3)]
    for _ in range(100):
        for number, load in enumerate(loads):
            load.sent(1, OpenRead(0.0, 5000, 0, 0.2, load.slowness))
            load.first_event(1, 3.0 if number == 0 else 0.6)
            load.ended(1)
        usual = sorted(load.log_lateness for load in loads)[1]
        for load in loads:
            load.judge_slowness(usual)
    assert loads[1].slowness == 1.0
    assert 2.0 < loads[0].slowness < 6.0
