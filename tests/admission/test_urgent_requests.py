"""A request that waits for an engine, when its queue deadline is near."""

import pytest

from tests.admission.test_resting_targets import (
    ENGINES,
    LLM,
    NOW,
    enqueue,
    make_pool,
    targets_of_dispatches,
)
from turmerictray.admission.pool import ServicePool
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.ids import TargetId
from turmerictray.routing.load import PendingPrefill

TOKENS_PER_S = 100_000.0
FULL, DOUBTFUL = ENGINES


@pytest.fixture
def pool():
    """Return a pool whose engines are full, and free after failed answers."""
    pool = make_pool(has_engines=True)
    pool.targets.set_spec(ServiceSpec(LLM, EngineSpec(64, 600_000)), TOKENS_PER_S)
    fill(pool, FULL)
    pool.targets.loads[DOUBTFUL].failure_rate = 0.9
    pool.targets.loads[DOUBTFUL].failure_rate_updated_at = NOW
    return pool


def fill(pool: ServicePool, engine: TargetId) -> None:
    """Give an engine as much to read as it may have; it reads nothing of that."""
    for number in range(12):
        read = PendingPrefill(NOW, 300, 0, 0.1)
        pool.targets.loads[engine].record_sent(900 + number, read)


def test_request_is_not_refused_while_an_engine_is_free(pool):
    """Guards against requests that wait for a silent engine until they are refused."""
    pending = enqueue(pool, 1, wait_s=1.0)
    assert not targets_of_dispatches(pool)
    assert not targets_of_dispatches(pool, NOW + 0.5)
    assert targets_of_dispatches(pool, pending.deadline - 0.1) == [DOUBTFUL]


def test_request_waits_for_capacity_if_no_engine_is_free(pool):
    fill(pool, DOUBTFUL)
    pending = enqueue(pool, 1, wait_s=1.0)
    assert not targets_of_dispatches(pool, pending.deadline - 0.1)
    assert pool.waiting_requests() == [pending]


def test_request_with_little_time_may_still_wait_for_the_better_engine(pool):
    """Guards against short queue deadlines that scatter prompts over the engines."""
    enqueue(pool, 1, wait_s=0.3)
    assert not targets_of_dispatches(pool)


def test_request_waits_for_a_busy_engine_that_answers(pool):
    """Guards against prompts that are read again everywhere under overload."""
    pending = enqueue(pool, 1, wait_s=1.0)
    pool.targets.loads[FULL].last_first_event_at = pending.deadline - 0.2
    assert not targets_of_dispatches(pool, pending.deadline - 0.1)
