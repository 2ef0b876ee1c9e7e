"""Simulation of one team using the engines almost alone, followed by a burst of all teams."""

from collections import Counter

import pytest

from tests.admission.fleet_sim import play_prompts, reading_fleet
from turmerictray.core.ids import TeamId
from turmerictray.simulation.fleet import Fleet

ENGINES = 9
CALM_S, END_S, WINDOW_S = 10.0, 18.0, 6.0
HOT = TeamId("hot")
MIN_FRACTION = 0.5
"""Minimum service of the hot team, as a fraction of the best served other team while both wait. All
teams have the same weight."""


def started_tokens(fleet: Fleet, since: float) -> Counter:
    """Return the tokens of requests whose first event came in the window, by team."""
    tokens = Counter()
    for caller in fleet.callers:
        if caller.first_at is not None and since <= caller.first_at < since + WINDOW_S:
            tokens[caller.team] += caller.prompt.input_tokens
    return tokens


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_team_is_not_charged_for_uncontended_service(seed):
    """Guards against charging a team for service that it received while no other team waited."""
    fleet = reading_fleet(1, ENGINES)
    play_prompts(fleet, 50, CALM_S, seed, team=lambda rng: HOT)
    play_prompts(fleet, 8, CALM_S, seed + 10, team=lambda rng: TeamId(f"t{rng.randrange(8)}"))
    for per_s, name in ((60, lambda rng: HOT), (80, lambda rng: TeamId(f"t{rng.randrange(4)}"))):
        play_prompts(fleet, per_s, END_S, seed + per_s, team=name, since=CALM_S)
    fleet.run(END_S + 2)
    for since in (CALM_S, CALM_S + 1, CALM_S + 2):
        tokens = started_tokens(fleet, since)
        best = max(tokens[team] for team in tokens if team != HOT)
        assert tokens[HOT] >= MIN_FRACTION * best, (since, tokens)
