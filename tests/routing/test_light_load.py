"""Under light load, all targets of a plain service are used, slow ones less."""

import heapq
import random
from collections import Counter

import pytest

from turmerictray.config.routes import ServiceSpec
from turmerictray.core.ids import ServiceName, TargetId, ZoneId
from turmerictray.routing.load import PendingPrefill, TargetInfo
from turmerictray.routing.place import place_plain
from turmerictray.routing.pool_targets import PoolTargets

ZONE = ZoneId("z")
TARGETS = [TargetId(f"t{number}") for number in range(4)]
SLOTS = 8
CALLERS = 4
PAUSE_S = 0.01
REQUESTS = 3000
ALONE = 500
WARM_UP = 1000
MIN_SHARE = 0.1
WINDOW_S = 0.03


def used_targets(service_s: dict[TargetId, float], seed: int) -> Counter[TargetId]:
    """Return how often each target is used by a few callers, after warm-up.

    The first target is there alone for a while. ``service_s`` are the seconds of an answer.
    """
    rng = random.Random(seed)
    targets = PoolTargets(ServiceSpec(ServiceName("app")))
    used: Counter[TargetId] = Counter()
    events = [(PAUSE_S * rng.random(), -number, "", 0.0) for number in range(CALLERS)]
    heapq.heapify(events)
    for call_id in range(1, REQUESTS):
        for target in TARGETS[: 1 if call_id <= ALONE else None]:
            targets.add_or_update(TargetInfo(target, ServiceName("app"), "h:1", ZONE, SLOTS))
        now, ended, target, sent_at = heapq.heappop(events)
        while target:
            targets.record_first_event(target, ended, now - sent_at, now)
            targets.loads[target].record_end(ended)
            targets.update_estimates(WINDOW_S)
            pause_s = 2 * PAUSE_S * rng.random()
            now, ended, target, sent_at = heapq.heappushpop(events, (now + pause_s, 0, "", 0.0))
        load = place_plain(list(targets.loads.values()), call_id, ZONE, now).load
        expected_s = place_plain([load], call_id, ZONE, now).expected_s
        load.record_sent(call_id, PendingPrefill(now, 0, 0, expected_s, load.slowness))
        took_s = service_s[load.info.id] * rng.uniform(0.8, 1.6)
        heapq.heappush(events, (now + took_s, call_id, load.info.id, now))
        used[load.info.id] += call_id > WARM_UP
    return used


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("service_s", [0.005, 0.01, 0.02, 0.05, 0.2])
def test_no_target_is_left_out_because_others_answer_sooner_than_expected(service_s, seed):
    """Guards against targets that are given no request because few were measured there."""
    used = used_targets(dict.fromkeys(TARGETS, service_s), seed)
    assert min(used[target] for target in TARGETS) > MIN_SHARE * (REQUESTS - WARM_UP)


@pytest.mark.parametrize("seed", range(5))
def test_slow_target_is_used_less_than_others(seed):
    """Guards against a slow target that counts as usual."""
    slow, *others = TARGETS
    used = used_targets(dict.fromkeys(others, 0.02) | {slow: 0.2}, seed)
    assert used[slow] < 0.5 * min(used[target] for target in others)
